package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
)

// lockedHistory is a historyStateMachine that tests may read from other goroutines.
type lockedHistory struct {
	mutex sync.Mutex // guards the state machine, which the node's loop changes
	historyStateMachine
}

func (m *lockedHistory) Apply(index uint64, command []byte) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.historyStateMachine.Apply(index, command)
}

func (m *lockedHistory) Snapshot() []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.historyStateMachine.Snapshot()
}

func (m *lockedHistory) Restore(snapshot []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.historyStateMachine.Restore(snapshot)
}

// has reports whether a command was applied.
func (m *lockedHistory) has(command string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, applied := range m.commands {
		if applied == command {
			return true
		}
	}
	return false
}

// machine is a machine whose node listens on the loopback interface.
type machine struct {
	name    string
	address string
	dir     string
	state   *lockedHistory
	node    *Node
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// start starts the machine's node.
func (m *machine) start(t testing.TB, seeds []string, bootstrap bool) {
	t.Helper()
	m.state = &lockedHistory{}
	node, err := Start(Options{
		Identity:     transport.Identity{System: "test", Node: m.name},
		Listen:       m.address,
		Seeds:        seeds,
		Bootstrap:    bootstrap,
		DataDir:      m.dir,
		Tolerance:    1,
		StateMachine: m.state,
		Log:          func(event string, fields ...any) { t.Log(m.name, event, fields) },
	})
	if err != nil {
		t.Fatal(err)
	}
	m.node = node
}

// eventually waits until a condition holds.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// propose proposes a command through the machine's node and fails the test if it isn't applied.
func (m *machine) propose(t testing.TB, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := m.node.Propose(ctx, id, []byte(id)); err != nil {
		t.Fatalf("propose %s through %s: %v", id, m.name, err)
	}
}

// TestThreeNodesOnLoopback closes, restarts and wipes real nodes while a learner is running.
func TestThreeNodesOnLoopback(t *testing.T) {
	var machines []*machine
	var seeds []string
	for i := 0; i < 3; i++ {
		m := &machine{name: fmt.Sprintf("m%d", i), address: freeAddress(t), dir: t.TempDir()}
		machines = append(machines, m)
		seeds = append(seeds, m.address)
	}
	learner := &machine{name: "observer", address: freeAddress(t)}
	all := append(append([]*machine{}, machines...), learner)
	for _, m := range all {
		m.start(t, seeds, true)
	}
	defer func() {
		for _, m := range all {
			m.node.Close()
		}
	}()
	for i, m := range all {
		m.propose(t, fmt.Sprint("first-", i))
	}
	machines[0].node.Close()
	began := time.Now()
	machines[1].propose(t, "after-kill")
	t.Logf("next command %v after the kill", time.Since(began))
	machines[0].start(t, seeds, false)
	eventually(t, 5*time.Second, "the killed machine is back in the chain", func() bool {
		v := machines[0].node.View()
		return v.Epoch >= 3 && len(v.Chain) == 3 && v.InChain(machines[0].node.Self())
	})
	machines[0].propose(t, "after-return")

	machines[1].node.Close()
	machines[1].dir = t.TempDir()
	machines[1].start(t, seeds, false)
	eventually(t, 5*time.Second, "the wiped machine is back in the chain", func() bool {
		v := machines[1].node.View()
		return len(v.Chain) == 3 && v.InChain(machines[1].node.Self())
	})
	machines[1].propose(t, "after-wipe")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, m := range all {
		if _, err := m.node.Read(ctx); err != nil {
			t.Fatalf("read at %s: %v", m.name, err)
		}
		for _, id := range []string{"first-0", "first-3", "after-kill", "after-return", "after-wipe"} {
			if !m.state.has(id) {
				t.Errorf("%s lacks %s", m.name, id)
			}
		}
		eventually(t, 3*time.Second, "a staleness bound", func() bool {
			age, ok := m.node.Staleness()
			return ok && age < time.Second
		})
	}
	eventually(t, 3*time.Second, "a head holds the leader lease", func() bool {
		for _, m := range machines {
			if _, _, ok := m.node.LeaderLease(); ok {
				return true
			}
		}
		return false
	})
}

// TestProposeWithoutMajority checks that a node that reaches no other node accepts no command and answers no read.
func TestProposeWithoutMajority(t *testing.T) {
	m := &machine{name: "alone", address: freeAddress(t), dir: t.TempDir()}
	m.start(t, []string{freeAddress(t), freeAddress(t)}, false)
	defer m.node.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := m.node.Propose(ctx, "a", []byte("a")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("Propose without a majority: %v, want ErrUnavailable", err)
	}
	if _, err := m.node.Read(ctx); !errors.Is(err, ErrUnavailable) {
		t.Errorf("Read without a majority: %v, want ErrUnavailable", err)
	}
}
