package pool

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/standin"
	"sprucelane.example/sprucelane/policy"
)

// A keyed request's first attempt is reset, and the connection for the next comes up when the window for repeats is over: not
// a byte goes out on it, though it was chosen in time. The client hears at once that it failed.
func TestConnectionThatComesAfterTheWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	m := standin.New(t, standin.Reset, standin.OK("again"))
	p := New(Options{Sockets: 9, StaleWithin: time.Minute, ConnIdle: time.Minute, ConnectWait: time.Minute})
	t.Cleanup(p.Close)
	c, err := core.New(policy.Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3,
		Classes: []policy.Class{{Aim: time.Second, Deadline: time.Minute, Worth: 1, Effect: policy.Keyed, Window: window}},
		Plans:   []policy.Plan{{Price: 1}}}, 1, core.NewClock(), p, nil)
	require.NoError(t, err)
	p.Set(1, m.Addr, policy.Ready)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
	first, flows := time.Time{}, 0
	p.up = func(*core.Flow) {
		if flows++; flows == 1 {
			first = time.Now()
			return
		}
		time.Sleep(time.Until(first.Add(window)))
	}
	a := c.Serve(context.Background(), core.Request{Message: &Message{Method: "POST", Target: "/set", Host: "x"},
		Request: policy.Request{Units: 1, SetSize: 1, Deadline: c.Now() + 20*time.Second}})
	assert.Equal(t, core.Failed, a.Kind)
	assert.Equal(t, 2, flows)
	assert.Len(t, m.Seen(), 1)
	assert.Contains(t, c.Counters().String(), "ended_lapsed=1")
}
