package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection stops transmitting during a request while its server answers all other requests. If hedging isn't
// permitted, the attempt is cancelled and the request is sent elsewhere in time. A request that must not run twice is
// not cancelled, and neither is one that was not overtaken, as its server may only be slow. Two attempts of a request
// are never in flight at once.
func TestLostAttemptIsCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency Idempotency
		overtaken   bool
		retried     bool
	}{"idempotent": {Idempotent, true, true}, "by key": {IdempotentByKey, true, true},
		"not idempotent": {NotIdempotent, true, false}, "not overtaken": {Idempotent, false, false}} {
		s := settings()
		s.Hedging = false
		s.Classes[0].LatencyTarget, s.Classes[0].Deadline, s.Classes[0].Idempotency = 2*time.Second, 10*time.Second, c.idempotency
		s.Classes[0].DedupScope, s.Classes[0].DedupWindow = ScopeAll, 10*time.Second
		f := start(t, s, 3)
		id, served := RequestID(1), map[send]bool{}
		lost := func(x send) bool { return x.id == 100 && x.attempt == 0 }
		step := func(ask bool) {
			if id++; ask || id == 100 {
				f.ask(id, func(r *Request) { r.Deadline = f.now + 10*time.Second })
			}
			f.runUntil(f.now + 10*ms)
			for _, x := range f.sent {
				if !served[x] && !lost(x) && f.now-x.at >= 60*ms {
					served[x] = true
					f.done(x, Served, f.now-x.at)
				}
			}
			for _, x := range f.cancelled {
				f.done(x, Cancelled, f.now-x.at)
			}
			f.cancelled = nil
		}
		for range 98 {
			step(true)
		}
		step(true)
		for k := range 150 {
			step(c.overtaken && k < 140)
		}
		tries := 0
		for _, x := range f.sent {
			if x.id == 100 {
				if tries++; x.attempt == 1 && x.at > 100*ms+f.sent[99].at+1500*ms {
					t.Errorf("%s: the second attempt was sent %v after the first, want at most 1.6s", name, x.at-f.sent[99].at)
				}
			}
		}
		if want := map[bool]int{true: 2, false: 1}[c.retried]; tries != want || (f.ended[100] == "served") != c.retried {
			t.Errorf("%s: %d attempts, ended as %q", name, tries, f.ended[100])
		}
	}
}

func TestUnknownClassOrPlanIsAnswered(t *testing.T) {
	f := start(t, settings(), 2)
	f.ask(1, func(r *Request) { r.Class = 9 })
	f.ask(2, func(r *Request) { r.Plan = -1 })
	f.ask(3, func(r *Request) { r.Deadline = f.now })
	if len(f.ended) != 3 {
		t.Fatalf("answered: %v, want all 3 requests", f.ended)
	}
}

func TestRequestWithoutServerIsAnsweredInTime(t *testing.T) {
	f := start(t, settings(), 0)
	f.ask(1, nil)
	f.runUntil(f.now + 2*time.Second)
	if f.ended[1] != "refused" {
		t.Fatalf("answered: %v, want request 1 refused", f.ended)
	}
}

func TestAttemptInFlightAtTheDeadline(t *testing.T) {
	for idempotency, want := range map[Idempotency]string{Idempotent: "refused", IdempotentByKey: "failed",
		NotIdempotent: "failed"} {
		s := settings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = idempotency, ScopeCell, time.Second
		f := start(t, s, 1)
		f.ask(1, nil)
		f.runUntil(f.now + 2*time.Second)
		if f.ended[1] != want {
			t.Errorf("idempotency %d: %v, want %s", idempotency, f.ended, want)
		}
	}
}

