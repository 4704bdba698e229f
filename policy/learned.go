package policy

import (
	"math"
	"slices"
	"time"
)

// What is estimated from the answers of servers: latencies, concurrency, throughput, capacities, and the units that
// requests draw. This file decides nothing.

// minReportedFailures is the decayed count of failures below which a server's failures aren't reported.
const minReportedFailures = 0.25

// minLatency keeps expected latencies above 0; seconds.
const minLatency = 1e-4

// learnLatency takes in how long a served attempt took.
func (g *Gateway) learnLatency(r *request, took time.Duration) {
	memory, seconds := 10*latencyMemory*g.shortestTarget(), min(took, g.cfg.Classes[r.Class].Deadline).Seconds()
	g.latencyByUnits[r.Class].add(decayFactor(g.now-g.classLatency[r.Class].decayedAt, memory), r.Units, seconds)
	g.classLatency[r.Class].add(g.now, memory, seconds)
}

// typicalLatency gives how long a request's attempts typically take, in seconds, by its class and units.
func (g *Gateway) typicalLatency(r *request) float64 {
	const minSamples = 5 // for a line through them
	if f := &g.latencyByUnits[r.Class]; f.weight >= minSamples {
		return math.Max(f.predict(r.Units), minLatency)
	}
	return g.classTypicalLatency(r.Class)
}

// classTypicalLatency gives the mean latency of a class, in seconds.
func (g *Gateway) classTypicalLatency(class int) float64 {
	t := &g.classLatency[class]
	return math.Max(t.sum/math.Max(t.weight, 1e-9), minLatency)
}

// expectedLatency gives how long a request's attempt should take now: its typical latency, times the relative latency
// of the fleet where that is above 1.
func (g *Gateway) expectedLatency(r *request) time.Duration {
	return time.Duration(g.typicalLatency(r) * math.Max(1, g.fleetLatency) * float64(time.Second))
}

// meanRelativeLatency gives the relative latency of all listed servers together.
func (g *Gateway) meanRelativeLatency() float64 {
	all := decayingMean{}
	for _, s := range g.servers {
		if s.listed {
			s.relativeLatency.decay(g.now, latencyMemory*g.shortestTarget())
			all.sum, all.weight = all.sum+s.relativeLatency.sum, all.weight+s.relativeLatency.weight
		}
	}
	return all.smoothed()
}

// applyLoadReport takes in a server's load report, of which only the latency is used.
func (s *server) applyLoadReport(g *Gateway, report []float32) {
	const maxReported = 1e6 // ms; more is taken for an error
	i := slices.Index(g.cfg.LoadReportFields, "latency_ms")
	if i >= 0 && i < len(report) && report[i] > 0 && report[i] <= maxReported {
		s.reportedServiceTime, s.reportedAt = float64(report[i])/1000, g.now
	}
}

// serviceTime gives how long an attempt takes at its server without waiting, in seconds, 0 where that is unknown. The
// server reports the time of the requests that it had lately; it is scaled by what is typical of this one.
func (g *Gateway) serviceTime(a *attempt) float64 {
	if g.now-a.server.reportedAt > workMemory || g.sentLatency.weight < 1 {
		return 0
	}
	return a.server.reportedServiceTime * g.typicalLatency(a.request) * g.sentLatency.weight / g.sentLatency.sum
}

// learnConcurrency estimates how many attempts a server works on at once, by Little's law: the work done in a time,
// by the servers' own reports of how long it takes, over that time. A slowdown that all servers share leaves it as it
// is.
func (g *Gateway) learnConcurrency() {
	g.workDone.decay(g.now, workMemory)
	busy := float64(g.cfg.Gateways) * g.workDone.sum / workMemory.Seconds()
	g.serverConcurrency = math.Max(throughputDecay*g.serverConcurrency, busy/math.Max(1, float64(g.listedServers())))
}

// learnWarmThroughput estimates what a warm server serves for this gateway in a SlowStartWindow. What was possible
// before an outage is possible after it, so the estimate falls slowly, and is kept whether or not a server warms up.
func (g *Gateway) learnWarmThroughput() {
	var warm decayingMean
	for _, s := range g.servers {
		if s.listed && g.warmth(s) >= 1 {
			s.answers.decay(g.now, 2*g.cfg.SlowStartWindow)
			warm.sum, warm.weight = warm.sum+s.answers.sum, warm.weight+1
		}
	}
	g.warmThroughput = math.Max(throughputDecay*g.warmThroughput, warm.sum/math.Max(warm.weight, 1)/2)
	g.allCold = warm.weight == 0
	if g.allCold && g.coldServiceTime.weight > 0 { // each serves one attempt after another at least
		one := g.cfg.SlowStartWindow.Seconds() * g.coldServiceTime.weight / math.Max(g.coldServiceTime.sum, minLatency)
		g.warmThroughput = math.Max(g.warmThroughput, one/float64(g.cfg.Gateways))
	}
}

