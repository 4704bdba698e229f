package server

import (
	"maps"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// logState logs a summary of the process, and what is wrong with it.
func (s *Server) logState() {
	report, counts := s.report(), s.runner.Counts()
	waiting, running, allowed := s.runner.Load()
	findings, damaged := s.corruptionCounts()
	s.logUnreconciled()
	s.logViolations()
	s.log.Info().Int("waiting", waiting).Int("running", running).Int("allowed", allowed).
		Uint64("epoch", report.Epoch).Uint64("settled", report.Settled).Int("batch_jobs", report.BatchJobs).
		Int("findings", findings).Int("damaged", damaged).Int64("cut_off", s.truncatedBytes).
		Int64("free", report.FreeBytes).Int64("runs", counts.Attempts).Int64("completed", counts.Completed).
		Int64("dead_letter", counts.DeadLetter).Int64("resumed", counts.Resumed).Int64("rejected", counts.Rejected).
		Int64("cut", counts.Interrupted).Int64("failed", counts.Failed).Int64("connections", counts.Dials).Msg("state")
}

// corruptionCounts returns the number of parts of the log that this start couldn't use, and of the batch
// jobs that are still damaged because of them.
func (s *Server) corruptionCounts() (findings, damaged int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Corruption()
}

// logViolations logs the invariants that this incarnation has found violated.
func (s *Server) logViolations() {
	s.mutex.Lock()
	violations := maps.Clone(s.stateMachine.Violations())
	s.mutex.Unlock()
	for invariant, count := range violations {
		s.log.Error().Str("invariant", string(invariant)).Int("count", count).Msg("invariant_violated")
	}
}

// logUnreconciled logs what this store waits for while it isn't reconciled in the present epoch.
func (s *Server) logUnreconciled() {
	s.mutex.Lock()
	status := s.stateMachine.Status()
	s.mutex.Unlock()
	if status.Reconciled() {
		return
	}
	s.log.Warn().Uint64("epoch", status.Epoch).Uint64("settled", status.ReconciledEpoch).
		Strs("awaited", keyStrings(status.AwaitedInventories)).Strs("missing", keyStrings(status.MissingStores)).
		Int("obscured", status.IncompleteLogs).Int("unowned", status.Unowned).Int("conceded", status.Transferring).
		Int("behind", status.Superseded).Int("partial", status.UnderReplicated).Msg("not_settled")
}

func keyStrings(keys []placement.Key) []string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = string(key)
	}
	return texts
}