func TestRepeatsKeepToTheirDedupScope(t *testing.T) {
	for scope, allowed := range map[DedupScope]func(a, b ServerID) bool{
		ScopeAll:  func(a, b ServerID) bool { return true },
		ScopeZone: func(a, b ServerID) bool { return a%2 == b%2 },
		ScopeCell: func(a, b ServerID) bool { return a%2 == b%2 },
	} {
		s := settings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = IdempotentByKey, scope, time.Second
		for seed := RequestID(1); seed < 30; seed++ {
			f := start(t, s, 8)
			f.ask(seed, nil)
			f.now += 10 * ms
			f.done(f.sent[0], Errored, 10*ms)
			if len(f.sent) != 2 || !allowed(f.sent[0].to, f.sent[1].to) {
				t.Fatalf("scope %d: sent %v, want a repeat within the scope", scope, f.sent)
			}
			f.now += time.Second // past the window
			f.done(f.sent[1], ConnectionLost, time.Second)
			if len(f.sent) != 2 || f.ended[seed] != "failed" {
				t.Fatalf("sent %v, ended %v; want no attempt after the deduplication window, and failed", f.sent, f.ended)
			}
		}
	}
}

func TestNotIdempotentIsRetriedOnlyWhereItNeverRan(t *testing.T) {
	for ending, retried := range map[Ending]bool{Rejected: true, NotConnected: true, Errored: false, ConnectionLost: false,
		TimedOut: false} {
		s := settings()
		s.Classes[0].Idempotency = NotIdempotent
		f := start(t, s, 4)
		f.ask(1, nil)
		f.now += 10 * ms
		f.done(f.sent[0], ending, 10*ms)
		if got := len(f.sent) == 2; got != retried {
			t.Errorf("ending %d: sent %v, ended %v", ending, f.sent, f.ended)
		}
		if !retried && f.ended[1] != "failed" {
			t.Errorf("ending %d: ended %v, want failed", ending, f.ended)
		}
	}
}

func TestHedging(t *testing.T) {
	for allowed, want := range map[bool]int{true: 2, false: 1} {
		s := settings()
		s.Hedging = allowed
		f := start(t, s, 4)
		f.ask(1, nil)
		f.runUntil(f.now + 400*ms)
		if len(f.sent) != want {
			t.Errorf("hedging permitted: %v; sent %v", allowed, f.sent)
		}
	}
}

func TestStrayEventsChangeNothing(t *testing.T) {
	f := start(t, settings(), 2)
	f.ask(1, nil)
	f.done(f.sent[0], Served, ms)
	n := len(f.trace)
	f.gateway.Outcome(f.now, Outcome{ID: 77, Ending: Errored})
	f.gateway.Outcome(f.now, Outcome{ID: 1, Attempt: 9, Ending: Errored})
	f.gateway.Timer(f.now, 1<<40<<tagBits|tagDeadline)
	f.gateway.Timer(f.now, 1<<tagBits|tagHedge)
	f.gateway.ClientGone(f.now, 1)
	f.gateway.ResponseStarted(f.now, 5, 0)
	if len(f.trace) != n {
		t.Fatalf("actions after stray events: %v, want none", f.trace[n:])
	}
}

func TestStreamHasNoDeadlineOnceStarted(t *testing.T) {
	s := settings()
	s.Classes[0].Streaming = true
	f := start(t, s, 4)
	f.ask(1, nil)
	f.ask(2, nil)
	f.runUntil(f.now + 100*ms)
	f.gateway.ResponseStarted(f.now, 1, 0)
	f.runUntil(f.now + 5*time.Second)
	if f.ended[1] != "" || f.ended[2] == "" || len(f.sent) != 2 {
		t.Fatalf("ended %v, sent %v", f.ended, f.sent)
	}
}

// A pause of this process doesn't extend the deduplication window, because the servers' clocks keep running.
func TestPauseLeavesTheDedupWindow(t *testing.T) {
	s := settings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow, s.Hedging = IdempotentByKey, time.Second, false
	f := start(t, s, 2)
	f.ask(1, nil)
	require.Len(t, f.sent, 1)
	f.now += 1100 * ms
	f.gateway.Resumed(f.now, 1100*ms)
	f.done(f.sent[0], ConnectionLost, time.Second)
	assert.Len(t, f.sent, 1)
	assert.Equal(t, "failed", f.ended[1])
}
