package policy

import (
	"cmp"
	"math"
)

// The choice of a server for an attempt. Servers are excluded by ejection.go and slow_start.go.

const (
	similarity = 0.1 // relative difference below which costs and latencies are considered equal
	baseLoad   = 1.0 // attempts of other gateways that a server is assumed to have, in addition to the known ones
)

// pickServer returns the server with the least expected wait that a request may be sent to, or nil if there is none. It
// prefers servers that have capacity, were not tried for the request, and have not rejected its group. While more than
// half of the servers are ejected, ejection is ignored, because the fault is then elsewhere (Envoy's panic threshold).
func (g *Gateway) pickServer(r *request) *server {
	applyEjection := 2*g.countListed(g.ejected) <= g.listedServers()
	best, least := (*server)(nil), 0.0
	for round := 0; round < 2 && best == nil; round++ {
		for _, s := range g.servers {
			if !s.listed || !g.mayRunOn(r, s, r.attempts) || (applyEjection && g.ejected(s)) || !g.withinSlowStartBudget(s) {
				continue
			}
			if round == 0 && !g.preferred(r, s) {
				continue
			}
			if cost := g.expectedWait(s) * (1 + similarity*g.rng.Float64()); best == nil || cost < least {
				best, least = s, cost
			}
		}
	}
	return best
}

// preferred reports whether a server has capacity for a request, wasn't tried for it, and hasn't recently rejected its
// group.
func (g *Gateway) preferred(r *request, s *server) bool {
	rejects := s.rejectedUntil != nil && s.rejectedUntil[g.groupOf(r)] > g.now
	return !rejects && !r.wasTried(s) && s.load() < math.Max(1, g.capacityOf(s))
}

// expectedWait returns a server's relative latency times the attempts at it, divided by its warmth. An attempt in
// flight for longer than overdueFactor times its typical latency counts as a sample with the latency that it has
// reached.
func (g *Gateway) expectedWait(s *server) float64 {
	s.relativeLatency.decay(g.now, latencyTimeConstant*g.shortestTarget())
	sum, n := s.relativeLatency.sum+latencyPriorWeight, s.relativeLatency.weight+latencyPriorWeight
	for _, a := range g.inFlight {
		if a.server == s && a.overtakenBy < overtakenLimit && !a.untimed() {
			if x := (g.now - a.sentAt).Seconds() / g.typicalLatency(a.request); x > overdueFactor {
				sum += x
				n++
			}
		}
	}
	if s.slowStartBudget.Credit >= 1 && g.warmth(s) < 1 { // chosen first, as some servers warm up only by working
		return 0
	}
	return sum / n * (s.load() + s.peersInFlight + baseLoad) / g.warmth(s)
}

// SetPriors applies estimates of servers, each for one process of its server. They replace the relative latency and the
// capacity, and may delay the next attempt to a server that warms up; they change nothing else.
func (g *Gateway) SetPriors(now Time, list []Prior) {
	g.advance(now)
	for _, p := range list {
		s := g.serversByID[p.ID]
		if s == nil || !s.listed || s.StartedAt != p.StartedAt || !(p.RelativeLatency*p.Weight > 0) {
			continue
		}
		s.relativeLatency = decayingMean{sum: p.RelativeLatency * p.Weight, weight: p.Weight, decayedAt: now}
		s.capacity = cmp.Or(p.Capacity, s.capacity)
		if p.SlowStartBudgetTaken {
			s.slowStartBudget.Credit = math.Min(s.slowStartBudget.Credit, 0)
		}
	}
}

// SetPeerLoads sets the load that other gateways put on servers. It affects the servers' expected waits and nothing
// else.
func (g *Gateway) SetPeerLoads(now Time, list []Load) {
	g.advance(now)
	for _, l := range list {
		if s := g.serversByID[l.ID]; s != nil {
			s.peersInFlight = math.Max(0, l.Attempts)
		}
	}
}
