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

// Policy doesn't hear of a client that left before its request is decided on: no units are drawn.
func TestClientThatLeftDrawsNothing(t *testing.T) {
	c, _ := start(t, func(*Attempt) (End, Answer) { panic("sent on") })
	ctx, leave := context.WithCancel(context.Background())
	leave()
	a := c.Serve(ctx, Request{Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 10*time.Second}})
	assert.Equal(t, ClientGone, a.Kind)
	counts := c.Counters().String()
	assert.Contains(t, counts, "taken=1 open=0 sent=0")
	assert.Contains(t, counts, "customers=0")
}

// What comes between shutdown and the end of the process is refused at once, and not left unanswered.
func TestRequestsAfterShutdownAreRefused(t *testing.T) {
	c, ask := start(t, func(*Attempt) (End, Answer) { panic("sent on") })
	c.Shutdown()
	begun := time.Now()
	for class := range 2 {
		assert.Equal(t, Refused, ask(class, time.Hour).Kind)
	}
	assert.Less(t, time.Since(begun), time.Minute)
	assert.Contains(t, c.Counters().String(), "open=0")
}

// An answer comes as the deadline passes: the client gets one answer, and what the other one holds is released once.
func TestAnswerAtTheDeadline(t *testing.T) {
	answered := make(chan bool)
	var freed, closed atomic.Int32
	c, ask := start(t, func(f *Attempt) (End, Answer) {
		f.Begin(io.NopCloser(nil))
		<-answered // the deadline has fired, and the flow doesn't know
		return EndServed, Answer{Remainder: countingCloser{&closed}, Release: func() { freed.Add(1) }}
	})
	assert.Equal(t, Failed, ask(1, 300*time.Millisecond).Kind)
	close(answered)
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.transactions) == 0 }, time.Minute,
		time.Millisecond)
	require.Eventually(t, func() bool { return freed.Load() == 1 && closed.Load() == 1 }, time.Minute, time.Millisecond)
	assert.Contains(t, c.Counters().String(), "answered_served=0 answered_refused=0 answered_failed=1")
}

// countingCloser is a body that counts how often it is closed.
type countingCloser struct{ n *atomic.Int32 }

func (countingCloser) Read([]byte) (int, error) { return 0, io.EOF }
func (c countingCloser) Close() error           { c.n.Add(1); return nil }
