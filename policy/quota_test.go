package policy

import (
	"math"
	"testing"
	"time"
)

// The limit on attempts in flight holds over all of a customer's gateways, at whichever of them its requests arrive.
// Lost updates neither occupy a slot nor free one for long. While a gateway is down or partitioned, both sides use
// only their parts of the limit.
func TestMaxInFlightOverGateways(t *testing.T) {
	s := settings()
	s.Peers, s.PeerMessageRate, s.Hedging = true, 100, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = 2*time.Second, 10*time.Second
	s.Plans = []Plan{{Name: "open", MaxInFlight: 6, ValueMultiplier: 1, OverQuotaCost: 1}}
	f := newFleet(t, s, 3, 12)
	id := RequestID(0)
	inFlight := func() (n int) {
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
	f.run(3*time.Second, func() { ask(0); most = max(most, inFlight()) })
	if most != 6 {
		t.Errorf("at most %d in flight with requests at a single gateway, want the limit of 6", most)
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
		sum += max(0, inFlight()-6)
	})
	if mean := float64(sum) / float64(ticks); mean > 0.3 {
		t.Errorf("%.2f above the limit on average, want at most 0.3, which crossing updates explain", mean)
	}
	f.run(3*time.Second, func() {})
	if inFlight() != 0 {
		t.Fatalf("%d in flight 3 s after the last request, want 0", inFlight())
	}

	f.partitioned = func(from, to int) bool { return from == 2 || to == 2 }
	f.run(2*time.Second, func() {})
	most = 0
	for range 20 { // the partitioned gateway uses its part, and the others leave that part free
		f.run(100*ms, func() {})
		for range 6 {
			ask(0)
			ask(2)
		}
		f.run(100*ms, func() {})
		if len(f.nodes[2].gateway.inFlight) > 2 || inFlight() > 6 {
			t.Errorf("%d in flight with one of three gateways partitioned, want at most 6; %d of them there, want at most 2", inFlight(), len(f.nodes[2].gateway.inFlight))
		}
		most = max(most, inFlight())
	}
	if most < 6 {
		t.Errorf("at most %d in flight although more are requested, want the limit of 6", most)
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
		t.Errorf("%d admitted at once after the partition, want 6: a slot was wrongly kept or freed", in)
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
		t.Fatalf("%d admitted, want about 20 + 10 x 20", n)
	}
}

func TestHardLimitAfterRestart(t *testing.T) {
	s := settings()
	s.Plans[0].HardLimitRate, s.Plans[0].HardLimitBurst = 10, 20
	sent := 0
	for incarnation := 0; incarnation < 10; incarnation++ { // ten restarts, half a second apart
		f := start(t, s, 30)
		for i := 1; i <= 50; i++ {
			f.ask(RequestID(i), func(r *Request) { r.Customer = 5 })
			f.runUntil(f.now + 10*ms)
			f.done(send{RequestID(i), 1, 0, 0}, Served, ms)
		}
		sent += len(f.sent)
	}
	if sent > 60 || sent < 20 {
		t.Fatalf("%d units in 5 s and ten incarnations, want 20 to 60, as the hard limit fills 10 a second", sent)
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
		t.Fatalf("%d of 40 admitted at once, want 3 to 12 with a burst of 5", n)
	}
}

// If the demand at all gateways together is below the rate, a bucket refills with the part of the rate that the other
// gateways leave, and not only with a fixed part. This also holds right after the gateway that shares the bucket has
// timed out.
func TestRefillWithWhatOthersLeave(t *testing.T) {
	x := newSimulatedPeer(t, 2, 4) // of a rate of 10
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
	if got := c.balance; got < 1.6 || got > 2.8 { // 0.3 s of 10 a second, less what is left of the peer's 4; a fixed part would be half
		t.Fatalf("refilled %v units, want 1.6 to 2.8", got)
	}
}

// A plan has only a limit on attempts in flight. The limit is split over the gateways, and each answer frees a slot.
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
		t.Fatalf("%d in flight at once, want 3, half of the limit of 6", n)
	}
	before := len(f.sent)
	f.done(f.sent[0], Served, ms)
	if n := ask(100) - before; n != 1 {
		t.Fatalf("%d admitted after one answer, want 1", n)
	}
}
