package server

import (
	"maps"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// tellViolations logs the invariants that did not hold in this life.
func (s *Server) logViolations() {
	s.mutex.Lock()
	violations := maps.Clone(s.stateMachine.Violations())
	s.mutex.Unlock()
	for invariant, count := range violations {
		s.log.Error().Str("invariant", string(invariant)).Int("count", count).Msg("invariant_violated")
	}
}

// tellStanding logs what this store waits for, where it doesn't stand whole in the present epoch.
func (s *Server) logUnreconciled() {
	s.mutex.Lock()
	standing := s.stateMachine.Status()
	s.mutex.Unlock()
	if standing.Reconciled() {
		return
	}
	s.log.Warn().Uint64("epoch", standing.Epoch).Uint64("settled", standing.ReconciledEpoch).Strs("awaited", keyStrings(standing.Awaited)).
		Strs("missing", keyStrings(standing.Missing)).Int("obscured", standing.IncompleteLogs).
		Int("unowned", standing.Unowned).Int("conceded", standing.Transferring).Int("behind", standing.Superseded).Int("partial", standing.UnderReplicated).Msg("not_settled")
}

func keyStrings(keys []placement.Key) []string {
	list := make([]string, len(keys))
	for i, key := range keys {
		list[i] = string(key)
	}
	return list
}
