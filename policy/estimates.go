package policy

import (
	"math"
	"slices"
	"time"
)

// Estimates of latency, lateness, concurrency and throughput from the answers of servers.

const (
	latencyTimeConstant = 4                // in targets: time constant of a server's relative latency
	overdueFactor       = 2.0              // an attempt is overdue beyond this multiple of its typical latency
	latencyPriorWeight  = 2.0              // in attempts: the weight of the prior that a server is like the others
	overtakenLimit      = 3                // overtaken by this many, an attempt is lost or far longer than the others
	throughputDecay     = 0.997            // factor on servers' throughput and concurrency with each overload check
	workTimeConstant    = 2 * recentWindow // time constant of the work from which servers' concurrency is estimated
)

// minReportedFailures is the decayed count of failures below which a server's failures aren't reported.
const minReportedFailures = 0.25

// minLatency is the least expected latency in seconds; expected latencies must be above 0.
const minLatency = 1e-4

// learnLatency adds the latency of a served attempt to the estimates of its class.
func (g *Gateway) learnLatency(r *request, took time.Duration) {
	timeConstant, seconds := 10*latencyTimeConstant*g.shortestTarget(), min(took, g.cfg.Classes[r.Class].Deadline).Seconds()
	g.latencyByUnits[r.Class].add(decayFactor(g.now-g.classLatency[r.Class].decayedAt, timeConstant), r.Units, seconds)
	g.classLatency[r.Class].add(g.now, timeConstant, seconds)
}

// typicalLatency returns the typical latency of a request's attempts, in seconds, estimated from its class and units.
func (g *Gateway) typicalLatency(r *request) float64 {
	const minSamples = 5 // least samples for the line of latency over units
	if f := &g.latencyByUnits[r.Class]; f.weight >= minSamples {
		return math.Max(f.predict(r.Units), minLatency)
	}
	return g.classTypicalLatency(r.Class)
}

// classTypicalLatency returns the mean latency of a class, in seconds.
func (g *Gateway) classTypicalLatency(class int) float64 {
	t := &g.classLatency[class]
	return math.Max(t.sum/math.Max(t.weight, 1e-9), minLatency)
}

// expectedLatency returns the latency that an attempt of a request is expected to have now: its typical latency, times
// the relative latency of the fleet if that is above 1.
func (g *Gateway) expectedLatency(r *request) time.Duration {
	return time.Duration(g.typicalLatency(r) * math.Max(1, g.fleetLatency) * float64(time.Second))
}

// meanRelativeLatency returns the mean relative latency over all listed servers.
func (g *Gateway) meanRelativeLatency() float64 {
	all := decayingMean{}
	for _, s := range g.servers {
		if s.listed {
			s.relativeLatency.decay(g.now, latencyTimeConstant*g.shortestTarget())
			all.sum, all.weight = all.sum+s.relativeLatency.sum, all.weight+s.relativeLatency.weight
		}
	}
	return all.smoothed()
}

// applyLoadReport stores the latency from a server's load report. The other fields are not used.
func (s *server) applyLoadReport(g *Gateway, report []float32) {
	const maxReported = 1e6 // in ms; a higher value is taken to be an error
	i := slices.Index(g.cfg.LoadReportFields, "latency_ms")
	if i >= 0 && i < len(report) && report[i] > 0 && report[i] <= maxReported {
		s.reportedServiceTime, s.reportedAt = float64(report[i])/1000, g.now
	}
}

// serviceTime returns how long an attempt takes at its server without waiting, in seconds, or 0 if that is unknown. The
// server reports the time of its recent requests; the time is scaled by the typical latency of this request relative to
// the mean of the requests sent.
func (g *Gateway) serviceTime(a *attempt) float64 {
	if g.now-a.server.reportedAt > workTimeConstant || g.sentLatency.weight < 1 {
		return 0
	}
	return a.server.reportedServiceTime * g.typicalLatency(a.request) * g.sentLatency.weight / g.sentLatency.sum
}

// learnConcurrency estimates how many attempts a server works on at once, by Little's law: the work done in a period,
// as measured by the servers' own reports of service times, divided by the period. A slowdown that all servers share
// doesn't change the estimate.
func (g *Gateway) learnConcurrency() {
	g.workDone.decay(g.now, workTimeConstant)
	busy := float64(g.cfg.Gateways) * g.workDone.sum / workTimeConstant.Seconds()
	g.serverConcurrency = math.Max(throughputDecay*g.serverConcurrency, busy/math.Max(1, float64(g.listedServers())))
}

// learnWarmThroughput estimates how many attempts a warm server serves for this gateway in a SlowStartWindow. Servers
// can do after an outage what they could do before it, so the estimate falls slowly. It is updated whether or not any
// server is warming up.
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
	// A server works on at least one attempt at a time, so a warm one can serve at least the window divided by its
	// service time, for all gateways together.
	if g.allCold && g.coldServiceTime.weight > 0 {
		one := g.cfg.SlowStartWindow.Seconds() * g.coldServiceTime.weight / math.Max(g.coldServiceTime.sum, minLatency)
		g.warmThroughput = math.Max(g.warmThroughput, one/float64(g.cfg.Gateways))
	}
}

// coldThroughput returns how many attempts a server has recently served for this gateway in a SlowStartWindow. The
// server can still do as much, as it only gets warmer. The result is 0 while any listed server is warm, because the
// throughput of warm servers is the better estimate.
func (s *server) coldThroughput(g *Gateway) float64 {
	if !g.allCold {
		return 0
	}
	s.answers.decay(g.now, 2*g.cfg.SlowStartWindow)
	return s.answers.sum / 2
}

// countLateness counts an attempt as late or in time for its class. Each attempt is counted once: when it ends, or
// when it becomes late while in flight. Attempts at servers that are slow overall and late attempts that were
// overtaken aren't counted, because neither is overload.
func (g *Gateway) countLateness(a *attempt, late bool) {
	slowServer := a.server.relativeLatency.sum > overdueFactor*(a.server.relativeLatency.weight+latencyPriorWeight)
	if a.countedLate || slowServer || late && a.overtakenBy >= overtakenLimit {
		return
	}
	a.countedLate = true
	g.lateness[a.request.Class].addBool(g.now, recentWindow, late)
}

// countWasted counts an attempt that may have run, and whether it was wasted, that is, not served. An attempt that
// found no connection isn't counted, as it costs its request little.
func (g *Gateway) countWasted(s *server, e Ending) {
	if e == Served || e == Errored || e == ConnectionLost {
		s.wasted.addBool(g.now, 4*latencyTimeConstant*g.shortestTarget(), e != Served)
	}
}
