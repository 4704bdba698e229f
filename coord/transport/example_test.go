package transport_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
)

// Greeting and Welcome are messages.
type Greeting struct{ Name string }

// Welcome answers a Greeting.
type Welcome struct{ Text string }

// A server answers the calls of a client, which connects in the background.
func Example() {
	transport.Register(Greeting{}, Welcome{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	options := transport.Options{
		Identity:  transport.Identity{System: "example", Node: "machine-1"},
		Heartbeat: 500 * time.Millisecond,
	}
	handler := func(_ context.Context, _ *transport.Session, message any) (any, error) {
		greeting, ok := message.(Greeting)
		if !ok {
			return nil, transport.NewError("unknown", "not a greeting")
		}
		return Welcome{Text: "hello " + greeting.Name}, nil
	}
	server := transport.Serve(listener, options, handler)
	defer server.Close()

	connected := make(chan bool, 1)
	state := func(up bool) { connected <- up }
	client := transport.NewClient(server.Addr().String(), options, nil, state)
	defer client.Close()
	<-connected
	reply, err := client.Call(context.Background(), Greeting{Name: "world"})
	fmt.Println(reply, err)
	// Output:
	// {hello world} <nil>
}
