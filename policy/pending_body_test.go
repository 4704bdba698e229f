package policy

import (
	"testing"
	"time"
)

// bodyPending makes a request one whose body is still being received.
func bodyPending(r *Request) { r.BodyPending = true }

// While a body is pending no time counts for its request: it isn't answered at its first deadline, its server isn't
// taken for slow, and it isn't hedged. From its last byte on it has a deadline as any other.
func TestNoTimeCountsWhileABodyIsPending(t *testing.T) {
	f := start(t, settings(), 4)
	f.ask(1, bodyPending)
	to := f.sent[0].to
	f.runUntil(f.now + 10*time.Second)
	if len(f.sent) != 1 || f.ended[1] != "" {
		t.Fatalf("%d attempts, ended %q", len(f.sent), f.ended[1])
	}
	if f.gateway.load() != 0 || f.gateway.serversByID[to].load() != 0 {
		t.Errorf("%v slots are occupied, %v at its server, which has nothing to do yet", f.gateway.load(),
			f.gateway.serversByID[to].load())
	}
	if f.gateway.overloaded ||
		f.gateway.capacityOf(f.gateway.serversByID[to]) < f.gateway.capacityOf(f.gateway.serversByID[to%4+1]) {
		t.Error("the time that the body took is held against its server")
	}
	for _, o := range f.gateway.Observe(f.now) {
		if o.Overdue > 0 {
			t.Errorf("server %d is seen as overdue", o.ID)
		}
	}
	f.gateway.BodySent(f.now, 1, f.now+2*time.Second)
	if f.gateway.load() != 1 || f.gateway.serversByID[to].load() != 1 {
		t.Errorf("%v slots are occupied, %v at its server", f.gateway.load(), f.gateway.serversByID[to].load())
	}
	f.runUntil(f.now + 1900*ms)
	if len(f.sent) != 1 || f.ended[1] != "" {
		t.Fatalf("%d attempts, ended %q before its time was over", len(f.sent), f.ended[1])
	}
	f.runUntil(f.now + 200*ms)
	if f.ended[1] != "refused" {
		t.Errorf("ended %q after its time", f.ended[1])
	}
}

// A request that no server can take keeps its first deadline: a client isn't kept waiting with half its body sent.
func TestQueuedWhileABodyIsPending(t *testing.T) {
	f := start(t, settings(), 0)
	f.ask(1, bodyPending)
	f.runUntil(f.now + 3*time.Second)
	if f.ended[1] != "refused" {
		t.Errorf("ended %q", f.ended[1])
	}
}

// An attempt that consumed nothing of its body may be followed by another one; one that did may not, whatever the
// class.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	for spent, attempts := range map[bool]int{false: 2, true: 1} {
		f := start(t, settings(), 4)
		f.ask(1, bodyPending)
		s := f.sent[0]
		f.gateway.Outcome(f.now, Outcome{ID: 1, Server: s.to, Ending: NotConnected, BodyConsumed: spent})
		if len(f.sent) != attempts {
			t.Errorf("consumed %v: %d attempts", spent, len(f.sent))
		}
		if spent && f.ended[1] != "refused" {
			t.Errorf("ended %q, though nothing ran", f.ended[1])
		}
	}
	f := start(t, settings(), 4)
	f.ask(1, bodyPending)
	f.gateway.BodySent(f.now, 1, f.now+2*time.Second)
	f.done(f.sent[0], Errored, 10*ms)
	if len(f.sent) != 1 || f.ended[1] == "" {
		t.Errorf("%d attempts, ended %q: it came by once", len(f.sent), f.ended[1])
	}
}

// The units of a request count as drawn when its last byte has come. Until then the bucket doesn't refill what is
// reserved for them, and a request whose body never comes has drawn nothing.
func TestUnitsOfAPendingBody(t *testing.T) {
	s := settings()
	s.Plans[0] = Plan{Name: "basic", Rate: 2, Burst: 10, ValueMultiplier: 1, OverQuotaCost: 1, HardLimitRate: 4,
		HardLimitBurst: 20}
	f := start(t, s, 4)
	f.runUntil(f.now + time.Minute)
	f.serve(1, ms, func(r *Request) { r.Customer = 5 })
	f.runUntil(f.now + 10*time.Second)
	f.ask(2, func(r *Request) { r.Customer, r.Units, r.BodyPending = 5, 8, true })
	f.runUntil(f.now + 10*time.Second)
	if balance, hardLimit := f.remaining(5); balance != 2 || hardLimit != 12 {
		t.Errorf("%v and %v are left of 10 and 20 while 8 are to come", balance, hardLimit)
	}
	f.gateway.BodySent(f.now, 2, f.now+2*time.Second)
	if balance, _ := f.remaining(5); balance != 2 {
		t.Errorf("%v are left when 8 have come", balance)
	}
	f.done(f.sent[len(f.sent)-1], Served, 10*ms)
	f.runUntil(f.now + 10*time.Second)
	if balance, hardLimit := f.remaining(5); balance != 10 || hardLimit != 20 {
		t.Errorf("%v and %v are left of 10 and 20 at last", balance, hardLimit)
	}
	f.ask(3, func(r *Request) { r.Customer, r.Units, r.BodyPending = 5, 8, true })
	to := f.sent[len(f.sent)-1]
	f.gateway.Outcome(f.now, Outcome{ID: 3, Server: to.to, Ending: NeverSent, BodyConsumed: true})
	if balance, hardLimit := f.remaining(5); balance != 10 || hardLimit != 20 {
		t.Errorf("%v and %v are left of 10 and 20 though nothing came", balance, hardLimit)
	}
}
