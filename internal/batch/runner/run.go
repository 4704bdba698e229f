package runner

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// run sends one item to one server.
func (r *Runner) runItem(batch *batchJob, assignment scheduler.Assignment) {
	defer r.attempts.Done()
	began := time.Now()
	outcome := r.attempt(batch, assignment)
	if outcome.Result == serverclient.Completed {
		r.observeDuration(time.Since(began))
	}
	if r.handleOutcome(batch, assignment, outcome) {
		r.submitResults(batch)
	}
	r.Wake()
}

// completed takes in how long a run to its end took.
func (r *Runner) observeDuration(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.ObserveDuration(took)
}

func (r *Runner) attempt(batch *batchJob, assignment scheduler.Assignment) serverclient.Outcome {
	r.mutex.Lock()
	progress := *batch.items[assignment.Index]
	r.mutex.Unlock()
	closed := serverclient.Outcome{Result: serverclient.Canceled, LastEventID: progress.lastEventID}
	snapshot := r.discovery.Configuration()
	if snapshot == nil || snapshot.RouteByName(batch.Route) == nil {
		return closed
	}
	item, err := r.store.ReadItem(progress.location)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", batch.ID).Msg("item_unreadable")
		return closed
	}
	return r.client.Run(batch.ctx, &serverclient.Request{
		Address:      assignment.Server.Address,
		Instance:     assignment.Server.ID,
		Host:         snapshot.RouteByName(batch.Route).Hostname,
		Tenant:       batch.Tenant,
		Item:         &item,
		LastEventID:  progress.lastEventID,
		Deadline:     r.deadline(batch),
		StallTimeout: stallTimeout,
		Gate:         func() bool { return r.maySend(batch, assignment) },
		OnProgress: func(after, last int64, events [][]byte) {
			r.store.Progress(batch.ID, assignment.Index, after, last, events)
		},
		OnLoad: func(header string) {
			r.loads.Observe(time.Now(), xxhash.Sum64String(assignment.Server.ID), header)
		},
		OnFirstEvent: func(took time.Duration) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.planner.ObserveFirstEvent(assignment.Server.ID, took, r.now())
		},
	})
}

// deadline is what a server gets for an item.
func (r *Runner) deadline(batch *batchJob) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if batch.expiresAt.IsZero() {
		return maxDeadline
	}
	return min(maxDeadline, max(time.Until(batch.expiresAt), time.Second))
}

// maySend is asked right before the first byte: the store must still consent, the server be listed, and the route lead to it.
func (r *Runner) maySend(batch *batchJob, assignment scheduler.Assignment) bool {
	if batch.ctx.Err() != nil || !r.store.MayRun(batch.ID, assignment.Index) {
		return false
	}
	snapshot := r.discovery.Configuration()
	route := snapshot.RouteByName(batch.Route)
	if route == nil {
		return false
	}
	for _, backend := range route.Backends() {
		for _, server := range r.discovery.Servers(backend) {
			if server.ID == assignment.Server.ID {
				r.mutex.Lock()
				r.counts.Attempts++
				r.mutex.Unlock()
				return true
			}
		}
	}
	return false
}

// ended takes what came of a run. It tells whether something is to be handed in.
func (r *Runner) handleOutcome(batch *batchJob, assignment scheduler.Assignment, outcome serverclient.Outcome) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.planner.Finished(assignment.Server.ID)
	r.recordServerResult(assignment.Server.ID, outcome.Result, now)
	if outcome.Draining {
		r.planner.Rejected(assignment.Server.ID, now, longRetryDelay)
	}
	progress := batch.items[assignment.Index]
	if r.jobs[batch.ID] != batch {
		r.stoppedFailures.record(batch.ID, assignment.Index, outcome.Result)
		return false
	}
	if progress == nil {
		return false
	}
	if !r.bugs.forgetEvents {
		progress.events = append(progress.events, outcome.Events...)
	}
	progress.lastEventID = outcome.LastEventID
	return r.decideNext(batch, progress, assignment, outcome, now)
}

// noteResult takes in what a run's end says of its server. The mutex is held.
func (r *Runner) recordServerResult(instance string, ending serverclient.Result, now time.Duration) {
	hash := xxhash.Sum64String(instance)
	switch ending {
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

// follow decides what follows a run. The mutex is held.
func (r *Runner) decideNext(batch *batchJob, progress *itemProgress, assignment scheduler.Assignment, outcome serverclient.Outcome, now time.Duration) bool {
	instance := assignment.Server.ID
	switch outcome.Result {
	case serverclient.Completed:
		batch.results = append(batch.results, itemResult{index: assignment.Index, state: job.Completed, text: joinEvents(progress.events)})
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
		r.log.Debug().Err(outcome.Cause).Str("item", batch.ID).Int("index", assignment.Index).Str("server", instance).
			Int("events", len(outcome.Events)).Msg("stream_cut")
		if len(progress.events) > 0 {
			r.counts.Resumed++
		}
		r.planner.Unreachable(instance, now)
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.NotSent:
		r.planner.Unreachable(instance, now)
		r.planner.Requeue(assignment.Task, now+retryDelay, instance)
	case serverclient.Canceled:
		r.planner.Requeue(assignment.Task, now+longRetryDelay, "")
	}
	return false
}

// maxAttempts tells how often an item may fail. While its route isn't known nothing is given up for that: a route that has ended
// ends its items by itself.
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
