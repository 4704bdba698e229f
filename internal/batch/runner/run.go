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
func (r *Runner) runItem(b *batchJob, assignment scheduler.Assignment) {
	defer r.attempts.Done()
	began := time.Now()
	outcome := r.attempt(b, assignment)
	if outcome.Result == serverclient.Completed {
		r.observeDuration(time.Since(began))
	}
	if r.handleOutcome(b, assignment, outcome) {
		r.submitResults(b)
	}
	r.Wake()
}

// completed takes in how long a run to its end took.
func (r *Runner) observeDuration(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.ObserveDuration(took)
}

func (r *Runner) attempt(b *batchJob, assignment scheduler.Assignment) serverclient.Outcome {
	r.mutex.Lock()
	kept := *b.items[assignment.Index]
	r.mutex.Unlock()
	closed := serverclient.Outcome{Result: serverclient.Canceled, LastEventID: kept.lastEventID}
	snapshot := r.discovery.Configuration()
	if snapshot == nil || snapshot.RouteByName(b.Route) == nil {
		return closed
	}
	item, err := r.store.ReadItem(kept.location)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", b.ID).Msg("item_unreadable")
		return closed
	}
	return r.client.Run(b.context, &serverclient.Request{
		Address:      assignment.Server.Address,
		Instance:     assignment.Server.ID,
		Host:         snapshot.RouteByName(b.Route).Hostname,
		Tenant:       b.Tenant,
		Item:         &item,
		LastEventID:  kept.lastEventID,
		Deadline:     r.deadline(b),
		StallTimeout: stallTimeout,
		Gate:         func() bool { return r.maySend(b, assignment) },
		OnProgress: func(after, last int64, events [][]byte) {
			r.store.Progress(b.ID, assignment.Index, after, last, events)
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
func (r *Runner) deadline(b *batchJob) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b.expiresAt.IsZero() {
		return maxDeadline
	}
	return min(maxDeadline, max(time.Until(b.expiresAt), time.Second))
}

// maySend is asked right before the first byte: the store must still consent, the server be listed, and the route lead to it.
func (r *Runner) maySend(b *batchJob, assignment scheduler.Assignment) bool {
	if b.context.Err() != nil || !r.store.MayRun(b.ID, assignment.Index) {
		return false
	}
	snapshot := r.discovery.Configuration()
	route := snapshot.RouteByName(b.Route)
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
func (r *Runner) handleOutcome(b *batchJob, assignment scheduler.Assignment, outcome serverclient.Outcome) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.planner.Finished(assignment.Server.ID)
	r.recordServerResult(assignment.Server.ID, outcome.Result, now)
	if outcome.Draining {
		r.planner.Rejected(assignment.Server.ID, now, longRetryDelay)
	}
	kept := b.items[assignment.Index]
	if r.jobs[b.ID] != b {
		r.stoppedFailures.record(b.ID, assignment.Index, outcome.Result)
		return false
	}
	if kept == nil {
		return false
	}
	if !r.bugs.forgetEvents {
		kept.events = append(kept.events, outcome.Events...)
	}
	kept.lastEventID = outcome.LastEventID
	return r.decideNext(b, kept, assignment, outcome, now)
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
func (r *Runner) decideNext(b *batchJob, kept *itemProgress, assignment scheduler.Assignment, outcome serverclient.Outcome, now time.Duration) bool {
	instance := assignment.Server.ID
	switch outcome.Result {
	case serverclient.Completed:
		b.results = append(b.results, itemResult{index: assignment.Index, state: job.Completed, text: joinEvents(kept.events)})
		return true
	case serverclient.Unprocessable, serverclient.Failed:
		if outcome.Result == serverclient.Failed {
			r.counts.Failed++
		}
		kept.record(outcome.Result, r.bugs)
		if kept.exhausted(r.maxAttempts(b)) {
			b.results = append(b.results, itemResult{index: assignment.Index, state: job.DeadLetter})
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
		r.log.Debug().Err(outcome.Cause).Str("item", b.ID).Int("index", assignment.Index).Str("server", instance).
			Int("events", len(outcome.Events)).Msg("stream_cut")
		if len(kept.events) > 0 {
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
func (r *Runner) maxAttempts(b *batchJob) int {
	snapshot := r.discovery.Configuration()
	if snapshot == nil {
		return math.MaxInt
	}
	route := snapshot.RouteByName(b.Route)
	if route == nil {
		return math.MaxInt
	}
	return max(route.MaxAttempts, 1)
}
