package policy

// What a gateway tells of itself. Nothing here chooses.

// Own gives what this gateway has out at each server, and how its latest attempts there ended, where there is any of it.
func (g *Gateway) Own(now Time) map[ServerID]Own {
	g.tick(now)
	own := map[ServerID]Own{}
	for _, s := range g.servers {
		s.spoilt.fade(now, 4*paceMemory*g.shortAim())
		if s.spoilt.sum >= leastFails {
			own[s.ID] = Own{Failed: s.spoilt.sum, Tried: s.spoilt.n}
		}
	}
	for _, a := range g.open {
		if !a.lost {
			o := own[a.server.ID]
			o.Out++
			own[a.server.ID] = o
		}
	}
	return own
}

// Figures is what a gateway tells of itself to the people on call.
type Figures struct {
	Asked, Odd                      int // questions to homes; messages that made no sense
	LeftOut, HomesSilent, NearHeard int // now: servers ejected, homes that don't answer, peers near by that are heard
	Customers                       int // remembered
	Listed, Held                    int // servers that may be sent to; requests that none may take yet
}

// Figures gives the figures.
func (g *Gateway) Figures(now Time) Figures {
	g.tick(now)
	f := Figures{Asked: int(g.lastAsk), Odd: g.odd, LeftOut: g.listed(g.ejected), Customers: len(g.customers),
		Listed: g.present(), Held: len(g.held)}
	for p, until := range g.silent {
		if until > now && p != g.set.Me {
			f.HomesSilent++
		}
	}
	f.NearHeard = g.nearHeard()
	return f
}

// Observe gives what this gateway has seen of each listed server, in the order of the list.
func (g *Gateway) Observe(now Time) []Observation {
	g.tick(now)
	list := make([]Observation, 0, len(g.servers))
	for _, s := range g.servers {
		if !s.listed {
			continue
		}
		s.pace.fade(now, paceMemory*g.shortAim())
		o := Observation{ID: s.ID, Since: s.Since, Answers: s.pace.n, Answered: s.answered, Served: s.served, Out: s.out,
			Ejected: max(0, s.ejectedUntil-now), Room: s.room, Warmth: g.warmth(s)}
		if s.pace.n > 0 {
			o.Pace = s.pace.sum / s.pace.n
		}
		for _, t := range s.cold.Sends {
			if now-t <= g.set.Fall {
				o.ColdSends++
			}
		}
		list = append(list, o)
	}
	at := make(map[*server]*Observation, len(list))
	for i := range list {
		at[g.byID[list[i].ID]] = &list[i]
	}
	for _, a := range g.open {
		o, out := at[a.server], now-a.sent
		if o == nil || a.untimed() || a.passed >= passedBy || out.Seconds() <= overdue*g.expect(a.req) {
			continue
		}
		if o.Overdue++; a.sent >= o.Answered {
			o.Silent = max(o.Silent, out)
		}
	}
	return list
}
