package policy

import (
	"math"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// After a stall of a gateway all that came meanwhile has one answer each, in time, and the stall sheds nothing once
// it is over.
func TestBacklogAfterAStall(t *testing.T) {
	f := start(t, settings(), 10)
	for i := 1; i <= 100; i++ {
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 10*ms)
		f.done(f.sent[len(f.sent)-1], Served, 10*ms)
	}
	deadlines := map[RequestID]Time{}
	for i := RequestID(101); i <= 250; i++ {
		deadlines[i] = f.now + time.Duration(i*10)*ms
	}
	f.now += 1500 * ms // no turn meanwhile
	from := len(f.sent)
	for i := RequestID(101); i <= 250; i++ {
		f.ask(i, func(r *Request) { r.Deadline = deadlines[i] })
	}
	f.runUntil(f.now + 20*ms)
	for _, x := range f.sent[from:] {
		if f.ended[x.id] == "" {
			f.done(x, Served, 20*ms)
		}
	}
	f.runUntil(f.now + 3*time.Second)
	for i := RequestID(101); i <= 250; i++ {
		if f.ended[i] == "" {
			t.Fatalf("request %d has no answer", i)
		}
	}
	if len(f.log) > 0 {
		t.Fatalf("log %v", f.log)
	}
}

// While all servers have become slower and there is overload, a request that would be late at any of them is refused
// at once and leaves its capacity to one that won't be; before and after it is served.
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
		t.Fatalf("%d large requests admitted while they can be in time", in)
	}
	slow = 4
	run(5 * time.Second)
	_, in, _, small := run(5 * time.Second)
	if in > 8 || small < 20 {
		t.Errorf("%d large requests admitted that take 2.4 s where 1 s is wanted, and %d small ones", in, small)
	}
}

func TestScoreByHand(t *testing.T) {
	// v 0.2, 3 of 4 s of latency, 10 of 40 requests: 1/0.2 x 0.75 x 4 = 15
	if f := ruda.Score(0.2, 3, 4, 10, 40); math.Abs(f-15) > 1e-9 {
		t.Fatalf("f = %v, want 15", f)
	}
}

// Every answer is late for a while: the cheap plan is shed first, then the next one, and both are taken back.
func TestGroupsAreShedByScoreAndTakenBack(t *testing.T) {
	s := settings()
	s.Plans = []Plan{{Name: "cheap", Rate: 1e5, Burst: 1e5, ValueMultiplier: 1},
		{Name: "mid", Rate: 1e5, Burst: 1e5, ValueMultiplier: 2},
		{Name: "dear", Rate: 1e5, Burst: 1e5, ValueMultiplier: 8}}
	f := start(t, s, 8)
	id := RequestID(0)
	step := func(took time.Duration) {
		for p := range s.Plans {
			id++
			f.ask(id, func(r *Request) { r.Plan = p })
		}
		f.runUntil(f.now + 20*ms)
		for len(f.sent) > 0 && f.now-f.sent[0].at >= took {
			if f.ended[f.sent[0].id] == "" {
				f.done(f.sent[0], Served, took)
			}
			f.sent = f.sent[1:]
		}
	}
	for i := 0; i < 110; i++ {
		step(700 * ms)
	}
	if len(f.log) < 2 || !strings.Contains(f.log[0], "cut read/cheap") || !strings.Contains(f.log[1], "cut read/mid") {
		t.Fatalf("cuts: %v", f.log)
	}
	for i := 0; i < 400; i++ {
		step(5 * ms)
	}
	if all := strings.Join(f.log, "; "); !strings.Contains(all, "lift read/mid; lift read/cheap") {
		t.Fatalf("lifts: %s", all)
	}
	if strings.Contains(strings.Join(f.log, ";"), "cut read/dear") {
		t.Fatal("the last group was cut")
	}
}

// One server that answers late is no overload, however many of the samples are its own.
func TestOneLateServerIsNoOverload(t *testing.T) {
	f := start(t, settings(), 8)
	for i := 1; i <= 200; i++ {
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 10*ms)
		x := f.sent[len(f.sent)-1]
		if x.to == 3 {
			f.done(x, Served, 900*ms)
		} else {
			f.done(x, Served, 20*ms)
		}
	}
	if len(f.log) > 0 {
		t.Fatalf("log: %v", f.log)
	}
}

