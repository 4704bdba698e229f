package faultyserver

import (
	"sync"
	"testing"
	"testing/synctest"
)

const (
	// responseBytes and requestBytes are more than most responses and requests of EveryByte have.
	responseBytes = 400
	requestBytes  = 450
)

// script is a list of plans that all servers of a simulation take one after the other. When it is used up, no
// faults follow.
type script struct {
	mu    sync.Mutex // guards plans
	plans []faultPlan
}

func (s *script) next() faultPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.plans) == 0 {
		return faultPlan{breakRequestAt: -1, truncateShare: -1, executed: true, shortBody: true}
	}
	p := s.plans[0]
	s.plans = s.plans[1:]
	return p
}

// everyByte breaks responses in each framing, and requests, at each byte in each way.
func everyByte() *script {
	s := &script{}
	for action := closeConn; action <= stall; action++ {
		for form := byContentLength; form <= byClose; form++ {
			truncateBy := action
			if form == byClose && action == closeConn {
				truncateBy = resetConn // a close would be the regular end of the response
			}
			for at := range responseBytes {
				s.plans = append(s.plans, faultPlan{breakRequestAt: -1, executed: true, shortBody: true, framing: form,
					truncateAtByte: true, truncateAt: at, truncateBy: truncateBy})
			}
		}
		for at := range requestBytes {
			s.plans = append(s.plans, faultPlan{breakRequestAt: at, truncateShare: -1, requestBreak: action})
		}
	}
	return s
}

// EveryByte runs a simulation in which requests and responses break at each of their first few hundred bytes,
// in each way. It returns the violations, the number of breaks that were not made, and the counts of events.
func EveryByte(t *testing.T) (violations []string, remaining int, counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		breaks := everyByte()
		size := Size{Servers: 4, Clients: 20}
		size.Requests = 3 * len(breaks.plans) / 2 / size.Clients // more than breaks: some requests don't reach a server
		s := newSimulation(1, size)
		s.fleet.useScript(breaks)
		s.run(t)
		violations, remaining, counts = s.fleet.Checker.Finish(), len(breaks.plans), s.fleet.Checker.Counts()
	})
	return violations, remaining, counts
}
