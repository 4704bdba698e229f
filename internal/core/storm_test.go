package core_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/internal/storm"
	"sprucelane.example/sprucelane/policy"
)

// unreachableServers is a carrier that can't connect to any server until back is closed.
type unreachableServers struct{ back chan struct{} }

func (g unreachableServers) Carry(f *core.Attempt) (core.End, core.Answer) {
	select {
	case <-g.back:
		return core.EndServed, core.Answer{Body: []byte("done")}
	default:
		return core.EndNoConnect, core.Answer{}
	}
}

// In an outage most requests are refused at once with a Retry-After, without being passed to policy, and peers are sent
// messages. When the servers are back requests are served again.
func TestStormControlInOutage(t *testing.T) {
	fake.Log(t)
	d := fake.Deployment()
	d.Gateways, d.Peers = 2, true
	messages := make(chan []byte, 1000)
	members := unreachableServers{make(chan struct{})}
	c, err := core.New(d.Settings, 1, core.NewClock(), members, func(_ int, m []byte) {
		if m[0] == storm.Kind {
			messages <- append([]byte(nil), m...)
		}
	})
	require.NoError(t, err)
	c.EnableStormControl(d.Settings, storm.Options{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.RunStormControl(ctx)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}})
	ask := func() core.Answer {
		in := core.Request{}
		in.Customer, in.Class, in.Units, in.SetSize, in.Deadline = 7, 1, 1, 2, c.Now()+20*time.Second
		return c.Serve(context.Background(), in)
	}
	phase := func() string { return c.StormCounters()[0].Value.String() }
	require.Eventually(t, func() bool {
		a := ask()
		assert.NotEqual(t, core.Served, a.Kind)
		return phase() == "outage"
	}, time.Minute, 5*time.Millisecond)
	message, ok := storm.Decode(<-messages)
	assert.True(t, ok)
	assert.Equal(t, storm.Outage, message.Phase)
	refused := 0
	for range 200 {
		began := time.Now()
		if a := ask(); a.Kind == core.Refused && !a.Attempted {
			refused++
			assert.Positive(t, a.RetryAfter)
			assert.LessOrEqual(t, a.RetryAfter, d.MaxRetryAfter)
			assert.Less(t, time.Since(began), 10*time.Second) // at once; the bound allows for a slow machine
		}
	}
	assert.Greater(t, refused, 150)
	// A gateway that has just started learns of the outage from the messages.
	other, err := core.New(d.Settings, 2, core.NewClock(), members, func(int, []byte) {})
	require.NoError(t, err)
	other.EnableStormControl(policy.Settings{Self: 1, Gateways: 2, Classes: d.Classes, Plans: d.Plans}, storm.Options{})
	go other.RunStormControl(ctx)
	require.Eventually(t, func() bool {
		select {
		case m := <-messages:
			other.StormMessage(0, m)
		default:
		}
		return other.StormCounters()[0].Value.String() == "outage"
	}, time.Minute, time.Millisecond)
	other.StormMessage(0, []byte{storm.Kind, 9})
	assert.True(t, other.AdmitConnection())
	close(members.back)
	served := 0
	require.Eventually(t, func() bool {
		if ask().Kind == core.Served {
			served++
		}
		return served > 50 && phase() != "outage"
	}, time.Minute, 2*time.Millisecond)
}
