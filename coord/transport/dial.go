//go:build !faultinjection

package transport

import (
	"context"
	"net"
)

// dialTCP opens a TCP connection. Its probes are set once it stands.
func dialTCP(ctx context.Context, address string) (net.Conn, error) { return dialDirect(ctx, address) }
