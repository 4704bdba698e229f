//go:build !faultinjection

package transport

import (
	"context"
	"net"
)

// dialTCP opens a TCP connection. It is the default of Options.Dial.
func dialTCP(ctx context.Context, address string) (net.Conn, error) { return dialDirect(ctx, address) }
