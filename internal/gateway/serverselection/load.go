package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/serverload"
)

// This file owns what follows from the loads that servers tell. All gateways see nearly the same loads, and would send what comes within
// a tenth of a second to the same server if each took the one with the least: so each looks at a few servers that it draws.

const (
	// sampleSize is how many servers are drawn.
	sampleSize = 2
	// drawsMost bounds the draws: servers that fail are drawn in vain.
	maxDraws = 4 * sampleSize
	// What a request costs that runs or waits at a server by its own word. A waiting one is ahead of a new one for a place.
	reportedRequestCost, queuedRequestCost = 300, 5000
	// assumedShare of its places is taken to be in use at a server of which nothing is known, where others tell.
	assumedUtilization = 0.5
	// tellingFor is how long a service counts as one that tells its load after it did.
	reportMemory = 3 * time.Second
)

// sample draws some servers of a service that tells its load, and adds those that a part of the prompt meets at. All are given where
// loads are not told.
func (p *Selector) sample(now time.Time, list []*endpoints.Server, preferred affinityOrder) []*endpoints.Server {
	if len(list) <= sampleSize || ablation.Off(ablation.ReportedLoad) {
		return list
	}
	drawn := make([]*endpoints.Server, 0, sampleSize+2)
	tells := false
	for range maxDraws {
		one := list[p.random.IntN(len(list))]
		_, _, known := p.loads.Lookup(now, one.Hash)
		tells = tells || known
		if !p.failing(now, one) {
			drawn = append(drawn, one)
		}
		if len(drawn) == sampleSize {
			break
		}
	}
	if !tells {
		return list
	}
	p.lastReport[list[0].Backend] = now
	if preferred.primary != 0 {
		for _, one := range list {
			if (one.Number == preferred.primary || one.Number == preferred.secondary) && !p.failing(now, one) {
				drawn = append(drawn, one)
			}
		}
	}
	return drawn
}

// fails tells whether the zone's processes have seen a server fail what it gets.
func (p *Selector) failing(now time.Time, server *endpoints.Server) bool {
	return !ablation.Off(ablation.SharedFailures) && p.loads.Failing(now, server.Hash)
}

// presence gives what the requests cost that are at a server: by its own word and what went there from here since, else by what is
// there from here.
func (p *Selector) loadCost(now time.Time, server *endpoints.Server, s *serverState) float64 {
	if ablation.Off(ablation.ReportedLoad) {
		return ownRequestCost * float64(s.inFlight)
	}
	load, at, known := p.loads.Lookup(now, server.Hash)
	if !known && !p.reportsLoad(now, server.Backend) {
		return ownRequestCost * float64(s.inFlight)
	}
	if !known {
		return queueCost(int(assumedUtilization*float64(server.Slots))+s.inFlight, max(server.Slots, 1))
	}
	return queueCost(load.InFlight()+s.recent.CountSince(at.UnixNano()), load.Slots)
}

// presentThere gives the requests at a server by its own word, and what went there from here since.
func (p *Selector) reportedInFlight(now time.Time, server *endpoints.Server, s *serverState) int {
	load, at, known := p.loads.Lookup(now, server.Hash)
	if !known {
		return 0
	}
	return load.InFlight() + s.recent.CountSince(at.UnixNano())
}

// tells tells whether a service's servers told their load lately.
func (p *Selector) reportsLoad(now time.Time, backend string) bool {
	last, told := p.lastReport[backend]
	return told && now.Sub(last) < reportMemory
}

// presentAt gives what a number of requests costs at a server with so many places.
func queueCost(present, slots int) float64 {
	cost := reportedRequestCost * float64(present)
	if ahead := present + 1 - slots; ahead > 0 {
		cost += queuedRequestCost * float64(ahead)
	}
	return cost
}

// Taken gives the share of the places of servers that are taken and whether requests wait there, by the servers' own word; false where
// fewer than half of them have told.
func (p *Selector) Utilization(now time.Time, list []*endpoints.Server) (share float64, waiting, known bool) {
	if ablation.Off(ablation.ReportedLoad) {
		return 0, false, false
	}
	var sum serverload.Load
	told := 0
	for _, server := range list {
		load, _, known := p.loads.Lookup(now, server.Hash)
		if !known {
			continue
		}
		told++
		sum.Running += load.Running
		sum.Waiting += load.Waiting
		sum.Slots += load.Slots
	}
	if 2*told < len(list) || sum.Slots == 0 {
		return 0, false, false
	}
	return float64(sum.InFlight()) / float64(sum.Slots), 2*sum.Waiting >= told, true
}
