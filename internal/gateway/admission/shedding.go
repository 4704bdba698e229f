package admission

// shedStep is one shedding step: the amounts by which it raised the shed shares of a group, by tenant priority.
type shedStep struct {
	group  *group
	shares []float64
}

// shedNext takes a step for the group with the highest score among those with the fewest steps in force, so that
// successive intervals shed the groups in turn. A group of which no more may be shed yet, because less urgent
// requests would then be served more often, is skipped.
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
			if top == nil || g.steps < top.steps || g.steps == top.steps && g.score > top.score {
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
			top.steps++
			a.steps = append(a.steps, shedStep{group: top, shares: shares})
			return
		}
		skipped[top] = true
	}
}

// sharesWithAny reports whether a group has a backend in common with any group of a list.
func sharesWithAny(g *group, list []*group) bool {
	for _, other := range list {
		if g.sharesServers(other) {
			return true
		}
	}
	return false
}

// sheddable returns by how much a step would raise the shed share of each tenant priority of a group. The step
// is to shed amount, as a share of the group's requests, of the least urgent tenants first. total is the share of
// the group's requests that it sheds within the limits of maxShedFor.
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

// maxShedFor returns the largest share that may be shed of a group's tenant priority: at most maxShed, and no
// more than of any less urgent requests at the same servers that have traffic. step holds the amounts by which
// the step in preparation raises the shares of the group's less urgent tenant priorities.
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

// updateEffective computes the shares that Admit sheds of requests that aren't retries: those of the steps, but at
// least the share that the steps shed of any more urgent requests at the same servers. The steps alone don't ensure
// this: a priority without traffic at the time of a step was left out of it, and may have traffic now.
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

// maxShedAbove returns the largest share that the steps shed of those requests of a group that are more urgent
// than a tenant priority class and a rank.
func (g *group) maxShedAbove(class, rank int) float64 {
	most := 0.0
	for own, share := range g.shed {
		if own < class || own == class && g.rank < rank {
			most = max(most, share)
		}
	}
	return most
}

// restoreLast reverts the latest step. If there is none, the groups' turns start over.
func (a *Admission) restoreLast() {
	if len(a.steps) == 0 {
		for _, g := range a.order {
			g.steps = 0
		}
		return
	}
	last := a.steps[len(a.steps)-1]
	a.steps = a.steps[:len(a.steps)-1]
	for class, share := range last.shares {
		last.group.shed[class] = max(0, last.group.shed[class]-share)
	}
	last.group.steps = max(0, last.group.steps-1)
}

// restoreAll reverts all steps at once.
func (a *Admission) restoreAll() {
	a.steps, a.sinceOverload, a.restoring = nil, 0, false
	for _, g := range a.order {
		clear(g.shed)
		clear(g.effectiveShed)
		g.steps = 0
	}
}

// dropRemovedSteps drops the steps of groups that were removed.
func (a *Admission) dropRemovedSteps() {
	kept := a.steps[:0]
	for _, step := range a.steps {
		if a.groups[step.group.name] == step.group {
			kept = append(kept, step)
		}
	}
	a.steps = kept
}
