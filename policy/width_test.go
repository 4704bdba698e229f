package policy

import (
	"testing"
	"time"
)

// Servers that tell how long they work on a request are known to work on four at once. Where something they all depend on
// makes them several times slower, answers are late however few are out; the room must not shrink below the four, or cores
// stand idle on top of it. Without reports nobody can know that.
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
			for ; seen < len(f.sent); seen++ { // the first free core takes it
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
					f.gateway.Outcome(f.now, Outcome{ID: x.id, Attempt: x.attempt, Server: x.to, Elapsed: f.now - x.at, Ending: Served, Answered: true,
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
		t.Logf("reports %v: width %.1f, room %.1f at least", reports, f.gateway.serverConcurrency, least)
		if got := least >= 3*3; got != reports {
			t.Errorf("reports %v: room for %.1f at least on 12 cores", reports, least)
		}
	}
}

// Members of many cores: as long as no answer has been slow nothing tells that the first room is all they can do, and it grows
// three times as fast as afterwards.
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
		t.Errorf("the room grew by %.2f an answer before and by %.2f after one was slow", fast, slow)
	}
}
