package server

import (
	"maps"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// tellViolations logs the invariants that did not hold in this life.
func (s *Server) tellViolations() {
	s.mutex.Lock()
	violations := maps.Clone(s.machine.Violations())
	s.mutex.Unlock()
	for invariant, count := range violations {
		s.log.Error().Str("invariant", string(invariant)).Int("count", count).Msg("invariant_violated")
	}
}

// tellStanding logs what this store waits for, where it doesn't stand whole in the present epoch.
func (s *Server) tellStanding() {
	s.mutex.Lock()
	standing := s.machine.Standing()
	s.mutex.Unlock()
	if standing.HasSettled() {
		return
	}
	s.log.Warn().Uint64("epoch", standing.Epoch).Uint64("settled", standing.Settled).Strs("awaited", names(standing.Awaited)).
		Strs("missing", names(standing.Missing)).Int("obscured", standing.Obscured).
		Int("unowned", standing.Unowned).Int("conceded", standing.Conceded).Int("behind", standing.Behind).Int("partial", standing.Partial).Msg("not_settled")
}

func names(keys []placement.Key) []string {
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = string(key)
	}
	return list
}
