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
	path := os.Getenv(partition.EnvFile)
	if path == "" {
		return dialDirect
	}
	dialer := &partition.Dialer{Partitions: partition.Watch(context.Background(), path), Host: os.Getenv(partition.EnvHost), Dial: dialWithSocketOptions}
	return dialer.DialContext
})()

// dialTuned sets the probes here, as they can't be set through what the dialer gives.
func dialWithSocketOptions(ctx context.Context, address string) (net.Conn, error) {
	connection, err := dialDirect(ctx, address)
	if err != nil {
		return nil, err
	}
	return connection, setSocketOptions(connection, DefaultUserTimeout)
}
