package core

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

// A request whose client left before policy decided on it isn't passed to policy and draws no units.
func TestClientThatLeftDrawsNothing(t *testing.T) {
	c, _ := startCore(t, func(*Attempt) (End, Answer) { panic("an attempt was started") })
	ctx, leave := context.WithCancel(context.Background())
	leave()
	a := c.Serve(ctx, Request{Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 10*time.Second}})
	assert.Equal(t, ClientGone, a.Kind)
	counts := c.Counters().String()
	assert.Contains(t, counts, "taken=1 open=0 sent=0")
	assert.Contains(t, counts, "customers=0")
}

// Requests that arrive between the shutdown and the exit of the process are refused at once, and not left unanswered.
func TestRequestsAfterShutdownAreRefused(t *testing.T) {
	c, ask := startCore(t, func(*Attempt) (End, Answer) { panic("an attempt was started") })
	c.Shutdown()
	begun := time.Now()
	for class := range 2 {
		assert.Equal(t, Refused, ask(class, time.Hour).Kind)
	}
	assert.Less(t, time.Since(begun), time.Minute)
	assert.Contains(t, c.Counters().String(), "open=0")
}

// A server's answer arrives just after the deadline has failed the transaction: the client gets one answer, and the
// connection and the memory of the other one are released exactly once.
func TestAnswerAtTheDeadline(t *testing.T) {
	answered := make(chan bool)
	var freed, closed atomic.Int32
	c, ask := startCore(t, func(f *Attempt) (End, Answer) {
		f.Begin(io.NopCloser(nil))
		<-answered // the deadline has passed, which the carrier doesn't know
		return EndServed, Answer{Remainder: countingCloser{&closed}, Release: func() { freed.Add(1) }}
	})
	assert.Equal(t, Failed, ask(1, 300*time.Millisecond).Kind)
	close(answered)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.transactions) == 0 }, time.Minute,
		time.Millisecond)
	require.Eventually(t, func() bool { return freed.Load() == 1 && closed.Load() == 1 }, time.Minute, time.Millisecond)
	assert.Contains(t, c.Counters().String(), "answered_served=0 answered_refused=0 answered_failed=1")
}

// countingCloser is an empty body that counts how often it is closed.
type countingCloser struct{ n *atomic.Int32 }

func (countingCloser) Read([]byte) (int, error) { return 0, io.EOF }
func (c countingCloser) Close() error           { c.n.Add(1); return nil }
