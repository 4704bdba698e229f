package core

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// carrier is a Carrier that calls a function of the test.
type carrier func(*Attempt) (End, Answer)

func (c carrier) Carry(f *Attempt) (End, Answer) { return c(f) }

// closer is a connection whose Close closes the channel.
type closer chan bool

func (c closer) Close() error { close(c); return nil }

func startCore(t *testing.T, carry carrier) (*Core, func(effect int, within time.Duration) Answer) {
	second := time.Second
	c, err := New(policy.Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3, MaxRetryAfter: second,
		Classes: []policy.Class{{LatencyTarget: second, Deadline: 20 * second, Value: 1},
			{LatencyTarget: second, Deadline: 20 * second, Value: 1, Idempotency: policy.NotIdempotent}},
		Plans: []policy.Plan{{ValueMultiplier: 1}}}, 1, NewClock(), carry, nil)
	require.NoError(t, err)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
	return c, func(class int, within time.Duration) Answer {
		return c.Serve(context.Background(), Request{Request: policy.Request{Class: class, Units: 1, SetSize: 1,
			Deadline: c.Now() + within}})
	}
}

// Every end has a name and an ending, and only requests that the server rejected or that were never
// written completely count as not run.
func TestEnds(t *testing.T) {
	never := map[policy.Ending]bool{policy.Rejected: true, policy.NotConnected: true, policy.NeverSent: true}
	for e := range endCount {
		assert.NotEmpty(t, e.String())
		assert.NotZero(t, endTable[e].ending)
		mayHaveRun := e == EndServed || e == EndErrored || e == EndReset || e == EndStale || e == EndTimedOut ||
			e == EndCancelled ||
			e == EndNone
		assert.Equal(t, mayHaveRun, !never[endTable[e].ending], e)
	}
}

// An attempt that is still connecting when its transaction is answered must not write a byte.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	answered, begun := make(chan bool), make(chan End)
	c, ask := startCore(t, func(f *Attempt) (End, Answer) {
		<-answered
		end, ok := f.Begin(io.NopCloser(nil))
		assert.False(t, ok)
		begun <- end
		return end, Answer{}
	})
	assert.Equal(t, Failed, ask(1, time.Second).Kind) // the attempt might have been written by then
	close(answered)
	assert.Equal(t, EndAlreadyAnswered, <-begun)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.transactions) == 0 }, time.Minute,
		time.Millisecond)
}

// Cancel closes the connection of the attempt that it names, but not after the attempt's Finish.
func TestCancel(t *testing.T) {
	conn := make(closer)
	c, ask := startCore(t, nil)
	c.carrier = carrier(func(f *Attempt) (End, Answer) {
		_, ok := f.Begin(conn)
		assert.True(t, ok)
		c.handle(func(Time) { host{c, c.current}.Cancel(f.transaction.ID, f.number) })
		<-conn
		assert.True(t, f.Finish())
		c.handle(func(Time) { host{c, c.current}.Cancel(f.transaction.ID, f.number) })
		return EndCancelled, Answer{}
	})
	assert.Equal(t, Failed, ask(1, 10*time.Second).Kind) // a cancelled attempt may have run
}

// Readings count from the Unix epoch, as the times from discovery do, and convert back to times.
func TestClock(t *testing.T) {
	c := NewClock()
	now := c.Now()
	assert.InDelta(t, float64(time.Now().UnixNano()), float64(now), float64(time.Minute))
	assert.Equal(t, int64(now), c.At(now).UnixNano())
}

// A panic in one event must not leave the mutex locked.
func TestPanicFreesTheMutex(t *testing.T) {
	c, _ := startCore(t, nil)
	assert.Panics(t, func() { c.handle(func(Time) { panic("x") }) })
	assert.Contains(t, c.Counters().String(), "taken=0")
}

// At shutdown every open transaction gets the answer that policy permits: a refusal where a repeat is harmless, a
// failure where the request may have run. Answers of the servers that arrive afterwards change nothing.
func TestShutdownAnswersAll(t *testing.T) {
	sent, proceed := make(chan bool, 2), make(chan bool)
	c, ask := startCore(t, func(f *Attempt) (End, Answer) {
		sent <- true
		<-proceed
		return EndServed, Answer{}
	})
	answers := make(chan Answer, 2)
	for class := range 2 {
		go func() { answers <- ask(class, 20*time.Second) }()
	}
	<-sent
	<-sent
	begun := time.Now()
	c.Shutdown()
	assert.ElementsMatch(t, []AnswerKind{Refused, Failed}, []AnswerKind{(<-answers).Kind, (<-answers).Kind})
	assert.Less(t, time.Since(begun), 10*time.Second)
	close(proceed)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.transactions) == 0 }, time.Minute,
		time.Millisecond)
	assert.Contains(t, c.Counters().String(), "answered_served=0")
}

// A request that waited in a socket while the process was paused has less time left than its front assumes. The wait
// for its client's authorization must end before this shorter deadline.
func TestAuthorizationEndsBeforeCorrectedDeadline(t *testing.T) {
	c, _ := startCore(t, func(*Attempt) (End, Answer) { return EndErrored, Answer{} })
	const pause, patience = 5 * time.Second, 20 * time.Second
	now := c.Now()
	c.mu.Lock()
	c.recovery.Event(now)
	assert.Equal(t, pause, c.recovery.Event(now+pause))
	c.recovery.Received(recovery.Discovery) // so that the request doesn't wait for it
	c.mu.Unlock()
	var until policy.Time
	deadline := c.Now() + patience
	c.Serve(context.Background(), Request{Request: policy.Request{Units: 1, SetSize: 1, Deadline: deadline},
		Authorize: func(by policy.Time) (Verdict, time.Duration) {
			until = by
			return Inactive, 0
		}})
	assert.Equal(t, deadline-pause-authorizeMargin, until)
}
