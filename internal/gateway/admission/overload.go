package admission

import (
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// advance ends the intervals that have passed. After a process pause longer than the window all counts are
// outdated: they are reset, and all shedding steps are reverted.
func (a *Admission) advance(now time.Duration) {
	if !a.started {
		a.started, a.nextTick = true, now+interval
		return
	}
	if now-a.nextTick >= windowSlots*interval {
		for _, g := range a.order {
			g.reset()
		}
		a.restoreAll()
		a.nextTick = now + interval
		return
	}
	for now >= a.nextTick {
		a.endInterval(a.nextTick)
		a.nextTick += interval
	}
}

// endInterval ends the current interval. It takes a shedding step if a group is overloaded, and reverts one
// if there has been no overload for restoreAfter intervals.
func (a *Admission) endInterval(now time.Duration) {
	overloaded := a.overloaded(now)
	for _, g := range a.order {
		g.endInterval()
	}
	a.updateScores()
	if len(overloaded) > 0 {
		a.sinceOverload, a.restoring = 0, false
		a.shedNext(overloaded)
	} else if a.sinceOverload++; a.sinceOverload >= restoreAfter || a.restoring {
		a.restoring = true
		a.restoreLast()
	}
	a.updateEffective()
	a.checkInvariants()
}

// overloaded returns the groups that miss their latency target while their servers are known to be loaded.
func (a *Admission) overloaded(now time.Duration) (list []*group) {
	for _, g := range a.order {
		sum := g.recent()
		if g.target > 0 && sum.missesTarget() && g.stillLate() && a.serversLoaded(g, now) {
			list = append(list, g)
		}
	}
	return list
}

// updateScores computes the RUDA score of each group with a smoothed rate of at least minRequestRate. The score
// of other groups is 0.
func (a *Admission) updateScores() {
	sumLatency, sumRequests := 0.0, 0.0
	for _, g := range a.order {
		sumLatency += g.latency
		sumRequests += g.requests
	}
	for _, g := range a.order {
		g.score = 0
		if g.requests >= minRequestRate {
			g.score = ruda.Score(g.priority, g.latency, sumLatency, g.requests, sumRequests)
		}
	}
}

// updatePriorities computes the groups' priorities (v) from their ranks.
func (a *Admission) updatePriorities() {
	ranks := make([]int, len(a.order))
	for i, g := range a.order {
		ranks[i] = g.rank
	}
	for i, priority := range ruda.Priorities(ranks) {
		a.order[i].priority = priority
	}
}
