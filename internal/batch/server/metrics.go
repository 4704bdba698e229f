package server

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"time"

	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/runner"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/node/metrics"
)

// metricsHeaderTimeout limits the time to read the header of a request for metrics.
const metricsHeaderTimeout = 5 * time.Second

// Metrics returns the metrics of a batch process. If s is nil they can be described but not read.
func Metrics(s *Server) []metrics.Metric {
	list := append(s.jobMetrics(), s.runMetrics()...)
	return append(list, s.diskMetrics()...)
}

// jobMetrics returns the metrics of the batch jobs of which this store has a replica, and of their reconciliation.
func (s *Server) jobMetrics() []metrics.Metric {
	status := func(which func(replica.Status) float64) func(metrics.Emit) {
		return func(emit metrics.Emit) {
			s.mutex.Lock()
			current := s.stateMachine.Status()
			s.mutex.Unlock()
			emit.Value(which(current))
		}
	}
	return []metrics.Metric{
		{Name: "sprucelane_batch_jobs", Kind: metrics.Gauge, Help: "Batch jobs of which this store has a replica.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.report().BatchJobs)) }},
		{Name: "sprucelane_queued_tokens", Kind: metrics.Gauge,
			Help: "Tokens of unfinished items of the batch jobs owned here.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.queuedTokens())) }},
		{Name: "sprucelane_store_epoch", Kind: metrics.Gauge,
			Help: "Epoch of the store membership that this store acts in.",
			Read: status(func(current replica.Status) float64 { return float64(current.Epoch) })},
		{Name: "sprucelane_store_reconciled_epoch", Kind: metrics.Gauge,
			Help: "Newest epoch in which this store reconciled.",
			Read: status(func(current replica.Status) float64 { return float64(current.ReconciledEpoch) })},
		{Name: "sprucelane_under_replicated_jobs", Kind: metrics.Gauge,
			Help: "Batch jobs owned here that aren't on all disks of their sets; 0 once reconciled.",
			Read: status(func(current replica.Status) float64 { return float64(current.UnderReplicated) })},
		{Name: "sprucelane_unowned_jobs", Kind: metrics.Gauge,
			Help: "Batch jobs that nobody owns until missing stores are back; 0 once reconciled.",
			Read: status(func(current replica.Status) float64 { return float64(current.Unowned) })},
		{Name: "sprucelane_missing_stores", Kind: metrics.Gauge,
			Help: "Departed stores that may hold what the members don't know of; 0 once reconciled.",
			Read: status(func(current replica.Status) float64 { return float64(len(current.MissingStores)) })},
		{Name: "sprucelane_invariant_violations_total", Kind: metrics.Counter, Labels: []string{"invariant"},
			Help: "Invariants that this process found violated: always a fault.",
			Read: func(emit metrics.Emit) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for invariant, count := range s.stateMachine.Violations() {
					emit.Value(float64(count), string(invariant))
				}
			}},
	}
}

// runMetrics returns the metrics of the items that run here.
func (s *Server) runMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_items", Kind: metrics.Gauge, Labels: []string{"state"},
			Help: "Items of batch jobs owned here, waiting and running, and how many may run at servers at once (limit).",
			Read: func(emit metrics.Emit) {
				waiting, running, limit := s.runner.Load()
				emit.Value(float64(waiting), "waiting")
				emit.Value(float64(running), "running")
				emit.Value(float64(limit), "limit")
			}},
		{Name: "sprucelane_item_attempts_total", Kind: metrics.Counter, Help: "Runs of items begun at servers.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.runner.Counts().Attempts)) }},
		{Name: "sprucelane_item_results_total", Kind: metrics.Counter, Labels: []string{"state"},
			Help: "Items listed as completed or dead_letter.",
			Read: func(emit metrics.Emit) {
				counts := s.runner.Counts()
				emit.Value(float64(counts.Completed), "completed")
				emit.Value(float64(counts.DeadLetter), "dead_letter")
			}},
		{Name: "sprucelane_item_attempts_ended_total", Kind: metrics.Counter, Labels: []string{"reason"},
			Help: "Runs that didn't complete their item: rejected by the server, interrupted, failed; and resumed ones.",
			Read: func(emit metrics.Emit) { emitAttemptEnds(emit, s.runner.Counts()) }},
		{Name: "sprucelane_server_connections_opened_total", Kind: metrics.Counter, Help: "Connections opened to servers.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.runner.Counts().Dials)) }},
	}
}

func emitAttemptEnds(emit metrics.Emit, counts runner.Counts) {
	emit.Value(float64(counts.Rejected), "rejected")
	emit.Value(float64(counts.Interrupted), "interrupted")
	emit.Value(float64(counts.Failed), "failed")
	emit.Value(float64(counts.Resumed), "resumed")
}

// diskMetrics returns the metrics of the log, and the build information.
func (s *Server) diskMetrics() []metrics.Metric {
	return []metrics.Metric{
		{Name: "sprucelane_disk_free_bytes", Kind: metrics.Gauge,
			Help: "Bytes of limits.disk-mb that the log may still take.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.report().FreeBytes)) }},
		{Name: "sprucelane_log_truncated_bytes", Kind: metrics.Gauge, Help: "Bytes of a torn tail that this start cut off.",
			Read: func(emit metrics.Emit) { emit.Value(float64(s.truncatedBytes)) }},
		{Name: "sprucelane_log_findings", Kind: metrics.Gauge, Help: "Parts of the log that this start couldn't use.",
			Read: func(emit metrics.Emit) {
				findings, _ := s.corruptionCounts()
				emit.Value(float64(findings))
			}},
		{Name: "sprucelane_corrupt_jobs", Kind: metrics.Gauge, Help: "Batch jobs whose replica here is still corrupt.",
			Read: func(emit metrics.Emit) {
				_, corrupt := s.corruptionCounts()
				emit.Value(float64(corrupt))
			}},
		{Name: "sprucelane_build_info", Kind: metrics.Gauge, Labels: []string{"role", "go_version"},
			Help: "Always 1: what runs.",
			Read: func(emit metrics.Emit) { emit.Value(1, "batch", runtime.Version()) }},
	}
}

// serveMetrics serves GET /metrics on a port of the range until the context ends. If the port isn't available, the
// process runs without it.
func (s *Server) serveMetrics(ctx context.Context) {
	if s.settings.Port(node.PortMetrics) > s.settings.LastPort {
		return
	}
	routes := http.NewServeMux()
	routes.Handle("GET /metrics", metrics.Handler(func() []metrics.Metric { return Metrics(s) }))
	server := &http.Server{
		Addr: s.settings.Endpoint(node.PortMetrics), Handler: routes, ReadHeaderTimeout: metricsHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		s.log.Warn().Err(err).Msg("metrics_disabled")
	}
}
