package policy

import (
	"math"
	"slices"
	"time"
)

// What is estimated from the answers of servers: latencies, lateness, concurrency and throughput? This file decides
// nothing.

// The constants of latencies, throughput and concurrency.
const (
	latencyMemory      = 4                // in targets: time constant of a server's relative latency
	overdueFactor      = 2.0              // of its typical latency: an attempt in flight for longer counts as slow
	latencyPriorWeight = 2.0              // in attempts: the weight of the prior that a server is like the others
	overtakenLimit     = 3                // an attempt is lost, or far longer than others, when so many overtook it
	throughputDecay    = 0.997            // of servers' throughput and concurrency, with each overload check
	workMemory         = 2 * recentWindow // time constant of the work behind a server's concurrency
)

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