// coldThroughput gives what a server has lately served for this gateway in a SlowStartWindow, 0 while a listed server
// is warm, whose throughput is the better estimate. What a server could do it still can: it only gets warmer.
func (s *server) coldThroughput(g *Gateway) float64 {
	if !g.allCold {
		return 0
	}
	s.answers.decay(g.now, 2*g.cfg.SlowStartWindow)
	return s.answers.sum / 2
}

// totalCapacity bounds the attempts in flight, so that no server's queue grows past what the targets allow.
func (g *Gateway) totalCapacity() float64 {
	capacity := 0.0
	for _, s := range g.servers {
		if s.listed {
			capacity += g.capacityOf(s)
		}
	}
	return capacity
}

// capacityOf gives a server's capacity, in attempts of this gateway, which it initialises.
func (g *Gateway) capacityOf(s *server) float64 {
	if s.capacity == 0 {
		s.capacity = math.Max(initialCapacity/float64(g.cfg.Gateways),
			minInitialInFlight/math.Max(float64(g.listedServers()), 1))
	}
	s.capacity = math.Max(s.capacity, math.Max(minCapacity, g.serverConcurrency)/float64(g.cfg.Gateways))
	if s.suspectedAttempts > 0 { // one attempt finds out whether the server answers at all
		return math.Min(1, s.capacity)
	}
	return s.capacity
}

// learnCapacity adapts the capacity of an attempt's server so that its 90th percentile stays below slowTargetShare of
// the target: a slow attempt takes back what nine others have added. Where a server's capacity is below one attempt
// its attempts are too few to judge by, and those of all servers change with it. A capacity that isn't used doesn't
// grow.
func (g *Gateway) learnCapacity(a *attempt, took time.Duration) {
	if a.countedSlow {
		return
	}
	a.countedSlow = took.Seconds() > slowTargetShare*g.cfg.Classes[a.request.Class].LatencyTarget.Seconds()
	own, all := g.capacityOf(a.server), g.totalCapacity()
	if half := g.load()+1 <= all/2; half && (!a.countedSlow || all > 2*minInitialInFlight) ||
		!a.countedSlow && a.server.load()+1 <= own/2 {
		return
	}
	step := lateShare
	if a.countedSlow {
		step, g.slowAnswerSeen = step-1, true
	} else if !g.slowAnswerSeen { // nothing says yet that the initial capacity is enough
		step *= initialCapacityGrowth
	}
	part := math.Min(1, own)
	a.server.capacity += step * part
	for _, s := range g.servers {
		s.capacity += step * (1 - part) * g.capacityOf(s) / math.Max(all, 1e-9)
	}
}

// countLateness counts an attempt for its class once: when it ends, or when it is late while in flight. Left out are
// attempts at servers that are slow on the whole, and attempts that were overtaken: neither is overload.
func (g *Gateway) countLateness(a *attempt, late bool) {
	slowServer := a.server.relativeLatency.sum > overdueFactor*(a.server.relativeLatency.weight+latencyPriorWeight)
	if a.countedLate || slowServer || late && a.overtakenBy >= overtakenLimit {
		return
	}
	a.countedLate = true
	g.lateness[a.request.Class].addBool(g.now, recentWindow, late)
}

// countWasted counts an attempt that may have run, and whether it was wasted. One that found no connection isn't
// counted: it costs its request little.
func (g *Gateway) countWasted(s *server, e Ending) {
	if e == Served || e == Errored || e == ConnectionLost {
		s.wasted.addBool(g.now, 4*latencyMemory*g.shortestTarget(), e != Served)
	}
}

// reconcileUnits corrects, once and where the bucket is kept, the estimated units of a request by those in its
// answer. Units that can't be are ignored. The hard limit keeps to the estimate.
func (g *Gateway) reconcileUnits(r *request, units float64) {
	more := units - r.Units
	if r.reconciled || r.overQuota || !(units > 0 && units <= math.Max(g.cfg.MaxUnits, r.Units)) || more == 0 {
		return
	}
	if r.reconciled = true; r.owner < 0 {
		r.customer.balance -= more
		r.customer.addUsed(more)
		g.queueUpdate(r.customer, g.nearby...)
	} else if r.owner == g.cfg.Self {
		g.reconcileAtOwner(g.cfg.Self, r.customer.key, more)
	} else {
		g.host.SendToPeer(r.owner, packReconcile(r.customer.key, more))
	}
}

// reconcileAtOwner takes in that a request of a customer that this gateway owns drew more, or less, than was
// estimated.
func (g *Gateway) reconcileAtOwner(from int, key uint64, more float64) {
	_, first, setSize := splitCustomerKey(key)
	c := g.recordFor(ownerKey(key, g.cfg.Self))
	if c != nil && g.serves(from, &customer{firstGateway: first, setSize: setSize}) {
		c.balance -= math.Max(-g.cfg.MaxUnits, math.Min(g.cfg.MaxUnits, more))
	}
}
