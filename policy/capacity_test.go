package policy

import (
	"testing"
	"time"
)

// If eighty gateways each have one or two attempts in flight on average, some have four or five by chance. This doesn't
// mean that the fleet is full, and requests must not be refused because of it.
func TestSparseTrafficHasABurstAllowance(t *testing.T) {
	f, s := wideFleet(t)
	s.Plans[0].Rate, s.Plans[0].Burst = 1e4, 1e4
	for _, n := range f.nodes {
		n.gateway.cfg.Plans = s.Plans
	}
	asked := 0
	f.run(10*time.Second, func() {
		for k := f.rng.IntN(5); k > 0; k-- { // 400 a second: 80 in flight at 60 servers
			asked++
			n := f.nodes[f.rng.IntN(80)]
			if n.latency = 200 * ms; asked%20 == 0 { // some are slow, as some servers are
				n.latency = 400 * ms
			}
			n.gateway.Request(f.now, Request{ID: RequestID(asked), Customer: CustomerID(asked), Deadline: f.now + 2*time.Second,
				Units: 1, SetSize: 1, FirstGateway: n.number})
		}
	})
	refused := 0
	for _, n := range f.nodes {
		refused += len(n.refused)
	}
	if refused*50 > asked {
		t.Fatalf("%d of %d refused", refused, asked)
	}
}

// Four gateways have enough attempts to know the capacity of their servers, so they don't exceed it, even after a fault
// has shrunk it.
func TestSmallFleetKeepsToItsCapacity(t *testing.T) {
	for gateways, want := range map[int]bool{1: false, 4: false, 80: true} {
		s := settings()
		s.Gateways = gateways
		f := start(t, s, 10)
		if got := f.gateway.burstAllowance(5) > 0; got != want {
			t.Errorf("%d gateways: may exceed the capacity: %v", gateways, got)
		}
	}
}

// All servers are unreachable for a moment. The attempts in flight then are lost without any error, as their
// connections transmit nothing, and they occupy all of the capacity. Once servers answer again, the gateway finds out
// with one attempt at each server, long before the deadlines of the lost attempts. While nothing is answered, it
// sends no more than these attempts.
func TestCapacityRecoversAfterServersWereUnreachable(t *testing.T) {
	s := settings()
	s.Hedging, s.Cancel = false, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = time.Second, 20*time.Second
	f := start(t, s, 4)
	id, unreachable, done, lost := RequestID(0), false, map[send]bool{}, map[send]bool{}
	run := func(d time.Duration) (sent, served int) {
		before := len(f.sent)
		for end := f.now + d; f.now < end; {
			for range 3 {
				id++
				f.ask(id, func(r *Request) { r.Deadline = f.now + 19*time.Second })
			}
			f.runUntil(f.now + 10*ms)
			for _, x := range f.sent {
				if lost[x] = lost[x] || unreachable && !done[x]; !done[x] && !lost[x] && f.now-x.at >= 50*ms {
					done[x] = true
					served++
					f.done(x, Served, f.now-x.at)
				}
			}
		}
		return len(f.sent) - before, served
	}
	_, before := run(2 * time.Second)
	unreachable = true
	run(300 * ms)
	if sent, _ := run(1700 * ms); sent > 4*4 {
		t.Errorf("%d sent while none of four servers answers, want at most 16", sent)
	}
	unreachable = false
	run(2 * time.Second)
	if _, after := run(2 * time.Second); after < before*3/4 {
		t.Errorf("%d served in 2 s before the outage, %d in the third and fourth second after it", before, after)
	}
}

// Servers that report their service times are known to work on four attempts at once. If a shared dependency makes them
// all several times slower, answers are late however few attempts are in flight. The capacity must not shrink below the
// four, or cores would be idle in addition. Without the reports this can't be known.
func TestSharedSlowdownKeepsServersBusy(t *testing.T) {
	for _, reports := range []bool{true, false} {
		s := settings()
		s.Hedging = false
		if s.Classes[0].LatencyTarget = time.Second; reports {
			s.LoadReportFields = []string{"inflight", "latency_ms"}
		}
		f := start(t, s, 3)
		id, slow := RequestID(0), 1.0
		const cores, work = 4, 150 * ms
		free := map[ServerID][]Time{1: make([]Time, cores), 2: make([]Time, cores), 3: make([]Time, cores)}
		due, seen := map[send]Time{}, 0
		step := func() {
			id++
			f.ask(id, nil)
			f.runUntil(f.now + 10*ms)
			for ; seen < len(f.sent); seen++ { // the core that is free first processes the attempt
				x, best := f.sent[seen], 0
				for k, at := range free[x.to] {
					if at < free[x.to][best] {
						best = k
					}
				}
				free[x.to][best] = max(f.now, free[x.to][best]) + time.Duration(slow*float64(work))
				due[x] = free[x.to][best]
			}
			for _, x := range f.sent[max(0, seen-500):] {
				if at, out := due[x]; out && at <= f.now {
					delete(due, x)
					f.gateway.Outcome(f.now, Outcome{ID: x.id, Attempt: x.attempt, Server: x.to, Elapsed: f.now - x.at,
						Ending: Served, Answered: true,
						LoadReport: []float32{0, float32(slow * work.Seconds() * 1000)}})
				}
			}
		}
		for range 1000 {
			step()
		}
		slow = 5
		least := 100.0
		for k := range 1000 {
			step()
			if k > 300 {
				least = min(least, f.gateway.totalCapacity())
			}
		}
		t.Logf("reports %v: concurrency %.1f, least capacity %.1f", reports, f.gateway.serverConcurrency, least)
		if got := least >= 3*3; got != reports {
			t.Errorf("reports %v: least capacity %.1f on 12 cores; want at least 9 only with reports", reports, least)
		}
	}
}

// As long as no answer has been slow, nothing indicates that the initial capacity is all that servers can do, and
// capacities grow three times as fast as afterwards.
func TestCapacityGrowsFasterUntilAnAnswerIsSlow(t *testing.T) {
	grown := func(slowFirst bool) float64 {
		s := settings()
		s.Hedging = false
		f := start(t, s, 2)
		id := RequestID(0)
		answer := func(took time.Duration) (n int) {
			for range 30 {
				id++
				f.ask(id, nil)
			}
			f.runUntil(f.now + 10*ms)
			list := f.sent
			f.sent = nil
			for _, x := range list {
				f.done(x, Served, took)
			}
			return len(list)
		}
		if slowFirst {
			answer(400 * ms)
		}
		was := f.gateway.totalCapacity()
		n := answer(10 * ms)
		return (f.gateway.totalCapacity() - was) / float64(n)
	}
	if fast, slow := grown(false), grown(true); fast < 2.5*slow || slow <= 0 {
		t.Errorf("the capacity grew by %.2f per answer before the first slow one, and by %.2f after it", fast, slow)
	}
}
