package policy

import (
	"testing"
	"time"
)

// bodyPending marks a request's body as still being received.
func bodyPending(r *Request) { r.BodyPending = true }

// While a request's body is pending, time doesn't count: the request isn't answered at its first deadline, its server
// isn't considered slow, and the request isn't hedged. Once the last byte is sent, the request has a deadline like
// any other.
func TestNoTimeCountsWhileABodyIsPending(t *testing.T) {
	f := start(t, settings(), 4)
	f.ask(1, bodyPending)
	to := f.sent[0].to
	f.runUntil(f.now + 10*time.Second)
	if len(f.sent) != 1 || f.ended[1] != "" {
		t.Fatalf("%d attempts, want 1; ended as %q while the body is pending", len(f.sent), f.ended[1])
	}
	if f.gateway.load() != 0 || f.gateway.serversByID[to].load() != 0 {
		t.Errorf("%v slots are occupied, %v at the server; want none while the body is pending", f.gateway.load(),
			f.gateway.serversByID[to].load())
	}
	if f.gateway.overloaded ||
		f.gateway.capacityOf(f.gateway.serversByID[to]) < f.gateway.capacityOf(f.gateway.serversByID[to%4+1]) {
		t.Error("the time that the body took has reduced the capacity of its server or caused overload")
	}
	for _, o := range f.gateway.Observe(f.now) {
		if o.Overdue > 0 {
			t.Errorf("server %d has overdue attempts, want none", o.ID)
		}
	}
	f.gateway.BodySent(f.now, 1, f.now+2*time.Second)
	if f.gateway.load() != 1 || f.gateway.serversByID[to].load() != 1 {
		t.Errorf("%v slots are occupied, %v at the server; want 1 after the last byte", f.gateway.load(), f.gateway.serversByID[to].load())
	}
	f.runUntil(f.now + 1900*ms)
	if len(f.sent) != 1 || f.ended[1] != "" {
		t.Fatalf("%d attempts, want 1; ended as %q before the deadline", len(f.sent), f.ended[1])
	}
	f.runUntil(f.now + 200*ms)
	if f.ended[1] != "refused" {
		t.Errorf("ended as %q after the deadline, want refused", f.ended[1])
	}
}

// A request that can't be sent to any server keeps its first deadline, so that its client doesn't wait with half of the
// body sent.
func TestQueuedWhileABodyIsPending(t *testing.T) {
	f := start(t, settings(), 0)
	f.ask(1, bodyPending)
	f.runUntil(f.now + 3*time.Second)
	if f.ended[1] != "refused" {
		t.Errorf("ended as %q, want refused", f.ended[1])
	}
}

// An attempt that consumed nothing of the request's body may be followed by another attempt. An attempt that consumed
// some of it may not, whatever the class.
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
			t.Errorf("ended as %q, want refused, as nothing ran", f.ended[1])
		}
	}
	f := start(t, settings(), 4)
	f.ask(1, bodyPending)
	f.gateway.BodySent(f.now, 1, f.now+2*time.Second)
	f.done(f.sent[0], Errored, 10*ms)
	if len(f.sent) != 1 || f.ended[1] == "" {
		t.Errorf("%d attempts, want 1, as the body was sent; ended as %q, want an answer", len(f.sent), f.ended[1])
	}
}

// The units of a request count as drawn once the last byte of its body is received. Until then they are reserved and
// the bucket doesn't refill them. A request whose body is never received has drawn nothing.
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
		t.Errorf("balance %v and hard limit %v while 8 units are pending, want 2 and 12", balance, hardLimit)
	}
	f.gateway.BodySent(f.now, 2, f.now+2*time.Second)
	if balance, _ := f.remaining(5); balance != 2 {
		t.Errorf("balance %v once 8 units are drawn, want 2", balance)
	}
	f.done(f.sent[len(f.sent)-1], Served, 10*ms)
	f.runUntil(f.now + 10*time.Second)
	if balance, hardLimit := f.remaining(5); balance != 10 || hardLimit != 20 {
		t.Errorf("balance %v and hard limit %v after the refill, want 10 and 20", balance, hardLimit)
	}
	f.ask(3, func(r *Request) { r.Customer, r.Units, r.BodyPending = 5, 8, true })
	to := f.sent[len(f.sent)-1]
	f.gateway.Outcome(f.now, Outcome{ID: 3, Server: to.to, Ending: NeverSent, BodyConsumed: true})
	if balance, hardLimit := f.remaining(5); balance != 10 || hardLimit != 20 {
		t.Errorf("balance %v and hard limit %v without a body, want 10 and 20", balance, hardLimit)
	}
}
