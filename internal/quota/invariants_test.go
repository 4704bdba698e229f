package quota

import (
	"fmt"
	"time"
)

// invariantChecker checks the simulation by what can be seen from outside: the requests that run, the messages and
// the true time. It panics at a violation.
type invariantChecker struct {
	sim     *simulation
	ran     map[string][]time.Duration // by tenant: times at which the requests of the current window ran
	worst   float64                    // largest share of its bound that any window used
	worstAt string                     // description of that window
	terms   map[uint64]*activeSpan
}

// activeSpan is the time during which an allocator was active, as far as its answers show.
type activeSpan struct{ from, to time.Duration }

func newInvariantChecker(sim *simulation) invariantChecker {
	return invariantChecker{sim: sim, ran: map[string][]time.Duration{}, terms: map[uint64]*activeSpan{}}
}

// recordAnswer records that an allocator answered as of the time at, and checks that no two allocators are active at
// the same time. The answer itself may be made later than at.
func (c *invariantChecker) recordAnswer(at time.Duration, term uint64) {
	if term == 0 || c.sim.windowsOnly {
		return
	}
	active := c.terms[term]
	if active == nil {
		active = &activeSpan{at, at}
		c.terms[term] = active
	} else if at >= active.from && at <= active.to {
		return
	}
	active.from, active.to = min(active.from, at), max(active.to, at)
	for other, span := range c.terms {
		if other != term && active.from < span.to && span.from < active.to {
			panic(fmt.Sprintf("two allocators act: one from %v to %v, one from %v to %v",
				active.from, active.to, span.from, span.to))
		}
	}
}

// recordRun counts a request that a server runs and checks the rate-limit rule. The request counts at the time of
// the decision, which lies between the client's sending and the arrival at a server: no window of the rule contains
// more requests than a window here.
func (sim *simulation) recordRun(name string, g *simGateway) {
	count := sim.counts[name]
	count.served++
	if sim.overload[name] <= 1 && g.connectedSince <= sim.now {
		count.expected++
	}
	checker := &sim.checker
	ran := append(checker.ran[name], sim.now)
	for len(ran) > 0 && ran[0] < sim.now-testRules.Window {
		ran = ran[1:]
	}
	checker.ran[name] = ran
	bound := sim.maxInWindow(name)
	if used := float64(len(ran)) / bound; used > checker.worst {
		checker.worst, checker.worstAt = used, fmt.Sprintf("%s at %v: %d of %.1f", name, sim.now, len(ran), bound)
	}
	if float64(len(ran)) > bound {
		panic(fmt.Sprintf("tenant %s ran %d in a window that allows %.1f, at %v", name, len(ran), bound, sim.now))
	}
}

// maxInWindow returns the rule's bound for the largest limit that may still apply.
func (sim *simulation) maxInWindow(name string) float64 {
	bound := 0.0
	limits := sim.limits[name]
	for i, limit := range limits {
		if i+1 < len(limits) && limits[i+1].effectiveAt > 0 && sim.now >= limits[i+1].effectiveAt+testRules.Window {
			continue
		}
		bound = max(bound, testRules.MaxInWindow(limit.rate, limit.burst))
	}
	return bound
}

// updateEffectiveLimits records which limits all gateways have applied by now. From one window later on, earlier
// limits no longer apply.
func (sim *simulation) updateEffectiveLimits() {
	for name := range sortedNames(sim.usualRate) {
		for _, limit := range sim.limits[name] {
			if limit.effectiveAt > 0 || sim.now < limit.acknowledgedAt+configApplyBound {
				continue
			}
			appliedByAll := true
			for _, g := range sim.gateways {
				if g.alive && sim.now >= g.connectedSince {
					limit.appliedBy[g] = true
				}
				appliedByAll = appliedByAll && limit.appliedBy[g]
			}
			if appliedByAll {
				limit.effectiveAt = sim.now
			}
		}
	}
}

// recordRejected counts a rejected request.
func (sim *simulation) recordRejected(name string, g *simGateway) {
	count := sim.counts[name]
	count.rejected++
	if sim.overload[name] <= 1 && g.connectedSince <= sim.now {
		count.expected++
		count.expectedRejected++
	}
}

// checkInvariants panics if a tenant's sums differ from its allocations, or its pool is below its floor.
func (a *Allocator) checkInvariants() {
	for _, q := range a.tenants {
		sum, demand, leases := lease{}, amount(0), 0
		for _, holder := range a.holders {
			if alloc := holder.allocations[q]; alloc != nil {
				sum = sum.plus(alloc.outstanding)
				demand += alloc.demand
				if !alloc.outstanding.isZero() {
					leases++
				}
			}
		}
		if q.limited && q.pool.level < q.floor.recorded {
			panic(fmt.Sprintf("tenant %s has %v in its pool, floor %v", q.name, q.pool.level, q.floor.recorded))
		}
		if sum != q.outstanding || demand != q.demand || leases != q.leaseCount {
			panic(fmt.Sprintf("tenant %s: sums %v %v %d, allocations %v %v %d",
				q.name, q.outstanding, q.demand, q.leaseCount, sum, demand, leases))
		}
	}
}

// checkOutstanding panics if gateways hold more leased capacity than the leader's allocator counts.
func (sim *simulation) checkOutstanding() {
	control := sim.leader()
	if control == nil || sim.now >= control.leadUntil || sim.windowsOnly {
		return
	}
	a := control.allocator
	sim.checkFloors(a)
	for name := range sortedNames(a.tenants) {
		q := a.tenants[name]
		limits := sim.limits[name]
		if len(limits) > 1 && sim.now < limits[len(limits)-1].acknowledgedAt+leaseTTL+2*clockDriftMargin {
			continue // leases of a larger limit may still be held
		}
		held := lease{}
		for _, g := range sim.gateways {
			if !g.alive || g.client.leaseExpiry <= g.clock.read() {
				continue
			}
			if t := g.client.tenants[name]; t != nil {
				held = held.plus(t.lease)
			}
		}
		committed := q.outstanding
		if control.clock.read() < a.learningUntil {
			committed = committed.plus(q.unaccounted)
		}
		if held.rate > committed.rate+roundingTolerance || held.depth > committed.depth+roundingTolerance {
			panic(fmt.Sprintf("at %v tenant %s holds %v, committed %v", sim.now, name, held, committed))
		}
	}
}

// checkFloors panics if a recorded floor is above the pool's level: a successor would then grant the difference
// again.
func (sim *simulation) checkFloors(a *Allocator) {
	for name := range sortedNames(sim.floors) {
		q, tokens := a.tenants[name], sim.floors[name]
		if q == nil || !q.limited || a.term == 0 {
			continue
		}
		if q.pool.level < amount(tokens)*token {
			panic(fmt.Sprintf("at %v tenant %s has %v in its pool, %d tokens on record", sim.now, name, q.pool.level, tokens))
		}
	}
}
