//go:build faultinjection

package transport

import (
	"context"
	"net"
	"os"
	"sync"

	"sprucelane.example/sprucelane/coord/transport/cut"
)

// dialTCP opens a TCP connection that can be cut off, where the process is told by what.
var dialTCP = sync.OnceValue(func() func(context.Context, string) (net.Conn, error) {
	path := os.Getenv(cut.FileVariable)
	if path == "" {
		return dialPlain
	}
	dialer := &cut.Dialer{Cuts: cut.Watch(context.Background(), path), Host: os.Getenv(cut.HostVariable), Dial: dialTuned}
	return dialer.DialContext
})()

// dialTuned sets the probes here, as they can't be set through what the dialer gives.
func dialTuned(ctx context.Context, address string) (net.Conn, error) {
	connection, err := dialPlain(ctx, address)
	if err != nil {
		return nil, err
	}
	return connection, tuneSocket(connection, DefaultUserTimeout)
}
