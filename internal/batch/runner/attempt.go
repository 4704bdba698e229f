package runner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

const (
	// stallTimeout is how long a server may send nothing before the attempt is interrupted.
	stallTimeout = 3 * time.Second
	// maxDeadline is the longest deadline that a server is given for an item, and minDeadline the shortest.
	maxDeadline = 30 * time.Second
	minDeadline = time.Second
)

// runItem makes one attempt of an item and handles its outcome.
func (r *Runner) runItem(batch *batchJob, assignment scheduler.Assignment) {
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

// observeDuration passes the duration of a completed attempt to the planner.
func (r *Runner) observeDuration(took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.planner.ObserveDuration(took)
}

// attempt sends an item to a server and reads the response. The outcome is Canceled if the route isn't known
// or the item can't be read.
func (r *Runner) attempt(batch *batchJob, assignment scheduler.Assignment) serverclient.Outcome {
	r.mutex.Lock()
	progress := *batch.items[assignment.Index]
	r.mutex.Unlock()
	canceled := serverclient.Outcome{Result: serverclient.Canceled, LastEventID: progress.lastEventID}
	snapshot := r.discovery.Configuration()
	if snapshot == nil || snapshot.RouteByName(batch.Route) == nil {
		return canceled
	}
	item, err := r.store.ReadItem(progress.location)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", batch.ID).Msg("item_unreadable")
		return canceled
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

// deadline returns how long a server may take for an item: the time until the item expires, limited to the
// range from minDeadline to maxDeadline.
func (r *Runner) deadline(batch *batchJob) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if batch.expiresAt.IsZero() {
		return maxDeadline
	}
	return min(maxDeadline, max(time.Until(batch.expiresAt), minDeadline))
}

// maySend is the gate of an attempt. It reports whether, right before the first byte is sent, the batch job
// still runs here, the store permits the attempt, the route exists and the server is listed for the route.
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
