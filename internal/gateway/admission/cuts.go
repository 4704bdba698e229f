package admission

import (
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// cut is a share of a group's requests that was taken, by tenant priority, so that it can be given back.
type shedAction struct {
	group  *group
	shares []float64
}

// advance judges each interval that has ended. After standing still for longer than the window it begins anew.
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

// judge moves the cuts at the end of an interval.
func (a *Admission) endInterval(now time.Duration) {
	pressing := a.overloaded(now)
	for _, g := range a.order {
		g.endInterval()
	}
	a.updateScores()
	if len(pressing) > 0 {
		a.calm, a.restoring = 0, false
		a.shedNext(pressing)
	} else if a.calm++; a.calm >= calmIntervals || a.restoring {
		a.restoring = true
		a.restoreLast()
	}
	a.updateEffective()
	a.checkInvariants()
}

// pressing lists the groups that miss their target while their servers are loaded. Late answers of servers with little to do
// are no overload: no cut can help them.
func (a *Admission) overloaded(now time.Duration) (list []*group) {
	for _, g := range a.order {
		sum := g.recent()
		if g.target > 0 && sum.missesTarget() && g.stillLate() && a.serversLoaded(g, now) {
			list = append(list, g)
		}
	}
	return list
}

// setScores scores the groups that sent requests.
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

func (a *Admission) updatePriorities() {
	ranks := make([]int, len(a.order))
	for i, g := range a.order {
		ranks[i] = g.rank
	}
	for i, v := range ruda.Priorities(ranks) {
		a.order[i].priority = v
	}
}

// cutNext refuses more of the group with the highest score among those cut least often since the press began: the top one
// first, the next a second later. A group that may not give more yet, as a less urgent one would be served more often, is
// passed over.
func (a *Admission) shedNext(pressing []*group) {
	amount := stepShare
	for _, g := range pressing {
		if sum := g.recent(); 2*sum.late >= sum.count {
			amount = steepStepShare
		}
	}
	passed := map[*group]bool{}
	for {
		var top *group
		for _, g := range a.order {
			if g.score <= 0 || passed[g] || !sharesWithAny(g, pressing) {
				continue
			}
			if top == nil || g.actions < top.actions || g.actions == top.actions && g.score > top.score {
				top = g
			}
		}
		if top == nil {
			return
		}
		if taken, share := a.sheddable(top, amount); share >= minStepShare {
			for class, more := range taken {
				top.shed[class] += more
			}
			top.actions++
			a.actions = append(a.actions, shedAction{group: top, shares: taken})
			return
		}
		passed[top] = true
	}
}

func sharesWithAny(g *group, list []*group) bool {
	for _, other := range list {
		if g.sharesServers(other) {
			return true
		}
	}
	return false
}

// room gives how much more of each tenant priority a cut of amount takes from a group, the least urgent first, and which
// share of the group's requests that is.
func (a *Admission) sheddable(g *group, amount float64) (taken []float64, share float64) {
	taken = make([]float64, len(g.shed))
	all := 0.0
	for _, n := range g.traffic {
		all += n
	}
	if all <= 0 {
		return taken, 0
	}
	for class := len(taken) - 1; class >= 0 && share < amount; class-- {
		weight := g.traffic[class] / all
		more := max(0, a.maxShedFor(g, class, taken)-g.shed[class])
		if weight > 0 {
			more = min(more, (amount-share)/weight)
		}
		taken[class] = more
		share += weight * more
	}
	return taken, share
}

// mostFor is the largest share of a group's tenant priority that may be refused: no more than of any less urgent requests at
// the same servers that have traffic. taken is what the same cut takes already.
func (a *Admission) maxShedFor(g *group, class int, taken []float64) float64 {
	most := maxShed
	for below := class + 1; below < len(g.shed); below++ {
		most = min(most, g.shed[below]+taken[below])
	}
	for _, other := range a.order {
		if other == g || !g.sharesServers(other) {
			continue
		}
		for otherClass, refused := range other.shed {
			less := otherClass > class || otherClass == class && other.rank > g.rank
			if less && other.traffic[otherClass] >= minTraffic {
				most = min(most, refused)
			}
		}
	}
	return most
}

// setEffective raises each share to the largest of more urgent requests at the same servers: those of a priority that had no
// traffic when the cut was made among them.
func (a *Admission) updateEffective() {
	for _, g := range a.order {
		for class := range g.effectiveShed {
			g.effectiveShed[class] = g.shed[class]
			for _, other := range a.order {
				if other != g && !g.sharesServers(other) {
					continue
				}
				g.effectiveShed[class] = max(g.effectiveShed[class], other.maxShedAbove(class, g.rank))
			}
		}
	}
}

// mostRefusedAbove is the largest share of a group's requests that are more urgent than a tenant priority and a rank.
func (g *group) maxShedAbove(class, rank int) float64 {
	most := 0.0
	for own, share := range g.shed {
		if own < class || own == class && g.rank < rank {
			most = max(most, share)
		}
	}
	return most
}

// liftLast gives the last cut back.
func (a *Admission) restoreLast() {
	if len(a.actions) == 0 {
		for _, g := range a.order {
			g.actions = 0
		}
		return
	}
	last := a.actions[len(a.actions)-1]
	a.actions = a.actions[:len(a.actions)-1]
	for class, taken := range last.shares {
		last.group.shed[class] = max(0, last.group.shed[class]-taken)
	}
	last.group.actions = max(0, last.group.actions-1)
}

// dropCuts gives all back at once.
func (a *Admission) restoreAll() {
	a.actions, a.calm, a.restoring = nil, 0, false
	for _, g := range a.order {
		clear(g.shed)
		clear(g.effectiveShed)
		g.actions = 0
	}
}

// forgetRemoved drops the cuts of groups that are no more.
func (a *Admission) forgetRemoved() {
	kept := a.actions[:0]
	for _, one := range a.actions {
		if a.groups[one.group.name] == one.group {
			kept = append(kept, one)
		}
	}
	a.actions = kept
}
