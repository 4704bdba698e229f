package server

import "sprucelane.example/sprucelane/internal/batch/placement"

// tellStanding logs what this store waits for, where it doesn't stand whole in the present epoch.
func (s *Server) tellStanding() {
	s.mutex.Lock()
	standing := s.machine.Standing()
	s.mutex.Unlock()
	if standing.HasSettled() {
		return
	}
	s.log.Warn().Uint64("epoch", standing.Epoch).Uint64("settled", standing.Settled).Strs("awaited", names(standing.Awaited)).
		Strs("missing", names(standing.Missing)).Int("obscured", standing.Obscured).Bool("blank", standing.Blank).
		Int("unowned", standing.Unowned).Int("conceded", standing.Conceded).Int("partial", standing.Partial).Msg("not_settled")
}

func names(keys []placement.Key) []string {
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = string(key)
	}
	return list
}
