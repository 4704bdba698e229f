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
func (r *Runner) run(b *batchJob, assignment scheduler.Assignment) {
	defer r.runs.Done()
	began := time.Now()
	outcome := r.send(b, assignment)
	if outcome.Ending == serverclient.Completed {
		r.completed(time.Since(began))
	}
	if r.ended(b, assignment, outcome) {
		r.handIn(b)
	}
	r.Wake()
}

// completed takes in how long a run to its end took.
func (r *Runner) completed(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.Completed(took)
}

func (r *Runner) send(b *batchJob, assignment scheduler.Assignment) serverclient.Outcome {
	r.mutex.Lock()
	kept := *b.items[assignment.Index]
	r.mutex.Unlock()
	closed := serverclient.Outcome{Ending: serverclient.Closed, LastEventID: kept.last}
	snapshot := r.knowledge.Configuration()
	if snapshot == nil || snapshot.RouteNamed(b.Route) == nil {
		return closed
	}
	item, err := r.store.ReadItem(kept.at)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", b.ID).Msg("item_unreadable")
		return closed
	}
	return r.client.Run(b.context, &serverclient.Request{
		Address:     assignment.Server.Address,
		Instance:    assignment.Server.ID,
		Host:        snapshot.RouteNamed(b.Route).Hostname,
		Tenant:      b.Tenant,
		Item:        &item,
		LastEventID: kept.last,
		Deadline:    r.deadline(b),
		Silence:     silence,
		Gate:        func() bool { return r.maySend(b, assignment) },
		Progress: func(after, last int64, events [][]byte) {
			r.store.Progress(b.ID, assignment.Index, after, last, events)
		},
		Load: func(header string) {
			r.loads.Observe(time.Now(), xxhash.Sum64String(assignment.Server.ID), header)
		},
		First: func(took time.Duration) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.planner.FirstEvent(assignment.Server.ID, took, r.now())
		},
	})
}

// deadline is what a server gets for an item.
func (r *Runner) deadline(b *batchJob) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b.giveUpAt.IsZero() {
		return mostDeadline
	}
	return min(mostDeadline, max(time.Until(b.giveUpAt), time.Second))
}

// maySend is asked right before the first byte: the store must still consent, the server be listed, and the route lead to it.
func (r *Runner) maySend(b *batchJob, assignment scheduler.Assignment) bool {
	if b.context.Err() != nil || !r.store.MayRun(b.ID, assignment.Index) {
		return false
	}
	snapshot := r.knowledge.Configuration()
	route := snapshot.RouteNamed(b.Route)
	if route == nil {
		return false
	}
	for _, backend := range route.Backends() {
		for _, server := range r.knowledge.Servers(backend) {
			if server.ID == assignment.Server.ID {
				r.mutex.Lock()
				r.counts.Runs++
				r.mutex.Unlock()
				return true
			}
		}
	}
	return false
}

// ended takes what came of a run. It tells whether something is to be handed in.
func (r *Runner) ended(b *batchJob, assignment scheduler.Assignment, outcome serverclient.Outcome) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.planner.Ended(assignment.Server.ID)
	r.noteResult(assignment.Server.ID, outcome.Ending, now)
	if outcome.Leaving {
		r.planner.Full(assignment.Server.ID, now, againLater)
	}
	kept := b.items[assignment.Index]
	if r.jobs[b.ID] != b {
		r.setbacks.add(b.ID, assignment.Index, outcome.Ending)
		return false
	}
	if kept == nil {
		return false
	}
	if !r.bugs.forgetEvents {
		kept.events = append(kept.events, outcome.Events...)
	}
	kept.last = outcome.LastEventID
	return r.follow(b, kept, assignment, outcome, now)
}

// noteResult takes in what a run's end says of its server. The mutex is held.
func (r *Runner) noteResult(instance string, ending serverclient.Ending, now time.Duration) {
	hash := xxhash.Sum64String(instance)
	switch ending {
	case serverclient.Completed, serverclient.Impossible:
		r.loads.RecordResult(time.Now(), hash, false)
		r.planner.Served(instance)
	case serverclient.Failed:
		r.loads.RecordResult(time.Now(), hash, true)
		r.planner.Failed(instance, now)
	case serverclient.Cut, serverclient.NotSent:
		r.loads.RecordResult(time.Now(), hash, true)
	}
}

// follow decides what follows a run. The mutex is held.
func (r *Runner) follow(b *batchJob, kept *progress, assignment scheduler.Assignment, outcome serverclient.Outcome, now time.Duration) bool {
	instance := assignment.Server.ID
	switch outcome.Ending {
	case serverclient.Completed:
		b.finished = append(b.finished, finished{index: assignment.Index, state: job.Completed, text: text(kept.events)})
		return true
	case serverclient.Impossible, serverclient.Failed:
		if outcome.Ending == serverclient.Failed {
			r.counts.Failed++
		}
		kept.add(outcome.Ending, r.bugs)
		if kept.spent(r.maxAttempts(b)) {
			b.finished = append(b.finished, finished{index: assignment.Index, state: job.DeadLetter})
			return true
		}
		r.planner.Return(assignment.Task, now+againSoon, instance)
	case serverclient.NotExecuted:
		r.counts.Rejected++
		r.planner.Full(instance, now, outcome.RetryAfter)
		r.planner.Return(assignment.Task, now+againSoon, instance)
	case serverclient.Refused:
		r.counts.Rejected++
		r.planner.Full(instance, now, outcome.RetryAfter)
		r.planner.Return(assignment.Task, now+againLater, instance)
	case serverclient.Cut:
		r.counts.Cut++
		r.log.Debug().Err(outcome.Cause).Str("item", b.ID).Int("index", assignment.Index).Str("server", instance).
			Int("events", len(outcome.Events)).Msg("stream_cut")
		if len(kept.events) > 0 {
			r.counts.Resumed++
		}
		r.planner.Broken(instance, now)
		r.planner.Return(assignment.Task, now+againSoon, instance)
	case serverclient.NotSent:
		r.planner.Broken(instance, now)
		r.planner.Return(assignment.Task, now+againSoon, instance)
	case serverclient.Closed:
		r.planner.Return(assignment.Task, now+againLater, "")
	}
	return false
}

// maxAttempts tells how often an item may fail. While its route isn't known nothing is given up for that: a route that has ended
// ends its items by itself.
func (r *Runner) maxAttempts(b *batchJob) int {
	snapshot := r.knowledge.Configuration()
	if snapshot == nil {
		return math.MaxInt
	}
	route := snapshot.RouteNamed(b.Route)
	if route == nil {
		return math.MaxInt
	}
	return max(route.MaxAttempts, 1)
}
