package policy

import (
	"math"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// After a stall of a gateway, each request that arrived meanwhile gets one answer in time, and no group is shed
// because of the stall.
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
	f.now += 1500 * ms // no timer fires meanwhile
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
		t.Fatalf("log %v, want no group shed", f.log)
	}
}

// All servers have become slower and there is overload. A request that would be late at any server is refused at once,
// which leaves the capacity to requests that can be answered in time. Before the slowdown it is served.
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
	run := func(d time.Duration) (large, largeAdmitted, small, smallAdmitted int) {
		for end := f.now + d; f.now < end; step() {
			if large++; ask(6) {
				largeAdmitted++
			}
			if small++; ask(1) {
				smallAdmitted++
			}
		}
		return
	}
	_, in, _, _ := run(5 * time.Second)
	if in < 10 {
		t.Fatalf("%d large requests admitted while they can be answered in time, want at least 10", in)
	}
	slow = 4
	run(5 * time.Second)
	_, in, _, small := run(5 * time.Second)
	if in > 8 || small < 20 {
		t.Errorf("%d large requests admitted that take 2.4 s with a target of 1 s, want at most 8; %d small ones, want at least 20", in, small)
	}
}

func TestScoreByHand(t *testing.T) {
	// v 0.2, 3 of 4 s of latency, 10 of 40 requests: 1/0.2 x 0.75 x 4 = 15
	if f := ruda.Score(0.2, 3, 4, 10, 40); math.Abs(f-15) > 1e-9 {
		t.Fatalf("f = %v, want 15", f)
	}
}

// Every answer is late for a while. The plan of the lowest value is shed first, then the next one; later both are
// readmitted.
func TestGroupsAreShedByScoreAndReadmitted(t *testing.T) {
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
		t.Fatalf("groups shed: %v, want read/cheap and then read/mid", f.log)
	}
	for i := 0; i < 400; i++ {
		step(5 * ms)
	}
	if all := strings.Join(f.log, "; "); !strings.Contains(all, "lift read/mid; lift read/cheap") {
		t.Fatalf("log: %s; want read/mid and then read/cheap readmitted", all)
	}
	if strings.Contains(strings.Join(f.log, ";"), "cut read/dear") {
		t.Fatal("the last remaining group was shed")
	}
}

// A single server that answers late isn't overload, however many of the samples are from it.
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
		t.Fatalf("log %v, want no group shed", f.log)
	}
}

// Overload in which no attempt ends is detected by the age of the attempts in flight, and few more are sent.
func TestOverloadInWhichNothingFinishes(t *testing.T) {
	f := start(t, settings(), 4)
	for i := 1; i <= 400; i++ {
		f.ask(RequestID(i), func(r *Request) { r.Deadline = f.now + 20*time.Second })
		f.runUntil(f.now + 5*ms)
	}
	if n := len(f.sent); n > 4*4*2 {
		t.Fatalf("%d attempts sent to 4 servers that answer nothing, want at most 32", n)
	}
}

// Some attempts are lost on their connections, while later attempts to the same servers are served in time. Lost
// attempts are neither overload nor load on a server, and no other request is refused because of them.
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
	if len(f.log) > 0 || refused > 450 { // each request whose attempt is lost is refused at its deadline, as it is idempotent
		t.Fatalf("%d of 3000 refused, want at most 450, as 375 are lost; log %v, want none", refused, f.log)
	}
}

// An ordinary tail of latencies under little load must not shrink the capacity.
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
		t.Fatalf("capacity shrank from %v to %v", before, f.gateway.totalCapacity())
	}
}

// No group is shed if answers are late for other reasons than load.
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
		t.Fatalf("%d sent, want 60; log %v, want no group shed", len(f.sent), f.log)
	}
}

// A slow minority of servers must not shrink the capacity of the others.
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
			t.Errorf("server %d: capacity %v; want at most the initial %v at servers 1 to 3, and at least that at the others", x.ID, capacity, initialCapacity)
		}
	}
}
