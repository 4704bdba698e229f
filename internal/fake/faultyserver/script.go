package faultyserver

import (
	"sync"
	"testing"
	"testing/synctest"
)

const (
	// answerBytes and requestBytes are beyond the end of most answers and requests that are cut at every byte.
	answerBytes  = 400
	requestBytes = 450
)

// script is plans that all servers of a world take one after the other.
type script struct {
	mu    sync.Mutex
	plans []plan
}

func (s *script) next() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.plans) == 0 {
		return plan{requestCut: -1, cut: -1, ran: true, short: true}
	}
	p := s.plans[0]
	s.plans = s.plans[1:]
	return p
}

// everyByte breaks an answer in each form at each byte in each way, and requests at each of theirs.
func everyByte() *script {
	s := &script{}
	for how := closes; how <= stalls; how++ {
		for form := byLength; form <= byClose; form++ {
			by := how
			if form == byClose && how == closes {
				by = resets // a close would be its end
			}
			for at := range answerBytes {
				s.plans = append(s.plans, plan{requestCut: -1, ran: true, short: true, framing: form, cutByte: true, cutAt: at, cutBy: by})
			}
		}
		for at := range requestBytes {
			s.plans = append(s.plans, plan{requestCut: at, cut: -1, breaks: how})
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
		w := newWorld(1, size)
		w.fleet.script(all)
		w.play(t)
		failures, left, counts = w.fleet.Audit.Finish(), len(all.plans), w.fleet.Audit.counts
	})
	return failures, left, counts
}
