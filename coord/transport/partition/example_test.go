package partition_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"sprucelane.example/sprucelane/coord/transport/partition"
)

// A test partitions a link of a process, and heals it, by writing the file that the process watches.
func Example() {
	folder, err := os.MkdirTemp("", "partition")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "partitions")
	if err := os.WriteFile(path, []byte("10.0.0.1 127.0.0.1\n"), 0o600); err != nil {
		fmt.Println(err)
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer listener.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialer := &partition.Dialer{
		Partitions: partition.Watch(ctx, path),
		Host:       "10.0.0.1",
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	}
	limited, cancelLimited := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelLimited()
	_, err = dialer.DialContext(limited, listener.Addr().String())
	fmt.Println("partitioned:", err)

	if err := os.WriteFile(path, nil, 0o600); err != nil {
		fmt.Println(err)
		return
	}
	connection, err := dialer.DialContext(ctx, listener.Addr().String())
	fmt.Println("healed:", err)
	if err == nil {
		connection.Close()
	}
	// Output:
	// partitioned: context deadline exceeded
	// healed: <nil>
}
