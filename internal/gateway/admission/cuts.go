package admission

import (
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// cut is a share of a group's requests that was taken, by tenant priority, so that it can be given back.
type cut struct {
	group *group
	taken []float64
}

// advance judges each interval that has ended. After standing still for longer than the window it begins anew.
func (a *Admission) advance(now time.Duration) {
	if !a.started {
		a.started, a.nextTick = true, now+interval
		return
	}
	if now-a.nextTick >= windowSlots*interval {
		for _, g := range a.order {
			g.forget()
		}
		a.dropCuts()
		a.nextTick = now + interval
		return
	}
	for now >= a.nextTick {
		a.judge(a.nextTick)
		a.nextTick += interval
	}
}

// judge moves the cuts at the end of an interval.
func (a *Admission) judge(now time.Duration) {
	pressing := a.pressing(now)
	for _, g := range a.order {
		g.endInterval()
	}
	a.setScores()
	if len(pressing) > 0 {
		a.calm, a.ready = 0, false
		a.cutNext(pressing)
	} else if a.calm++; a.calm >= calmIntervals || a.ready {
		a.ready = true
		a.liftLast()
	}
	a.setEffective()
	a.checkInvariants()
}

// pressing lists the groups that miss their target while their servers are loaded. Late answers of servers with little to do
// are no overload: no cut can help them.
func (a *Admission) pressing(now time.Duration) (list []*group) {
	for _, g := range a.order {
		sum := g.recent()
		if g.target > 0 && sum.missesTarget() && g.stillLate() && a.mayRefuse(g, now) {
			list = append(list, g)
		}
	}
	return list
}

// setScores scores the groups that sent requests.
func (a *Admission) setScores() {
	sumLatency, sumRequests := 0.0, 0.0
	for _, g := range a.order {
		sumLatency += g.latency
		sumRequests += g.requests
	}
	for _, g := range a.order {
		g.score = 0
		if g.requests >= leastSent {
			g.score = ruda.Score(g.priority, g.latency, sumLatency, g.requests, sumRequests)
		}
	}
}

func (a *Admission) setPriorities() {
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
func (a *Admission) cutNext(pressing []*group) {
	amount := step
	for _, g := range pressing {
		if sum := g.recent(); 2*sum.late >= sum.count {
			amount = steepStep
		}
	}
	passed := map[*group]bool{}
	for {
		var top *group
		for _, g := range a.order {
			if g.score <= 0 || passed[g] || !sharesWithAny(g, pressing) {
				continue
			}
			if top == nil || g.round < top.round || g.round == top.round && g.score > top.score {
				top = g
			}
		}
		if top == nil {
			return
		}
		if taken, share := a.room(top, amount); share >= leastStep {
			for class, more := range taken {
				top.refused[class] += more
			}
			top.round++
			a.cuts = append(a.cuts, cut{group: top, taken: taken})
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
func (a *Admission) room(g *group, amount float64) (taken []float64, share float64) {
	taken = make([]float64, len(g.refused))
	all := 0.0
	for _, n := range g.traffic {
		all += n
	}
	if all <= 0 {
		return taken, 0
	}
	for class := len(taken) - 1; class >= 0 && share < amount; class-- {
		weight := g.traffic[class] / all
		more := max(0, a.mostFor(g, class, taken)-g.refused[class])
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
func (a *Admission) mostFor(g *group, class int, taken []float64) float64 {
	most := mostRefused
	for below := class + 1; below < len(g.refused); below++ {
		most = min(most, g.refused[below]+taken[below])
	}
	for _, other := range a.order {
		if other == g || !g.sharesServers(other) {
			continue
		}
		for otherClass, refused := range other.refused {
			less := otherClass > class || otherClass == class && other.rank > g.rank
			if less && other.traffic[otherClass] >= leastTraffic {
				most = min(most, refused)
			}
		}
	}
	return most
}

// setEffective raises each share to the largest of more urgent requests at the same servers: those of a priority that had no
// traffic when the cut was made among them.
func (a *Admission) setEffective() {
	for _, g := range a.order {
		for class := range g.effective {
			g.effective[class] = g.refused[class]
			for _, other := range a.order {
				if other != g && !g.sharesServers(other) {
					continue
				}
				g.effective[class] = max(g.effective[class], other.mostRefusedAbove(class, g.rank))
			}
		}
	}
}

// mostRefusedAbove is the largest share of a group's requests that are more urgent than a tenant priority and a rank.
func (g *group) mostRefusedAbove(class, rank int) float64 {
	most := 0.0
	for own, share := range g.refused {
		if own < class || own == class && g.rank < rank {
			most = max(most, share)
		}
	}
	return most
}

// liftLast gives the last cut back.
func (a *Admission) liftLast() {
	if len(a.cuts) == 0 {
		for _, g := range a.order {
			g.round = 0
		}
		return
	}
	last := a.cuts[len(a.cuts)-1]
	a.cuts = a.cuts[:len(a.cuts)-1]
	for class, taken := range last.taken {
		last.group.refused[class] = max(0, last.group.refused[class]-taken)
	}
	last.group.round = max(0, last.group.round-1)
}

// dropCuts gives all back at once.
func (a *Admission) dropCuts() {
	a.cuts, a.calm, a.ready = nil, 0, false
	for _, g := range a.order {
		clear(g.refused)
		clear(g.effective)
		g.round = 0
	}
}

// forgetRemoved drops the cuts of groups that are no more.
func (a *Admission) forgetRemoved() {
	kept := a.cuts[:0]
	for _, one := range a.cuts {
		if a.groups[one.group.name] == one.group {
			kept = append(kept, one)
		}
	}
	a.cuts = kept
}
