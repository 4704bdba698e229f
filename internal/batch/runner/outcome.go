package runner

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// Delays before an item may start again. They don't limit the rate of attempts at a server: the planner does.
const (
	retryDelay     = 20 * time.Millisecond  // another server may well accept the item
	longRetryDelay = 300 * time.Millisecond // the reason why the item didn't run is likely to last
	// malformedRetryDelay applies to items that can't be sent. Most never can, and expire; only a change of the route's
	// host or another server may help.
	malformedRetryDelay = 10 * time.Second
)

// handleOutcome processes the outcome of an attempt. It reports whether there are results to submit. It passes
// failures to the store after it has released the runner's mutex: the store calls the runner with its own mutex
// held, so that calling the store with the runner's mutex held could deadlock.
func (r *Runner) handleOutcome(batch *batchJob, assignment scheduler.Assignment, outcome serverclient.Outcome) bool {
	submit, failures := r.applyOutcome(batch, assignment, outcome)
	if failures != (failureRecord{}) {
		r.store.Failures(batch.ID, assignment.Index, replica.Failures(failures))
	}
	return submit
}

// applyOutcome does the part of handleOutcome that needs the mutex, and acquires it. If the attempt failed, it also
// returns the item's failures.
func (r *Runner) applyOutcome(
	batch *batchJob, assignment scheduler.Assignment, outcome serverclient.Outcome,
) (submit bool, failures failureRecord) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.planner.Finished(assignment.Server.ID)
	r.recordServerResult(assignment.Server.ID, outcome.Result, now)
	if outcome.Draining {
		r.planner.Rejected(assignment.Server.ID, now, longRetryDelay)
	}
	progress := batch.items[assignment.Index]
	if r.jobs[batch.ID] != batch { // it was stopped, and perhaps started again
		return false, r.stoppedFailures.record(batch.ID, assignment.Index, outcome.Result)
	}
	if progress == nil {
		return false, failures
	}
	if !r.bugs.forgetEvents {
		progress.events = append(progress.events, outcome.Events...)
	}
	progress.lastEventID = outcome.LastEventID
	submit = r.decideNext(batch, progress, assignment, outcome, now)
	if outcome.Result == serverclient.Failed || outcome.Result == serverclient.Unprocessable {
		failures = progress.failureRecord
	}
	return submit, failures
}

// recordServerResult records what a result reveals about the server, for this process and for the processes
// that it shares loads with. The mutex is held.
func (r *Runner) recordServerResult(instance string, result serverclient.Result, now time.Duration) {
	hash := xxhash.Sum64String(instance)
	switch result {
	case serverclient.Completed, serverclient.Unprocessable:
		r.loads.RecordResult(time.Now(), hash, false)
		r.planner.Succeeded(instance)
	case serverclient.Failed:
		r.loads.RecordResult(time.Now(), hash, true)
		r.planner.Failed(instance, now)
	case serverclient.Interrupted, serverclient.NotSent:
		r.loads.RecordResult(time.Now(), hash, true)
	}
}

// decideNext adds an item's result to those to submit, or queues the item again. It reports whether there are
// results to submit. The mutex is held.
func (r *Runner) decideNext(
	batch *batchJob, progress *itemProgress, assignment scheduler.Assignment, outcome serverclient.Outcome,
	now time.Duration,
) bool {
	instance := assignment.Server.ID
	switch outcome.Result {
	case serverclient.Completed:
		text := joinEvents(progress.events)
		batch.results = append(batch.results, itemResult{index: assignment.Index, state: job.Completed, text: text})
		return true
	case serverclient.Unprocessable, serverclient.Failed:
		if outcome.Result == serverclient.Failed {
			r.counts.Failed++
		}
		progress.record(outcome.Result, r.bugs)
		if progress.exhausted(r.maxAttempts(batch)) {
			batch.results = append(batch.results, itemResult{index: assignment.Index, state: job.DeadLetter})
			return true
		}
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.NotExecuted:
		r.counts.Rejected++
		r.planner.Rejected(instance, now, outcome.RetryAfter)
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.Rejected:
		r.counts.Rejected++
		r.planner.Rejected(instance, now, outcome.RetryAfter)
		r.planner.Requeue(assignment.Task, now+longRetryDelay, instance)
	case serverclient.Interrupted:
		r.counts.Interrupted++
		r.log.Debug().Err(outcome.Cause).Str("batch_job", batch.ID).Int("index", assignment.Index).
			Str("server", instance).Int("events", len(outcome.Events)).Msg("stream_interrupted")
		if len(progress.events) > 0 {
			r.counts.Resumed++
		}
		r.planner.Unreachable(instance, now)
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.NotSent:
		r.planner.Unreachable(instance, now)
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.Malformed:
		r.log.Warn().Err(outcome.Cause).Str("batch_job", batch.ID).Int("index", assignment.Index).Msg("item_malformed")
		r.planner.Requeue(assignment.Task, now+malformedRetryDelay, instance)
	case serverclient.Canceled:
		r.planner.Requeue(assignment.Task, now+longRetryDelay, "")
	}
	return false
}

// maxAttempts returns the number of failures at which an item becomes a dead letter. While the route isn't
// known, there is no limit: the items of a removed route become dead letters anyway.
func (r *Runner) maxAttempts(batch *batchJob) int {
	snapshot := r.discovery.Configuration()
	if snapshot == nil {
		return math.MaxInt
	}
	route := snapshot.RouteByName(batch.Route)
	if route == nil {
		return math.MaxInt
	}
	return max(route.MaxAttempts, 1)
}
