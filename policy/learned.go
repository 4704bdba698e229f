package policy

import (
	"math"
	"slices"
	"time"
)

// What is learnt from answers: lengths, widths, paces. Nothing here chooses.

// learnLength takes in how long an answered attempt took.
func (g *Gateway) learnLatency(r *request, took time.Duration) {
	memory, length := 10*latencyMemory*g.shortestTarget(), min(took, g.cfg.Classes[r.Class].Deadline).Seconds()
	g.latencyByUnits[r.Class].add(decayFactor(g.now-g.classLatency[r.Class].decayedAt, memory), r.Units, length)
	g.classLatency[r.Class].add(g.now, memory, length)
}

// reported takes a server's load report in.
func (s *server) applyLoadReport(g *Gateway, report []float32) {
	if i := slices.Index(g.cfg.LoadReportFields, "latency_ms"); i >= 0 && i < len(report) && report[i] > 0 && report[i] <= 1e6 {
		s.reportedServiceTime, s.reportedAt = float64(report[i])/1000, g.now
	}
}

// service gives how long an attempt takes at its server without waiting, in seconds, by the server's word of the requests
// that it had lately; 0: not known.
func (g *Gateway) serviceTime(a *attempt) float64 {
	if g.now-a.server.reportedAt > workMemory || g.sentLatency.weight < 1 {
		return 0
	}
	return a.server.reportedServiceTime * g.typicalLatency(a.request) * g.sentLatency.weight / g.sentLatency.sum
}

// learnWidth follows how many attempts a server was seen at work on at once: what was done in a time, by the servers' own
// word of how long it takes, over that time. A shared slow-down leaves it as it is.
func (g *Gateway) learnConcurrency() {
	g.workDone.decay(g.now, workMemory)
	busy := float64(g.cfg.Gateways) * g.workDone.sum / workMemory.Seconds()
	g.serverConcurrency = math.Max(throughputDecay*g.serverConcurrency, busy/math.Max(1, float64(g.listedServers())))
}

// proven follows what a warm server answers here in a window of Fall. What was done before an outage can be
// done after it, so it falls slowly, and it is followed whether or not a server is cold.
func (g *Gateway) learnWarmThroughput() {
	var warm decayingMean
	for _, s := range g.servers {
		if s.listed && g.warmth(s) >= 1 {
			s.answers.decay(g.now, 2*g.cfg.ColdWindow)
			warm.sum, warm.weight = warm.sum+s.answers.sum, warm.weight+1
		}
	}
	g.warmThroughput = math.Max(throughputDecay*g.warmThroughput, warm.sum/math.Max(warm.weight, 1)/2)
	if g.allCold = warm.weight == 0; g.allCold && g.coldServiceTime.weight > 0 { // all are cold: each does one attempt after another, at the least
		one := g.cfg.ColdWindow.Seconds() * g.coldServiceTime.weight / math.Max(g.coldServiceTime.sum, 1e-4)
		g.warmThroughput = math.Max(g.warmThroughput, one/float64(g.cfg.Gateways))
	}
}

// does gives what a server was seen to answer here in a window of Fall, of late, while no listed one is warm and tells what
// warm ones do. What it could do it still can: one that is cold only gets warmer.
func (s *server) coldThroughput(g *Gateway) float64 {
	if !g.allCold {
		return 0
	}
	s.answers.decay(g.now, 2*g.cfg.ColdWindow)
	return s.answers.sum / 2
}

// trueUp settles, once and where the account is kept, what a request draws by its answer in place of the
// guess. An answer's word that can't be is left, and the ceiling goes by the guess.
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
		g.host.Tell(r.owner, packReconcile(r.customer.key, more))
	}
}

// settleAtHome takes in that a request of a customer at home here drew more, or less, than was guessed.
func (g *Gateway) reconcileAtOwner(from int, name uint64, more float64) {
	_, first, set := splitCustomerKey(name)
	if c := g.recordFor(ownerKey(name, g.cfg.Self)); c != nil && g.serves(from, &customer{firstGateway: first, setSize: set}) {
		c.balance -= math.Max(-g.cfg.MaxUnits, math.Min(g.cfg.MaxUnits, more))
	}
}

// need gives how long a request's attempt should take now, by its units and the pace of all servers.
func (g *Gateway) expectedLatency(r *request) time.Duration {
	return time.Duration(g.typicalLatency(r) * math.Max(1, g.fleetLatency) * float64(time.Second))
}

// meanPace gives the pace of all listed servers together, of late.
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

// noteEnd counts an attempt that may have run, and whether that was for nothing. One that found no connection costs its
// request little: it goes elsewhere, and a room that is lost makes room so for those that are left.
func (g *Gateway) countWasted(s *server, e Ending) {
	if e == Served || e == Errored || e == ConnectionLost {
		s.wasted.addBool(g.now, 4*latencyMemory*g.shortestTarget(), e != Served)
	}
}

// leastFails is what failures fade to until they are forgotten.
const minReportedFailures = 0.25

// expect gives how long a request's attempts typically take, in seconds, by its class and units.
func (g *Gateway) typicalLatency(r *request) float64 {
	if f := &g.latencyByUnits[r.Class]; f.weight >= 5 {
		return math.Max(f.predict(r.Units), 1e-4)
	}
	return g.classTypicalLatency(r.Class)
}

func (g *Gateway) classTypicalLatency(class int) float64 {
	t := &g.classLatency[class]
	return math.Max(t.sum/math.Max(t.weight, 1e-9), 1e-4)
}
