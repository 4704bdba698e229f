package membership_test

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/membership"
)

// Two machines join through a seed. The caller carries the messages and calls Tick when it is due.
func Example() {
	now := time.Unix(0, 0)
	nodes := make(map[string]*membership.Node)
	for _, name := range []string{"gateway-1", "gateway-2"} {
		nodes[name] = membership.New(membership.Config{
			Self:        membership.Member{Name: name, Address: name},
			Incarnation: 1,
			Seeds:       []string{"gateway-1"},
		}, now)
	}
	var deliver func(from string, output membership.Output)
	deliver = func(from string, output membership.Output) {
		for _, change := range output.Changes {
			fmt.Println(from, "sees", change.Member.Name, change.State)
		}
		for _, envelope := range output.Messages {
			node := nodes[envelope.Address]
			deliver(envelope.Address, node.Receive(now, from, envelope.Message))
		}
	}
	deliver("gateway-2", nodes["gateway-2"].Tick(now))
	fmt.Println(len(nodes["gateway-2"].Members()))
	// Output:
	// gateway-1 sees gateway-2 alive
	// gateway-2 sees gateway-1 alive
	// 2
}

// BenchmarkInterval measures the work of one machine among 400 in one interval: a tick, and the messages that it
// receives.
func BenchmarkInterval(b *testing.B) {
	now := time.Unix(0, 0)
	config := membership.Config{Self: membership.Member{Name: "m0", Address: "m0"}, Incarnation: 1}
	node := membership.New(config, now)
	for i := 1; i < 400; i++ {
		name := fmt.Sprint("m", i)
		update := membership.Update{
			Member:      membership.Member{Name: name, Address: name},
			Incarnation: 1,
			State:       membership.Alive,
		}
		sync := membership.Message{Kind: membership.Sync, From: name, Updates: []membership.Update{update}}
		node.Receive(now, name, sync)
	}
	heartbeats := make([]membership.Message, 399)
	for i := range heartbeats {
		heartbeats[i] = membership.Message{Kind: membership.Heartbeat, From: fmt.Sprint("m", i+1), Incarnation: 1}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = node.Next()
		node.Tick(now)
		// Every other machine sends a message, so that none times out. In a real system, only three
		// heartbeats per interval arrive at one machine.
		for _, heartbeat := range heartbeats {
			node.Receive(now, "m", heartbeat)
		}
	}
}
