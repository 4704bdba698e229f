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
	// maxDraws bounds the number of draws. Draws of failing servers are discarded.
	maxDraws = 4 * sampleSize
	// assumedUtilization is the utilization that is assumed of a server with an unknown load, in a backend whose
	// servers report their load.
	assumedUtilization = 0.5
	// loadReportingTTL is how long a backend counts as one whose servers report their load, after the load of one
	// was known.
	loadReportingTTL = 3 * time.Second
)

// sample draws servers of a backend whose servers report their load, and adds those that are preferred for the
// request's prefix. It returns the whole list if it is short or if no drawn server has a known load. mu is held.
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

// failing reports whether a server fails the requests of processes in this gateway's zone.
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

// reportedInFlight returns the number of requests in flight that a server last reported, plus those that this
// gateway has sent it since; 0 if its load isn't known. mu is held.
func (s *Selector) reportedInFlight(now time.Time, server *endpoints.Server, state *serverState) int {
	load, reportedAt, known := s.loads.Lookup(now, server.Hash)
	if !known {
		return 0
	}
	return load.InFlight() + state.recent.CountSince(reportedAt.UnixNano())
}

// reportsLoad reports whether the load of a server of a backend was known within loadReportingTTL. mu is held.
func (s *Selector) reportsLoad(now time.Time, backend string) bool {
	last, reported := s.lastReport[backend]
	return reported && now.Sub(last) < loadReportingTTL
}

// queueCost returns the cost of the requests in flight at a server with a number of slots. Those that leave no slot
// for a new request count as ahead of it in the server's queue.
func queueCost(inFlight, slots int) float64 {
	cost := reportedRequestCost * float64(inFlight)
	if ahead := inFlight + 1 - slots; ahead > 0 {
		cost += queuedRequestCost * float64(ahead)
	}
	return cost
}

// Utilization returns the share of the servers' slots that is in use, and whether requests wait for slots, by the
// loads that the servers report. share includes the waiting requests and may exceed 1. waiting is true if at least
// one request waits for every two servers that reported. known is false if fewer than half of the servers have
// reported recently.
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
