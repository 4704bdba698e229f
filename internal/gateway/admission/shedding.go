package admission

// shedAction is a step: the shares of a group's requests, by tenant priority, by which it raised what is
// shed.
type shedAction struct {
	group  *group
	shares []float64
}

// shedNext sheds a step of the group with the highest score among those with the fewest steps since the
// overload began: so each interval goes to the next group. A group that may not shed more yet, as less urgent
// requests would be served more often, is passed over.
func (a *Admission) shedNext(overloaded []*group) {
	amount := stepShare
	for _, g := range overloaded {
		if sum := g.recent(); 2*sum.late >= sum.count {
			amount = steepStepShare
		}
	}
	skipped := map[*group]bool{}
	for {
		var top *group
		for _, g := range a.order {
			if g.score <= 0 || skipped[g] || !sharesWithAny(g, overloaded) {
				continue
			}
			if top == nil || g.actions < top.actions || g.actions == top.actions && g.score > top.score {
				top = g
			}
		}
		if top == nil {
			return
		}
		if shares, total := a.sheddable(top, amount); total >= minStepShare {
			for class, more := range shares {
				top.shed[class] += more
			}
			top.actions++
			a.actions = append(a.actions, shedAction{group: top, shares: shares})
			return
		}
		skipped[top] = true
	}
}

// sharesWithAny reports whether a group has servers in common with any group of a list.
func sharesWithAny(g *group, list []*group) bool {
	for _, other := range list {
		if g.sharesServers(other) {
			return true
		}
	}
	return false
}

// sheddable returns how much more of each tenant priority a step of amount would shed of a group, the least
// urgent first, and which share of the group's requests that is in total.
func (a *Admission) sheddable(g *group, amount float64) (shares []float64, total float64) {
	shares = make([]float64, len(g.shed))
	all := 0.0
	for _, n := range g.traffic {
		all += n
	}
	if all <= 0 {
		return shares, 0
	}
	for class := len(shares) - 1; class >= 0 && total < amount; class-- {
		weight := g.traffic[class] / all
		more := max(0, a.maxShedFor(g, class, shares)-g.shed[class])
		if weight > 0 {
			more = min(more, (amount-total)/weight)
		}
		shares[class] = more
		total += weight * more
	}
	return shares, total
}

// maxShedFor returns the largest share that may be shed of a group's tenant priority: no more than of any
// less urgent requests at the same servers that have traffic. step is what the step sheds of the less urgent
// ones already.
func (a *Admission) maxShedFor(g *group, class int, step []float64) float64 {
	limit := maxShed
	for below := class + 1; below < len(g.shed); below++ {
		limit = min(limit, g.shed[below]+step[below])
	}
	for _, other := range a.order {
		if other == g || !g.sharesServers(other) {
			continue
		}
		for otherClass, shed := range other.shed {
			lessUrgent := otherClass > class || otherClass == class && other.rank > g.rank
			if lessUrgent && other.traffic[otherClass] >= minTraffic {
				limit = min(limit, shed)
			}
		}
	}
	return limit
}

// updateEffective computes the shares that are shed in fact: at least as much as of more urgent requests at
// the same servers. A priority without traffic at the time of a step was left out of it, and may have traffic
// now.
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

// maxShedAbove returns the largest share of a group's requests that are more urgent than a tenant priority
// and rank.
func (g *group) maxShedAbove(class, rank int) float64 {
	most := 0.0
	for own, share := range g.shed {
		if own < class || own == class && g.rank < rank {
			most = max(most, share)
		}
	}
	return most
}

// restoreLast takes the last step back. Without any left, the groups' turns start over.
func (a *Admission) restoreLast() {
	if len(a.actions) == 0 {
		for _, g := range a.order {
			g.actions = 0
		}
		return
	}
	last := a.actions[len(a.actions)-1]
	a.actions = a.actions[:len(a.actions)-1]
	for class, share := range last.shares {
		last.group.shed[class] = max(0, last.group.shed[class]-share)
	}
	last.group.actions = max(0, last.group.actions-1)
}

// restoreAll takes all steps back at once.
func (a *Admission) restoreAll() {
	a.actions, a.calm, a.restoring = nil, 0, false
	for _, g := range a.order {
		clear(g.shed)
		clear(g.effectiveShed)
		g.actions = 0
	}
}

// forgetRemoved drops the steps of groups that were removed.
func (a *Admission) forgetRemoved() {
	kept := a.actions[:0]
	for _, action := range a.actions {
		if a.groups[action.group.name] == action.group {
			kept = append(kept, action)
		}
	}
	a.actions = kept
}
