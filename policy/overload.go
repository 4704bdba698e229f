package policy

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ruda"
)

// Overload detection and load shedding by RUDA scores (internal/ruda).

const (
	overloadChecksPerTarget = 2                // overload checks within the target
	recentWindow            = time.Second      // time constant of measurements that only recent events should affect
	groupTimeConstant       = 4 * recentWindow // time constant of the groups' requests and latencies
	lateShare               = 0.1              // if this share of attempts is late, the 90th percentile misses the target
	toleratedLateAttempts   = 1.0              // late attempts that aren't overload, however few attempts there are in all
	minCapacityShare        = 0.6              // share of the capacity that the group with the highest score may use
)

// overloadInterval is the time between overload checks.
func (g *Gateway) overloadInterval() time.Duration {
	return max(g.shortestTarget()/overloadChecksPerTarget, g.cfg.Tick)
}

// checkOverload checks for overload. While there is overload, it sheds the group with the highest RUDA score, one
// more in each recentWindow. Without overload, it readmits the shed groups one by one.
func (g *Gateway) checkOverload() {
	g.host.Timer(tagOverload, g.overloadInterval())
	g.checkInFlight()
	scores := g.sheddingScores()
	g.learnWarmThroughput()
	g.learnConcurrency()
	g.fleetLatency = g.meanRelativeLatency()
	g.shareCapacity(scores)
	g.overloaded = g.overloadedNow()
	g.capacityReached = false
	if g.overloaded {
		g.checksWithoutOverload = 0
		if g.now-g.lastShed >= recentWindow { // shedding a group takes this long to have an effect
			g.shedTop(scores)
		}
	} else if g.checksWithoutOverload++; len(g.shedGroups) > 0 && g.checksWithoutOverload >= overloadChecksPerTarget {
		g.checksWithoutOverload = 0
		last := g.shedGroups[len(g.shedGroups)-1]
		g.shedGroups, g.groups[last].shed = g.shedGroups[:len(g.shedGroups)-1], false
		g.host.Log(fmt.Sprintf("lift %s", g.groupName(last)))
	}
	g.evictIdle(idleAfter)
}

// checkInFlight counts the attempts in flight that are already slow, late or lost, as if they had ended.
func (g *Gateway) checkInFlight() {
	for _, a := range g.inFlight {
		elapsed, target := g.now-a.sentAt, g.cfg.Classes[a.request.Class].LatencyTarget
		if a.untimed() {
			continue
		}
		if elapsed.Seconds() > slowTargetShare*target.Seconds() && a.overtakenBy < overtakenLimit {
			g.learnCapacity(a, elapsed)
		}
		if elapsed > target {
			g.countLateness(a, true)
			g.releaseSlotIfLost(a)
		}
		noResponseFor := g.now - max(a.sentAt, a.server.lastServed)
		if noResponseFor > lostAfterFactor*g.expectedLatency(a.request) {
			g.suspect(a)
		}
	}
}

// overloadedNow reports whether there is overload: the capacity was reached, or the 90th percentile of a class misses
// its target while the fleet is loaded. A fleet with little load is late for other reasons, against which shedding
// doesn't help.
func (g *Gateway) overloadedNow() bool {
	overloaded := g.capacityReached
	for i := range g.lateness {
		late := &g.lateness[i]
		late.decay(g.now, recentWindow)
		overloaded = overloaded || late.sum > lateShare*late.weight+toleratedLateAttempts && g.load() > g.totalCapacity()/2
	}
	return overloaded
}

// sheddingScores returns the RUDA score f of each group that has recently sent requests, and 0 for the other groups. A
// group's resource r is the latency of its attempts, and q is their number, both over all gateways. The variables have
// the paper's names.
func (g *Gateway) sheddingScores() []float64 {
	f, r := make([]float64, len(g.groups)), make([]float64, len(g.groups))
	q, sumR, sumQ := make([]float64, len(g.groups)), 0.0, 0.0
	for _, a := range g.inFlight {
		r[g.groupOf(a.request)] += min(g.now-a.sentAt, g.cfg.Classes[a.request.Class].Deadline).Seconds()
	}
	for i := range g.groups {
		t := &g.groups[i].latency
		t.decay(g.now, groupTimeConstant, 0)
		q[i], r[i] = t.total(groupRequests, g.cfg.Gateways), r[i]+t.total(groupSeconds, g.cfg.Gateways)
		sumQ, sumR = sumQ+q[i], sumR+r[i]
	}
	for i := range g.groups {
		if q[i] >= 0.5 {
			f[i] = ruda.Score(g.groups[i].value, r[i], sumR, q[i], sumQ)
		}
	}
	return f
}

// shareCapacity sets each group's share of the capacity by the order of the scores: the group with the highest score is
// the first to find no capacity.
func (g *Gateway) shareCapacity(scores []float64) {
	order := slices.Clone(scores)
	slices.Sort(order)
	order = slices.DeleteFunc(order, func(x float64) bool { return x <= 0 })
	for i := range g.groups {
		if rank, known := slices.BinarySearch(order, scores[i]); known && len(order) > 1 {
			g.groups[i].capacityShare = 1 - (1-minCapacityShare)*float64(rank)/float64(len(order)-1)
		}
	}
}

// shedTop sheds the group with the highest score, unless it is the only one left.
func (g *Gateway) shedTop(scores []float64) {
	best, left := -1, 0
	for i := range g.groups {
		if !g.groups[i].shed && scores[i] > 0 {
			if left++; best < 0 || scores[i] > scores[best] {
				best = i
			}
		}
	}
	if left < 2 {
		return
	}
	g.lastShed, g.groups[best].shed = g.now, true
	g.shedGroups = append(g.shedGroups, best)
	g.host.Log(fmt.Sprintf("cut %s f=%.2f", g.groupName(best), scores[best]))
}
