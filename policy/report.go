package policy

// Statistics and observations that a gateway reports.

// OwnLoads returns the load that this gateway puts on each server, and how its latest attempts there ended. Servers
// without attempts that occupy slots and without failures to report are omitted.
func (g *Gateway) OwnLoads(now Time) map[ServerID]OwnLoad {
	g.advance(now)
	loads := map[ServerID]OwnLoad{}
	for _, s := range g.servers {
		s.wasted.decay(now, 4*latencyTimeConstant*g.shortestTarget())
		if s.wasted.sum >= minReportedFailures {
			loads[s.ID] = OwnLoad{Failures: s.wasted.sum, Attempts: s.wasted.weight}
		}
	}
	for _, a := range g.inFlight {
		if !a.withoutSlot {
			load := loads[a.server.ID]
			load.InFlight++
			loads[a.server.ID] = load
		}
	}
	return loads
}

// Stats are statistics of a gateway for its operators. Except for the totals, they are values at the time of the call.
type Stats struct {
	OwnerQueries    int // total of requests for which customers' owners were queried
	InvalidMessages int // total of messages from peers that could not be read
	EjectedServers  int
	SuspectedOwners int // gateways that are not queried as owners, because they haven't answered
	NearbyAlive     int // nearby peers that are alive
	Customers       int // records of customers
	ListedServers   int // servers that may be sent requests
	QueuedRequests  int // requests that wait for a server
}

// Stats returns the gateway's statistics.
func (g *Gateway) Stats(now Time) Stats {
	g.advance(now)
	stats := Stats{OwnerQueries: int(g.lastQuery), InvalidMessages: g.invalidMessages,
		EjectedServers: g.countListed(g.ejected), NearbyAlive: g.nearbyAlive(), Customers: len(g.customers),
		ListedServers: g.listedServers(), QueuedRequests: len(g.queue)}
	for p, until := range g.suspectedUntil {
		if until > now && p != g.cfg.Self {
			stats.SuspectedOwners++
		}
	}
	return stats
}

// Observe returns this gateway's measurements of each listed server, in the order in which the servers were first
// listed.
func (g *Gateway) Observe(now Time) []Observation {
	g.advance(now)
	list := make([]Observation, 0, len(g.servers))
	for _, s := range g.servers {
		if s.listed {
			list = append(list, g.observe(s))
		}
	}
	byServer := make(map[*server]*Observation, len(list))
	for i := range list {
		byServer[g.serversByID[list[i].ID]] = &list[i]
	}
	for _, a := range g.inFlight {
		o, elapsed := byServer[a.server], now-a.sentAt
		if o == nil || a.untimed() || a.overtakenBy >= overtakenLimit ||
			elapsed.Seconds() <= overdueFactor*g.typicalLatency(a.request) {
			continue
		}
		if o.Overdue++; a.sentAt >= o.LastServed {
			o.NoResponseFor = max(o.NoResponseFor, elapsed)
		}
	}
	return list
}

// observe returns this gateway's measurements of a server, without its overdue attempts.
func (g *Gateway) observe(s *server) Observation {
	s.relativeLatency.decay(g.now, latencyTimeConstant*g.shortestTarget())
	o := Observation{ID: s.ID, StartedAt: s.StartedAt, LatencySamples: s.relativeLatency.weight, LastServed: s.lastServed,
		ServedTotal: s.servedTotal, InFlight: s.inFlight, EjectedFor: max(0, s.ejectedUntil-g.now), Capacity: s.capacity,
		Warmth: g.warmth(s)}
	if s.relativeLatency.weight > 0 {
		o.RelativeLatency = s.relativeLatency.sum / s.relativeLatency.weight
	}
	for _, t := range s.slowStartBudget.Sent {
		if g.now-t <= g.cfg.SlowStartWindow {
			o.SlowStartSends++
		}
	}
	return o
}
