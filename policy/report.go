package policy

// What a gateway tells of itself. Nothing here chooses.

// Own gives what this gateway has out at each server, and how its latest attempts there ended, where there is any of it.
func (g *Gateway) OwnLoads(now Time) map[ServerID]OwnLoad {
	g.advance(now)
	own := map[ServerID]OwnLoad{}
	for _, s := range g.servers {
		s.wasted.decay(now, 4*latencyMemory*g.shortestTarget())
		if s.wasted.sum >= minReportedFailures {
			own[s.ID] = OwnLoad{Failures: s.wasted.sum, Attempts: s.wasted.weight}
		}
	}
	for _, a := range g.inFlight {
		if !a.lost {
			o := own[a.server.ID]
			o.InFlight++
			own[a.server.ID] = o
		}
	}
	return own
}

// Figures is what a gateway tells of itself to the people on call.
type Stats struct {
	OwnerQueries, InvalidMessages                int // questions to homes; messages that made no sense
	EjectedServers, SuspectedOwners, NearbyAlive int // now: servers ejected, homes that don't answer, peers near by that are heard
	Customers                                    int // remembered
	ListedServers, QueuedRequests                int // servers that may be sent to; requests that none may take yet
}

// Figures gives the figures.
func (g *Gateway) Stats(now Time) Stats {
	g.advance(now)
	f := Stats{OwnerQueries: int(g.lastQuery), InvalidMessages: g.invalidMessages, EjectedServers: g.countListed(g.ejected), Customers: len(g.customers),
		ListedServers: g.listedServers(), QueuedRequests: len(g.queue)}
	for p, until := range g.suspectedUntil {
		if until > now && p != g.cfg.Self {
			f.SuspectedOwners++
		}
	}
	f.NearbyAlive = g.nearbyAlive()
	return f
}

// Observe gives what this gateway has seen of each listed server, in the order of the list.
func (g *Gateway) Observe(now Time) []Observation {
	g.advance(now)
	list := make([]Observation, 0, len(g.servers))
	for _, s := range g.servers {
		if !s.listed {
			continue
		}
		s.relativeLatency.decay(now, latencyMemory*g.shortestTarget())
		o := Observation{ID: s.ID, StartedAt: s.StartedAt, LatencySamples: s.relativeLatency.weight, LastServed: s.lastServed, ServedTotal: s.servedTotal, InFlight: s.inFlight,
			EjectedFor: max(0, s.ejectedUntil-now), Capacity: s.capacity, Warmth: g.warmth(s)}
		if s.relativeLatency.weight > 0 {
			o.RelativeLatency = s.relativeLatency.sum / s.relativeLatency.weight
		}
		for _, t := range s.coldBudget.Sends {
			if now-t <= g.cfg.ColdWindow {
				o.ColdSends++
			}
		}
		list = append(list, o)
	}
	at := make(map[*server]*Observation, len(list))
	for i := range list {
		at[g.serversByID[list[i].ID]] = &list[i]
	}
	for _, a := range g.inFlight {
		o, out := at[a.server], now-a.sentAt
		if o == nil || a.untimed() || a.overtakenBy >= overtakenLimit || out.Seconds() <= overdueFactor*g.typicalLatency(a.request) {
			continue
		}
		if o.Overdue++; a.sentAt >= o.LastServed {
			o.NoResponseFor = max(o.NoResponseFor, out)
		}
	}
	return list
}