// Overload in which nothing finishes shows by the age of what is in flight, and little more is sent.
func TestOverloadInWhichNothingFinishes(t *testing.T) {
	f := start(t, settings(), 4)
	for i := 1; i <= 400; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Deadline = f.now + 20*time.Second })
		f.runUntil(f.now + 5*ms)
	}
	if n := len(f.sent); n > 4*4*2 {
		t.Fatalf("%d attempts went into a fleet of 4 that answers nothing", n)
	}
}

// Attempts are lost on their connections while what is sent later to the same servers is served in time. They are
// neither overload nor load of a server, and nothing is refused for them.
func TestLostAttemptsAreNoOverload(t *testing.T) {
	s := settings()
	s.Hedging = false
	f := start(t, s, 4)
	for i := 1; i <= 3000; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Deadline = f.now + 4*time.Second })
		f.runUntil(f.now + 20*ms)
		rest := f.sent[:0]
		for _, x := range f.sent {
			switch took := f.now - x.at; {
			case x.id%8 == 0 && took >= 4*time.Second:
				f.done(x, TimedOut, took)
			case x.id%8 != 0 && took >= 60*ms:
				f.done(x, Served, took)
			default:
				rest = append(rest, x)
			}
		}
		f.sent = rest
	}
	refused := 0
	for _, how := range f.ended {
		if how == "refused" {
			refused++
		}
	}
	if len(f.log) > 0 || refused > 450 { // each that is lost is refused in the end, as a safe one may be
		t.Fatalf("%d of 3000 refused, 375 lost; log %v", refused, f.log)
	}
}

// An ordinary tail of latencies while there is little load must not shrink the capacity.
func TestTailsWithoutLoadKeepTheCapacity(t *testing.T) {
	f := start(t, settings(), 10)
	f.ask(1, nil)
	f.runUntil(f.now + 10*ms)
	f.done(f.sent[0], Served, 10*ms)
	before := f.gateway.totalCapacity()
	for i := 2; i <= 100; i++ {
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 50*ms)
		f.done(f.sent[len(f.sent)-1], Served, 400*ms)
	}
	if f.gateway.totalCapacity() < before {
		t.Fatalf("capacity %v -> %v", before, f.gateway.totalCapacity())
	}
}

// A fleet with little load whose answers are late for other reasons sheds no group.
func TestLatenessOfAnIdleFleetShedsNothing(t *testing.T) {
	s := settings()
	s.Plans = append(s.Plans, Plan{Name: "dear", Rate: 1000, Burst: 1000, ValueMultiplier: 5})
	s.Hedging = false
	f := start(t, s, 10)
	for i := 1; i <= 60; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Plan = i % 2 })
		f.runUntil(f.now + 600*ms)
		f.done(f.sent[len(f.sent)-1], Served, 600*ms)
	}
	if len(f.log) > 0 || len(f.sent) != 60 {
		t.Fatalf("%d sent, log %v", len(f.sent), f.log)
	}
}

// A slow minority must not shrink the capacity of the other servers.
func TestUnhealthyServersKeepTheirOwnCapacity(t *testing.T) {
	s := settings()
	s.Hedging = false
	f := start(t, s, 10)
	for i := 1; i <= 3000; i++ {
		f.ask(RequestID(i), nil)
		f.runUntil(f.now + 5*ms)
		rest := f.sent[:0]
		for _, x := range f.sent {
			took := 100 * ms
			if x.to <= 3 {
				took = 900 * ms
			}
			if f.now-x.at >= took && f.ended[x.id] == "" {
				f.done(x, Served, took)
			} else {
				rest = append(rest, x)
			}
		}
		f.sent = rest
	}
	for _, x := range f.gateway.servers {
		if capacity := f.gateway.capacityOf(x); x.ID <= 3 && capacity > initialCapacity || x.ID > 3 &&
			capacity < initialCapacity {
			t.Errorf("server %d: capacity %v, started at %v", x.ID, capacity, initialCapacity)
		}
	}
}
