package policy

import (
	"math"
	"testing"
	"time"
)

// The quota counts the units that a request's first successful answer reports, once, and only if the number is
// possible. The hard limit keeps the estimate.
func TestUnitsAreReconciledOnce(t *testing.T) {
	s := settings()
	s.MaxUnits = 6
	s.Plans = []Plan{{Name: "club", Rate: 0.001, Burst: 40, ValueMultiplier: 1, OverQuotaCost: 1, HardLimitRate: 1,
		HardLimitBurst: 60}}
	for _, c := range []struct {
		units []float64
		left  float64
	}{{[]float64{5}, 35}, {[]float64{1}, 39}, {[]float64{0}, 38}, {[]float64{5, 5}, 35}, {[]float64{math.NaN()}, 38},
		{[]float64{-4}, 38}, {[]float64{math.Inf(1)}, 38}, {[]float64{1e6}, 38}} {
		f := start(t, s, 2)
		f.runUntil(f.now + 100*time.Second)
		f.ask(1, func(r *Request) { r.Customer, r.Units = 5, 2 })
		r := f.gateway.requests[1]
		var before, hardLimit float64
		if before, hardLimit = f.remaining(5); math.Abs(before-38) > 0.01 {
			t.Fatalf("balance %v after an estimate of 2 units, want 38", before)
		}
		f.gateway.Outcome(f.now, Outcome{ID: 1, Server: f.sent[0].to, Elapsed: ms, Ending: Served, Answered: true,
			Units: c.units[0]})
		for _, units := range c.units[1:] { // as the answer to a second attempt would
			f.gateway.reconcileUnits(r, units)
		}
		if left, after := f.remaining(5); math.Abs(left-c.left) > 0.01 || after != hardLimit {
			t.Errorf("reported units %v: balance %v, want %v; hard limit %v, want %v", c.units, left, c.left, after, hardLimit)
		}
	}
}

// The units of an answer that arrives after its client has left are still reconciled.
func TestUnitsOfALateAnswerAreReconciled(t *testing.T) {
	s := settings()
	s.MaxUnits, s.Hedging = 6, false
	s.Plans = []Plan{{Name: "club", Rate: 0.001, Burst: 40, ValueMultiplier: 1, OverQuotaCost: 1}}
	f := start(t, s, 2)
	f.ask(1, func(r *Request) { r.Customer, r.Units = 5, 2 })
	f.gateway.ClientGone(f.now, 1)
	f.gateway.Outcome(f.now, Outcome{ID: 1, Server: f.sent[0].to, Elapsed: ms, Ending: Served, Answered: true, Units: 5})
	if left, _ := f.remaining(5); math.Abs(left-35) > 0.01 {
		t.Errorf("balance %v of 40 after 5 units were drawn, want 35", left)
	}
}

// Reconciled units, whether more or less than estimated, reach the other gateways if they share the customer's
// bucket, and the owner if the customer has one.
func TestReconciledUnitsReachPeers(t *testing.T) {
	s := settings()
	s.Peers, s.PeerMessageRate, s.Hedging, s.MaxUnits = true, 100, false, 6
	s.Plans = []Plan{{Name: "club", Rate: 0.001, Burst: 200, ValueMultiplier: 1, OverQuotaCost: 1}}
	for name, setSize := range map[string]int{"shared bucket": 2, "owner": 10} {
		for _, units := range []float64{1, 5} {
			f := newFleet(t, s, 10, 4)
			f.loss = 0
			f.run(time.Second, func() {})
			for id := RequestID(1); id <= 20; id++ {
				n := f.nodes[0]
				n.reportedUnits = units
				n.gateway.Request(f.now, Request{ID: id, Customer: 77, Deadline: f.now + 2*time.Second, Units: 3, SetSize: setSize})
				f.run(100*ms, func() {})
			}
			f.run(time.Second, func() {})
			c := f.nodes[1].gateway.customersByKey[customerKey(77, 0, 0, setSize)]
			if setSize > nearbyDistance+1 {
				owner := f.nodes[0].gateway.customersByID[77]
				c = f.nodes[f.nodes[0].gateway.ownerCandidate(owner, 0)].gateway.customersByKey[ownerKey(owner.key,
					f.nodes[0].gateway.ownerCandidate(owner, 0))]
			}
			if c == nil || math.Abs(c.balance-(200-20*units)) > 6 {
				t.Errorf("%s: balance %+v of 200 after 20 times %v units were drawn", name, c.balance, units)
			}
		}
	}
}
