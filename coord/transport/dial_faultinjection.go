//go:build faultinjection

package transport

import (
	"context"
	"net"
	"os"
	"sync"

	"sprucelane.example/sprucelane/coord/transport/partition"
)

// dialTCP opens a TCP connection. If the environment variable partition.EnvFile names a file, the connection is
// subject to the partitions listed there. dialTCP is the default of Options.Dial.
var dialTCP = sync.OnceValue(func() func(context.Context, string) (net.Conn, error) {
	path := os.Getenv(partition.EnvFile)
	if path == "" {
		return dialDirect
	}
	dialer := &partition.Dialer{
		Partitions: partition.Watch(context.Background(), path),
		Host:       os.Getenv(partition.EnvHost),
		Dial:       dialWithSocketOptions,
	}
	return dialer.DialContext
})()

// dialWithSocketOptions opens a TCP connection and sets its socket options, since the handshake's
// setSocketOptions doesn't recognize the connection that partition.Dialer returns as TCP.
func dialWithSocketOptions(ctx context.Context, address string) (net.Conn, error) {
	connection, err := dialDirect(ctx, address)
	if err != nil {
		return nil, err
	}
	return connection, setSocketOptions(connection, DefaultUserTimeout)
}
