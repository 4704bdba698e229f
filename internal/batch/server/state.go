package server

import (
	"maps"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// logState logs a summary of the process, violated invariants, and what the store still waits for if it isn't
// reconciled.
func (s *Server) logState() {
	report, counts := s.report(), s.runner.Counts()
	waiting, running, allowed := s.runner.Load()
	findings, corruptJobs := s.corruptionCounts()
	s.logUnreconciled()
	s.logViolations()
	s.log.Info().Int("waiting", waiting).Int("running", running).Int("server_limits", allowed).
		Uint64("epoch", report.Epoch).Uint64("reconciled_epoch", report.Settled).Int("batch_jobs", report.BatchJobs).
		Int("findings", findings).Int("corrupt_jobs", corruptJobs).Int64("truncated_bytes", s.truncatedBytes).
		Int64("free", report.FreeBytes).Int64("runs", counts.Attempts).Int64("completed", counts.Completed).
		Int64("dead_letter", counts.DeadLetter).Int64("resumed", counts.Resumed).Int64("rejected", counts.Rejected).
		Int64("interrupted", counts.Interrupted).Int64("failed", counts.Failed).Int64("dials", counts.Dials).Msg("state")
}

// corruptionCounts returns the number of parts of the log that this start couldn't use, and the number of batch
// jobs that are still corrupt because of them.
func (s *Server) corruptionCounts() (findings, corruptJobs int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stateMachine.Corruption()
}

// logViolations logs the invariants that this process has found violated.
func (s *Server) logViolations() {
	s.mutex.Lock()
	violations := maps.Clone(s.stateMachine.Violations())
	s.mutex.Unlock()
	for invariant, count := range violations {
		s.log.Error().Str("invariant", string(invariant)).Int("count", count).Msg("invariant_violated")
	}
}

// logUnreconciled logs what this store waits for while it isn't reconciled in the current epoch.
func (s *Server) logUnreconciled() {
	s.mutex.Lock()
	status := s.stateMachine.Status()
	s.mutex.Unlock()
	if status.Reconciled() {
		return
	}
	s.log.Warn().Uint64("epoch", status.Epoch).Uint64("reconciled_epoch", status.ReconciledEpoch).
		Strs("awaited_inventories", keyStrings(status.AwaitedInventories)).
		Strs("missing_stores", keyStrings(status.MissingStores)).
		Int("incomplete_logs", status.IncompleteLogs).Int("unowned", status.Unowned).
		Int("transferring", status.Transferring).Int("superseded", status.Superseded).
		Int("under_replicated", status.UnderReplicated).Msg("not_reconciled")
}

func keyStrings(keys []placement.Key) []string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = string(key)
	}
	return texts
}
