package core

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

func settings(classes ...policy.Class) policy.Settings {
	for i := range classes {
		classes[i].LatencyTarget, classes[i].Deadline, classes[i].Value = time.Second, 20*time.Second, 1
	}
	return policy.Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 2, MaxRetryAfter: time.Second,
		Classes: classes,
		Plans:   []policy.Plan{{ValueMultiplier: 1, Name: "utility", Rate: 0.001, Burst: 4, OverQuotaCost: 1}}}
}

// reconfigurableCore returns a core with four servers, a channel that gets a channel for the end of each attempt, and a
// function that starts a transaction under a generation and returns the channel of its answer.
func reconfigurableCore(t *testing.T, set policy.Settings) (*Core, chan chan End, func(generation,
	class int) chan Answer) {
	ends := make(chan chan End, 16)
	c, err := New(set, 1, NewClock(), carrier(func(f *Attempt) (End, Answer) {
		end := make(chan End)
		ends <- end
		f.Begin(io.NopCloser(nil))
		return <-end, Answer{Body: []byte("x")}
	}), nil)
	require.NoError(t, err)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}, {ID: 4,
		Weight: 1}})
	return c, ends, func(generation, class int) chan Answer {
		answered := make(chan Answer, 1)
		go func() {
			answered <- c.Serve(context.Background(), Request{Generation: generation, Request: policy.Request{Class: class,
				Units:    1,
				SetSize:  1,
				Customer: 5, Deadline: c.Now() + 20*time.Second}})
		}()
		return answered
	}
}

// Transactions that arrived before a change of settings keep the old settings until they end: an idempotent read is
// retried as often as the old settings allow, even if in the new ones its class is not idempotent or doesn't exist.
func TestOpenTransactionsKeepTheirSettings(t *testing.T) {
	before := settings(policy.Class{Name: "read"}, policy.Class{Name: "order", Idempotency: policy.NotIdempotent})
	before.MaxAttempts = 4
	c, ends, ask := reconfigurableCore(t, before)
	read, order := ask(0, 0), ask(0, 1)
	one, two := <-ends, <-ends
	number, err := c.Reconfigure(settings(policy.Class{Name: "read", Idempotency: policy.NotIdempotent},
		policy.Class{Name: "new"}), 2)
	require.NoError(t, err)
	require.Equal(t, 1, number)
	fresh := ask(1, 0)
	three := <-ends
	one <- EndErrored
	two <- EndErrored
	three <- EndErrored
	for range 3 { // only the read under the old settings is retried: three further attempts, four in all
		select {
		case f := <-ends:
			f <- EndErrored
		case <-time.After(time.Minute):
			require.Fail(t, "no further attempt")
		}
	}
	assert.Equal(t, Failed, (<-order).Kind)
	assert.Equal(t, Failed, (<-fresh).Kind, "under the new settings a read must not run twice")
	assert.Equal(t, Refused, (<-read).Kind, "an idempotent request may be repeated")
	assert.Empty(t, ends)
}

// A change of settings doesn't refill quotas: the units that the old gateway has admitted, and those that its open
// requests draw, are subtracted from the new gateway's balances, too.
func TestReconfigureKeepsQuotas(t *testing.T) {
	set := settings(policy.Class{Name: "read"})
	c, ends, ask := reconfigurableCore(t, set)
	for range 2 {
		answer := ask(0, 0)
		(<-ends) <- EndServed
		assert.Equal(t, Served, (<-answer).Kind)
	}
	set.Classes = append(set.Classes, policy.Class{Name: "new", LatencyTarget: time.Second, Deadline: 20 * time.Second,
		Value: 1})
	generation, err := c.Reconfigure(set, 2)
	require.NoError(t, err)
	late := ask(0, 0) // read under the old settings, served after the change
	(<-ends) <- EndServed
	assert.Equal(t, Served, (<-late).Kind)
	served := 0
	for range 20 {
		answer := ask(generation, 1)
		select {
		case f := <-ends:
			f <- EndServed
		case a := <-answer:
			assert.Equal(t, Refused, a.Kind)
			continue
		}
		assert.Equal(t, Served, (<-answer).Kind)
		served++
	}
	assert.LessOrEqual(t, served, 3, "of a burst of 4, 3 units were drawn before; some beyond it are admitted by chance")
}

// A generation retires when its last transaction has ended, but not before retireDelay has passed: fronts may still
// pass on requests that they had begun to read under its settings.
func TestGenerationsRetire(t *testing.T) {
	c, ends, ask := reconfigurableCore(t, settings(policy.Class{Name: "read"}))
	open := ask(0, 0)
	end := <-ends
	for i := range 3 {
		number, err := c.Reconfigure(settings(policy.Class{Name: "read"}), uint64(i))
		require.NoError(t, err)
		require.Equal(t, i+1, number)
	}
	c.mu.Lock()
	assert.Len(t, c.retiring, 3)
	for _, e := range c.retiring {
		e.replacedAt -= retireDelay
	}
	c.prune()
	assert.Len(t, c.retiring, 1, "the generation of the open transaction")
	c.mu.Unlock()
	assert.Equal(t, Refused, (<-ask(1, 0)).Kind, "it has not run, and may be repeated under the settings in force")
	end <- EndServed
	assert.Equal(t, Served, (<-open).Kind)
	c.mu.Lock()
	assert.Empty(t, c.retiring)
	c.mu.Unlock()
}

// Invalid settings change nothing.
func TestReconfigureRejectsInvalidSettings(t *testing.T) {
	c, ends, ask := reconfigurableCore(t, settings(policy.Class{Name: "read"}))
	none, other := settings(), settings(policy.Class{Name: "read"})
	other.Gateways = 2
	for _, set := range []policy.Settings{none, other} {
		_, err := c.Reconfigure(set, 2)
		assert.Error(t, err)
	}
	answer := ask(0, 0)
	(<-ends) <- EndServed
	assert.Equal(t, Served, (<-answer).Kind)
}

// A process that takes over gets the exported state, and each attempt that is started afterwards until StopExport.
func TestStateAndSendsGoToAnotherProcess(t *testing.T) {
	set := settings(policy.Class{Name: "read"})
	c, ends, ask := reconfigurableCore(t, set)
	answer := ask(0, 0)
	(<-ends) <- EndServed
	<-answer
	var sent []Sent
	exported := c.ExportState(1<<20, func(s Sent) { sent = append(sent, s) })
	next, err := New(set, 3, NewClock(), carrier(func(f *Attempt) (End, Answer) { return EndServed, Answer{} }), nil)
	require.NoError(t, err)
	require.NoError(t, next.ImportState(exported))
	assert.Error(t, next.ImportState(exported), "ImportState after another event")
	answer = ask(0, 0)
	(<-ends) <- EndServed
	<-answer
	c.StopExport()
	answer = ask(0, 0)
	(<-ends) <- EndServed
	<-answer
	require.Len(t, sent, 1)
	assert.Equal(t, Sent{Customer: 5, Plan: "utility", Units: 1, SetSize: 1, Server: sent[0].Server, First: true}, sent[0])
	sent[0].Plan = "gone"
	next.SentElsewhere(sent)
	assert.Contains(t, next.Counters().String(), "customers=1")
}
