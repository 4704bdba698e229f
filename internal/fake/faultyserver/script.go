package faultyserver

import (
	"sync"
	"testing"
	"testing/synctest"
)

const (
	// answerBytes and requestBytes are beyond the end of most answers and requests that are cut at every byte.
	responseBytes = 400
	requestBytes  = 450
)

// script is plans that all servers of a world take one after the other.
type script struct {
	mu    sync.Mutex
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

// everyByte breaks an answer in each form at each byte in each way, and requests at each of theirs.
func everyByte() *script {
	s := &script{}
	for how := closeConn; how <= stall; how++ {
		for form := byContentLength; form <= byClose; form++ {
			by := how
			if form == byClose && how == closeConn {
				by = resetConn // a close would be its end
			}
			for at := range responseBytes {
				s.plans = append(s.plans, faultPlan{breakRequestAt: -1, executed: true, shortBody: true, framing: form, truncateAtByte: true, truncateAt: at, truncateBy: by})
			}
		}
		for at := range requestBytes {
			s.plans = append(s.plans, faultPlan{breakRequestAt: at, truncateShare: -1, requestBreak: how})
		}
	}
	return s
}

// EveryByte plays a world in which requests and answers break at each of their first some hundred bytes, in each way, and gives
// what was broken, how many breaks were left over, and counts.
func EveryByte(t *testing.T) (failures []string, left int, counts map[string]int) {
	synctest.Test(t, func(t *testing.T) {
		all := everyByte()
		size := Size{Servers: 4, Clients: 20}
		size.Requests = 3 * len(all.plans) / 2 / size.Clients
		w := newSimulation(1, size)
		w.fleet.useScript(all)
		w.run(t)
		failures, left, counts = w.fleet.Checker.Finish(), len(all.plans), w.fleet.Checker.counts
	})
	return failures, left, counts
}
