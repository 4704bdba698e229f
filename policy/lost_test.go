package policy

import (
	"testing"
	"time"
)

// A connection falls silent under a request while its server answers all else. Where no second copy may be out beside it the
// attempt is ended and the request goes elsewhere, in time; one that must not run twice stays, and so does one that
// nobody has passed: its server may only be slow. No two attempts of a request are ever out at once.
func TestLostAttemptIsCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		effect Idempotency
		passed bool
		again  bool
	}{"safe": {Idempotent, true, true}, "keyed": {IdempotentByKey, true, true}, "unsafe": {NotIdempotent, true, false}, "not passed": {Idempotent, false, false}} {
		s := settings()
		s.Hedging = false
		s.Classes[0].LatencyTarget, s.Classes[0].Deadline, s.Classes[0].Idempotency = 2*time.Second, 10*time.Second, c.effect
		s.Classes[0].DedupScope, s.Classes[0].DedupWindow = ScopeAll, 10*time.Second
		f := start(t, s, 3)
		id, served := RequestID(1), map[send]bool{}
		lost := func(x send) bool { return x.id == 100 && x.attempt == 0 }
		step := func(more bool) {
			if id++; more || id == 100 {
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
			step(c.passed && k < 140)
		}
		tries := 0
		for _, x := range f.sent {
			if x.id == 100 {
				if tries++; x.attempt == 1 && x.at > 100*ms+f.sent[99].at+1500*ms {
					t.Errorf("%s: its second attempt comes %v after the first", name, x.at-f.sent[99].at)
				}
			}
		}
		if want := map[bool]int{true: 2, false: 1}[c.again]; tries != want || (f.ended[100] == "served") != c.again {
			t.Errorf("%s: %d attempts, ended %q", name, tries, f.ended[100])
		}
	}
}
