//go:build faultinjection

package transport

import (
	"context"
	"net"
	"os"
	"sync"

	"sprucelane.example/sprucelane/coord/transport/partition"
)

// dialTCP opens a TCP connection that can be cut off, where the process is told by what.
var dialTCP = sync.OnceValue(func() func(context.Context, string) (net.Conn, error) {
	path := os.Getenv(partition.FileVariable)
	if path == "" {
		return dialPlain
	}
	dialer := &partition.Dialer{Cuts: partition.Watch(context.Background(), path), Host: os.Getenv(partition.HostVariable), Dial: dialTuned}
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
