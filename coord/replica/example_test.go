package replica_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/transport"
)

// greeting is a state machine that holds one text. The mutex is needed because read is called by other goroutines than
// the node's.
type greeting struct {
	mutex sync.Mutex
	text  string
}

func (g *greeting) Apply(_ uint64, command []byte) []byte {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.text
	g.text = string(command)
	return []byte(before)
}

func (g *greeting) Snapshot() []byte {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return []byte(g.text)
}

func (g *greeting) Restore(snapshot []byte) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.text = string(snapshot)
	return nil
}

func (g *greeting) read() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text
}

// This example bootstraps a system of one machine, proposes two commands, and reads the state after a restart.
func Example() {
	folder, err := os.MkdirTemp("", "replica")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	address := listener.Addr().String()
	_ = listener.Close()

	state := &greeting{}
	options := replica.Options{
		Identity:     transport.Identity{System: "example", Node: "one"},
		Listen:       address,
		Seeds:        []string{address},
		Bootstrap:    true,
		DataDir:      folder,
		StateMachine: state,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	node, err := replica.Start(options)
	if err != nil {
		fmt.Println(err)
		return
	}
	for i, text := range []string{"hello", "good morning"} {
		before, err := node.Propose(ctx, fmt.Sprint("command-", i), []byte(text))
		fmt.Printf("%q %v\n", before, err)
	}
	node.Close()

	restarted := &greeting{}
	options.StateMachine, options.Bootstrap = restarted, false
	node, err = replica.Start(options)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer node.Close()
	_, err = node.Read(ctx)
	fmt.Printf("%q %v\n", restarted.read(), err)
	// Output:
	// "" <nil>
	// "hello" <nil>
	// "good morning" <nil>
}
