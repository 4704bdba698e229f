package policy

import (
	"math"
	"testing"
	"time"
)

// The limit on attempts in flight holds over all of a customer's gateways, whichever of them it asks. Lost updates
// neither keep a slot nor free one for long, and while a gateway is down or partitioned both sides keep to their
// parts.
func TestMaxInFlightOverGateways(t *testing.T) {
	s := settings()
	s.Peers, s.PeerMessageRate, s.Hedging = true, 100, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = 2*time.Second, 10*time.Second
	s.Plans = []Plan{{Name: "open", MaxInFlight: 6, ValueMultiplier: 1, OverQuotaCost: 1}}
	f := newFleet(t, s, 3, 12)
	id := RequestID(0)
	out := func() (n int) {
		for _, n2 := range f.nodes {
			n += len(n2.gateway.inFlight)
		}
		return n
	}
	ask := func(node int) bool {
		id++
		n := f.nodes[node]
		n.latency = 400 * ms
		n.gateway.Request(f.now, Request{ID: id, Customer: 7, Deadline: f.now + 9*time.Second, Units: 1, SetSize: 3})
		return n.sent[id]
	}
	f.run(2*time.Second, func() {})

	most := 0
	f.run(3*time.Second, func() { ask(0); most = max(most, out()) })
	if most != 6 {
		t.Errorf("one gateway that is asked alone had %d in flight at most, the limit is 6", most)
	}
	f.run(2*time.Second, func() {})

	sum, ticks := 0, 0
	f.run(20*time.Second, func() {
		for node := range f.nodes {
			if f.rng.Float64() < 0.02 {
				ask(node)
			}
		}
		ticks++
		sum += max(0, out()-6)
	})
	if mean := float64(sum) / float64(ticks); mean > 0.3 {
		t.Errorf("%.2f beyond the limit in the mean, more than crossing updates explain", mean)
	}
	f.run(3*time.Second, func() {})
	if out() != 0 {
		t.Fatalf("%d in flight at rest", out())
	}

	f.partitioned = func(from, to int) bool { return from == 2 || to == 2 }
	f.run(2*time.Second, func() {})
	most = 0
	for range 20 { // one that is cut off has its part, and the others leave that alone
		f.run(100*ms, func() {})
		for range 6 {
			ask(0)
			ask(2)
		}
		f.run(100*ms, func() {})
		if len(f.nodes[2].gateway.inFlight) > 2 || out() > 6 {
			t.Errorf("%d in flight with one of three partitioned, %d of it there", out(), len(f.nodes[2].gateway.inFlight))
		}
		most = max(most, out())
	}
	if most < 6 {
		t.Errorf("%d in flight at most while more is asked, the limit is 6", most)
	}
	f.partitioned = nil
	f.run(3*time.Second, func() {})
	in := 0
	f.run(50*ms, func() {
		if ask(1) {
			in++
		}
	})
	if in != 6 {
		t.Errorf("%d of 6 are admitted at once after all hear each other again: a slot was kept or freed", in)
	}
}

func TestQuotaBoundsDemandBeyondTheRate(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 20
	f := start(t, s, 8)
	for i := 1; i <= 2000; i++ { // 100 a second for 20 s
		f.ask(RequestID(i), func(r *Request) { r.Customer = 5 })
		f.runUntil(f.now + 10*ms)
		if n := len(f.sent); n > 0 && f.ended[f.sent[n-1].id] == "" {
			f.done(f.sent[n-1], Served, 5*ms)
		}
	}
	if n := len(f.sent); n < 180 || n > 260 {
		t.Fatalf("%d sent on, want near 20 + 10 x 20", n)
	}
}

func TestHardLimitAfterRestart(t *testing.T) {
	s := settings()
	s.Plans[0].HardLimitRate, s.Plans[0].HardLimitBurst = 10, 20
	sent := 0
	for life := 0; life < 10; life++ { // ten restarts, half a second apart
		f := start(t, s, 30)
		for i := 1; i <= 50; i++ {
			f.ask(RequestID(i), func(r *Request) { r.Customer = 5 })
			f.runUntil(f.now + 10*ms)
			f.done(send{RequestID(i), 1, 0, 0}, Served, ms)
		}
		sent += len(f.sent)
	}
	if sent > 60 || sent < 20 {
		t.Fatalf("%d units in 5 s and ten incarnations, the hard limit fills 10 a second", sent)
	}
}

func TestUnitsThatAreNotANumber(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 5
	f := start(t, s, 20)
	for i := 1; i <= 40; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Customer, r.Units = 5, []float64{math.NaN(), math.Inf(1), -3, 1}[i%4] })
	}
	if n := len(f.sent); n < 3 || n > 12 {
		t.Fatalf("%d of 40 admitted at once, the burst holds 5", n)
	}
}

// Where all gateways ask less than the rate, a bucket refills with what the others leave, not with a part of the
// rate. So it does while the gateway that shares the bucket has just timed out.
func TestRefillWithWhatOthersLeave(t *testing.T) {
	x := newExchange(t, 2, 4) // of a rate of 10
	s := twoGateways()
	f := start(t, s, 8)
	for i := RequestID(1); i <= 60; i++ {
		x.step(f, 50*ms)
		f.ask(i, func(r *Request) { r.Customer, r.SetSize, r.Units = 5, 2, 0.05 })
		f.runUntil(f.now + 50*ms)
	}
	c := f.gateway.customersByID[5]
	f.runUntil(f.now + peerAliveFor + 100*ms)
	f.gateway.refill(c, 0)
	c.balance = 0
	f.now += 200 * ms
	f.ask(99, func(r *Request) { r.Customer, r.SetSize, r.Units = 5, 2, 0 })
	if got := c.balance; got < 1.6 || got > 2.8 { // 0.3 s of 10 less what is still known of 4; a share would be half
		t.Fatalf("refilled %v", got)
	}
}

// A plan with only a limit on attempts in flight: the limit is split over the gateways, and a slot frees with each
// answer.
func TestMaxInFlightAlone(t *testing.T) {
	s := twoGateways()
	s.Plans[0] = Plan{Name: "cap", MaxInFlight: 6, ValueMultiplier: 1, OverQuotaCost: 1}
	f := start(t, s, 30)
	ask := func(from RequestID) int {
		for i := from; i < from+10; i++ {
			f.ask(i, func(r *Request) { r.Customer, r.SetSize = 5, 2 })
		}
		return len(f.sent)
	}
	if n := ask(1); n != 3 {
		t.Fatalf("%d in flight at once under a limit of 6", n)
	}
	before := len(f.sent)
	f.done(f.sent[0], Served, ms)
	if n := ask(100) - before; n != 1 {
		t.Fatalf("%d admitted after one answer", n)
	}
}
