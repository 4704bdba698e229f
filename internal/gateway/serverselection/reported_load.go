package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	// sampleSize is how many servers are drawn (the power of two choices).
	sampleSize = 2
	// maxDraws bounds the draws, of which those of failing servers are discarded.
	maxDraws = 4 * sampleSize
	// assumedUtilization is that of a server whose load isn't known, in a backend whose servers report
	// theirs.
	assumedUtilization = 0.5
	// reportMemory is how long a backend counts as one whose servers report their load, after one did.
	reportMemory = 3 * time.Second
)

// sample draws servers of a backend that reports its load, and adds those that are preferred for the
// request's prefix. It returns all servers if loads aren't reported. mu is held.
func (s *Selector) sample(now time.Time, list []*endpoints.Server, preferred affinityOrder) []*endpoints.Server {
	if len(list) <= sampleSize || ablation.Off(ablation.ReportedLoad) {
		return list
	}
	drawn := make([]*endpoints.Server, 0, sampleSize+2)
	reported := false
	for range maxDraws {
		server := list[s.random.IntN(len(list))]
		_, _, known := s.loads.Lookup(now, server.Hash)
		reported = reported || known
		if !s.failing(now, server) {
			drawn = append(drawn, server)
		}
		if len(drawn) == sampleSize {
			break
		}
	}
	if !reported {
		return list
	}
	s.lastReport[list[0].Backend] = now
	if preferred.primary != 0 {
		for _, server := range list {
			if (server.Number == preferred.primary || server.Number == preferred.secondary) && !s.failing(now, server) {
				drawn = append(drawn, server)
			}
		}
	}
	return drawn
}

// failing reports whether a server fails the requests of the zone's processes.
func (s *Selector) failing(now time.Time, server *endpoints.Server) bool {
	return !ablation.Off(ablation.SharedFailures) && s.loads.Failing(now, server.Hash)
}

// loadCost returns the cost of the requests in flight at a server. mu is held.
func (s *Selector) loadCost(now time.Time, server *endpoints.Server, state *serverState) float64 {
	if ablation.Off(ablation.ReportedLoad) {
		return ownRequestCost * float64(state.inFlight)
	}
	load, reportedAt, known := s.loads.Lookup(now, server.Hash)
	if !known && !s.reportsLoad(now, server.Backend) {
		return ownRequestCost * float64(state.inFlight)
	}
	if !known {
		return queueCost(int(assumedUtilization*float64(server.Slots))+state.inFlight, max(server.Slots, 1))
	}
	return queueCost(load.InFlight()+state.recent.CountSince(reportedAt.UnixNano()), load.Slots)
}

// reportedInFlight returns the requests that a server reported, and those that this gateway has sent it
// since; 0 if its load isn't known. mu is held.
func (s *Selector) reportedInFlight(now time.Time, server *endpoints.Server, state *serverState) int {
	load, reportedAt, known := s.loads.Lookup(now, server.Hash)
	if !known {
		return 0
	}
	return load.InFlight() + state.recent.CountSince(reportedAt.UnixNano())
}

// reportsLoad reports whether a backend's servers have reported their load lately. mu is held.
func (s *Selector) reportsLoad(now time.Time, backend string) bool {
	last, reported := s.lastReport[backend]
	return reported && now.Sub(last) < reportMemory
}

// queueCost returns the cost of the requests in flight at a server with a number of slots. Those that leave
// no slot for a new request are ahead of it in the server's queue.
func queueCost(inFlight, slots int) float64 {
	cost := reportedRequestCost * float64(inFlight)
	if ahead := inFlight + 1 - slots; ahead > 0 {
		cost += queuedRequestCost * float64(ahead)
	}
	return cost
}

// Utilization returns the share of the servers' slots that is in use, and whether requests wait for slots, by
// the loads that the servers report. known is false if fewer than half of the servers have reported lately.
func (s *Selector) Utilization(now time.Time, list []*endpoints.Server) (share float64, waiting, known bool) {
	if ablation.Off(ablation.ReportedLoad) {
		return 0, false, false
	}
	var sum serverload.Load
	reported := 0
	for _, server := range list {
		load, _, known := s.loads.Lookup(now, server.Hash)
		if !known {
			continue
		}
		reported++
		sum.Running += load.Running
		sum.Waiting += load.Waiting
		sum.Slots += load.Slots
	}
	if 2*reported < len(list) || sum.Slots == 0 {
		return 0, false, false
	}
	return float64(sum.InFlight()) / float64(sum.Slots), 2*sum.Waiting >= reported, true
}
