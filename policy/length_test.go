package policy

import (
	"math"
	"testing"
	"time"
)

// How long a request takes follows its units where they matter, and its class alone where they don't.
func TestLatencyByUnits(t *testing.T) {
	var grows, same, one decayingFit
	for i := range 200 {
		units := 1 + float64(i%6)
		grows.add(0.99, units, 0.05+0.15*units)
		same.add(0.99, units, 0.3)
		one.add(0.99, 2, 0.3)
	}
	for units := 1.0; units <= 6; units++ {
		if got := grows.predict(units); math.Abs(got-0.05-0.15*units) > 0.01 {
			t.Errorf("%v units: %v", units, got)
		}
		if math.Abs(same.predict(units)-0.3) > 0.01 || math.Abs(one.predict(units)-0.3) > 0.01 {
			t.Errorf("%v units: %v and %v where all take 0.3", units, same.predict(units), one.predict(units))
		}
	}
}

// While a fleet is pressed as all its servers have become slower, a request that would be late on any of them is refused at
// once and leaves its room to one that won't be; before and after it is served.
func TestLongRequestsAreRefusedUnderOverload(t *testing.T) {
	s := settings()
	s.Hedging, s.MaxUnits = false, 6
	s.Classes[0].LatencyTarget = time.Second
	f := start(t, s, 2)
	slow, id := 1.0, RequestID(0)
	ask := func(units float64) bool {
		id++
		f.ask(id, func(r *Request) { r.Units = units })
		return f.ended[id] == ""
	}
	step := func() {
		f.runUntil(f.now + 20*ms)
		for _, x := range f.sent {
			r := f.gateway.requests[x.id]
			if r == nil || len(r.inFlight) == 0 {
				continue
			}
			if took := time.Duration(slow * r.Units * float64(100*ms)); f.now-x.at >= took {
				f.done(x, Served, f.now-x.at)
			}
		}
	}
	run := func(d time.Duration) (large, largeIn, small, smallIn int) {
		for end := f.now + d; f.now < end; step() {
			if large++; ask(6) {
				largeIn++
			}
			if small++; ask(1) {
				smallIn++
			}
		}
		return
	}
	_, in, _, _ := run(5 * time.Second)
	if in < 10 {
		t.Fatalf("%d large requests let in while they can be in time", in)
	}
	slow = 4
	run(5 * time.Second)
	_, in, _, small := run(5 * time.Second)
	if in > 8 || small < 20 {
		t.Errorf("%d large requests let in that take 2.4 s where 1 s is wanted, and %d small ones", in, small)
	}
}
