package helper

import (
	"fmt"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/policy"
)

// The test binary is also a fake of the helper program. The name in Hello determines how it behaves.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "exchange" {
		childMain()
		return
	}
	os.Exit(m.Run())
}

// childMain is the main function of the fake.
func childMain() {
	conn := pipe.New(os.Stdin, os.Stdout)
	var hello pipe.Hello
	if conn.Receive(&hello) != nil {
		return
	}
	for {
		var s pipe.State
		if conn.Receive(&s) != nil {
			return
		}
		switch hello.Me.Name {
		case "garbage":
			fmt.Print("this is no message at all, whatever is expected here, for as long as it takes")
			return
		case "dies":
			return
		case "silent":
			io.Copy(io.Discard, os.Stdin)
			return
		}
		update := pipe.Update{Learnt: true, Addr: "here",
			Counters: []pipe.Counter{{Name: "facts", Value: uint64(len(s.Own))}}}
		for _, o := range s.Own {
			update.Priors = append(update.Priors, knowledge.Prior{Life: o.Life, Pace: 5, Weight: 3, Room: 2})
		}
		if conn.Send(update) != nil {
			return
		}
	}
}

// fakeGateway counts how often priors are applied.
type fakeGateway struct {
	mu      sync.Mutex
	applied int
}

func (g *fakeGateway) Observe() (pipe.State, Snapshot) {
	return pipe.State{Own: []knowledge.Observation{{Life: knowledge.Life{Instance: "a"}, Answered: -1}}}, Snapshot{}
}

func (g *fakeGateway) ApplyPriors(list []Prior, _ Snapshot) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(list) > 0 {
		g.applied++
	}
	return 0
}

// count returns how often priors were applied.
func (g *fakeGateway) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied
}

// open starts a helper program for a gateway of a name.
func open(t *testing.T, program, name string, g PriorConsumer) *Helper {
	h := Open(program, pipe.Hello{Me: knowledge.Observer{Name: name, Birth: 1}}, g)
	t.Cleanup(h.Close)
	return h
}

// The helper's child receives states, and its priors are applied.
func TestStatesAndPriors(t *testing.T) {
	g := &fakeGateway{}
	h := open(t, os.Args[0], "good", g)
	h.AwaitInitialSync(time.Minute)
	require.Eventually(t, func() bool { return g.count() >= 2 }, time.Minute, time.Millisecond)
	assert.Equal(t, "here", h.Addr())
	assert.Contains(t, fmt.Sprint(h.Counters()), "facts=1")
}

// A child that fails leads to no priors, is restarted, and doesn't delay the start; a child that doesn't answer can
// be closed.
func TestFailingChildren(t *testing.T) {
	for _, name := range []string{"garbage", "dies", "missing"} {
		program := os.Args[0]
		if name == "missing" {
			program = "/no/such/program"
		}
		g := &fakeGateway{}
		h := open(t, program, name, g)
		h.AwaitInitialSync(time.Hour) // ends as soon as the child has failed
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.starts >= 2
		}, time.Minute, time.Millisecond, name)
		assert.Zero(t, g.count(), name)
	}
	h := open(t, os.Args[0], "silent", &fakeGateway{})
	h.AwaitInitialSync(time.Millisecond)
	h.Close() // returns although the child doesn't answer
}

// A gateway reports observations by incarnation, and applies priors only for members that haven't answered since.
func TestServerIDsAndIncarnations(t *testing.T) {
	d := fake.Deployment()
	c, err := core.New(d.Settings, 1, core.NewClock(), carrier{}, nil)
	require.NoError(t, err)
	r := discovery.NewMembership(addresses{}, c.Servers, nil, nil)
	r.Apply(policy.ListFull, []discovery.Instance{{ID: "a", Addr: "127.0.0.1:1", Lifecycle: "up", StartedMs: 5},
		{ID: "b", Addr: "127.0.0.1:2", Lifecycle: "up"}, {ID: "c", Addr: "127.0.0.1:3", Lifecycle: "draining"}})
	g := &Gateway{Core: c, Membership: r}
	state, at := g.Observe()
	require.Len(t, state.Own, 2)
	a, b := knowledge.Life{Instance: "a", StartedMs: 5}, knowledge.Life{Instance: "b"}
	assert.Equal(t, a, state.Own[0].Life)
	assert.Equal(t, time.Duration(-1), state.Own[1].Answered)
	assert.Zero(t, state.Blind)
	late := g.ApplyPriors([]Prior{{Life: a, Pace: 7, Weight: 2}, {Life: knowledge.Life{Instance: "a"}, Pace: 9, Weight: 9},
		{Life: knowledge.Life{Instance: "c"}, Pace: 9, Weight: 9}}, at)
	assert.Equal(t, 2, late)
	state, _ = g.Observe()
	assert.InDelta(t, 7, state.Own[0].Pace, 0.01)
	at[b] = observedServer{at[b].id, 3} // it has answered since then
	assert.Equal(t, 1, g.ApplyPriors([]Prior{{Life: b, Pace: 9, Weight: 9}}, at))
}

// carrier fails all attempts.
type carrier struct{}

func (carrier) Carry(*core.Attempt) (core.End, core.Answer) { return core.EndReset, core.Answer{} }

// addresses ignores the servers' addresses.
type addresses struct{}

func (addresses) Set(policy.ServerID, string, policy.ServerState) {}
