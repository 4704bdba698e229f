package runner

import (
	"context"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// defaultCompletionTarget is the time within which a batch job should complete if its route isn't known.
const defaultCompletionTarget = 10 * time.Second

// routeMissingTimeout is how long a route must be missing from the configuration before it counts as
// removed, because an operator may remove a route and add it again.
const routeMissingTimeout = 5 * time.Second

// batchJob is a batch job that runs here. The runner's mutex guards its fields.
type batchJob struct {
	replica.Job
	ctx               context.Context // of its attempts
	cancel            context.CancelFunc
	items             map[int]*itemProgress // items without a result that the store has accepted, by index
	results           []itemResult          // results to submit to the store
	expiresAt         time.Time             // when its items become dead letters; zero if never, or not known yet
	routeMissingSince time.Time             // zero if the route is in the configuration
}

// itemProgress is the state of an item that is kept between attempts.
type itemProgress struct {
	location    wal.Location // of the encoded item
	events      [][]byte     // data of the events received so far
	lastEventID int64        // id of the last event received, -1 if there is none
	failureRecord
}

// startJobs adds the batch jobs whose ids were passed to Start since the last call.
func (r *Runner) startJobs() {
	r.mutex.Lock()
	ids := r.toStart
	r.toStart = map[string]bool{}
	r.mutex.Unlock()
	for id := range ids {
		work, ok := r.store.Work(id)
		if ok {
			r.addJob(work)
		}
	}
}

// addJob adds a batch job to the running ones, unless it is already running. An item that can't be read is
// skipped and gets no result.
func (r *Runner) addJob(work replica.Job) {
	tasks := make([]scheduler.Task, 0, len(work.Items))
	items := make(map[int]*itemProgress, len(work.Items))
	for _, jobItem := range work.Items {
		item, err := r.store.ReadItem(jobItem.At)
		if err != nil {
			r.log.Error().Err(err).Str("batch_job", work.ID).Msg("item_unreadable")
			continue
		}
		tasks = append(tasks, scheduler.Task{Job: work.ID, Index: jobItem.Index, Prefix: promptPrefix(&item)})
		items[jobItem.Index] = r.restoreProgress(work.ID, jobItem)
	}
	snapshot := r.discovery.Configuration()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.jobs[work.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	batch := &batchJob{Job: work, ctx: ctx, cancel: cancel, items: items}
	r.jobs[work.ID] = batch
	tasks = r.restoreFailures(batch, tasks)
	target := defaultCompletionTarget
	var backends []string
	if snapshot != nil {
		if route := snapshot.RouteByName(work.Route); route != nil {
			target, backends = route.CompletionTarget(), route.Backends()
			batch.expiresAt = r.expiry(work.FirstSent, route)
		}
	}
	r.planner.Add(work.ID, r.now()+time.Until(time.UnixMilli(work.FirstSent).Add(target)), backends, tasks)
}

// restoreProgress returns an item's progress, including the failures that were recorded for it and the
// events that an earlier process of this store saved. If the events can't be read, the item starts from the
// beginning.
func (r *Runner) restoreProgress(id string, item replica.JobItem) *itemProgress {
	progress := &itemProgress{location: item.At, lastEventID: -1}
	if !r.bugs.forgetOtherOwners {
		progress.failureRecord = failureRecord(item.Failures)
	}
	if item.Last < 0 {
		return progress
	}
	events, err := r.store.ReadEvents(item.Events)
	if err != nil {
		r.log.Error().Err(err).Str("batch_job", id).Msg("progress_unreadable")
		return progress
	}
	progress.events, progress.lastEventID = events, item.Last
	return progress
}

// promptPrefix returns the first entry of X-Prompt-Prefix, which identifies the part of the prompt's start
// that is shared with the most other prompts. It returns an empty string if the client sent no such header.
func promptPrefix(item *job.Item) string {
	for _, header := range item.Headers {
		if strings.EqualFold(header.Name, "X-Prompt-Prefix") {
			first, _, _ := strings.Cut(header.Value, ",")
			return first
		}
	}
	return ""
}

// refresh applies the current configuration and servers, turns expired items into dead letters, and submits
// results that the store hasn't accepted yet.
func (r *Runner) refresh() {
	snapshot := r.discovery.Configuration()
	if snapshot == nil {
		return
	}
	var servers []protocol.Server
	for i := range snapshot.Backends {
		servers = append(servers, r.discovery.Servers(snapshot.Backends[i].Name)...)
	}
	r.mutex.Lock()
	r.planner.SetServers(servers)
	now := time.Now()
	var withResults []*batchJob
	for _, batch := range r.jobs {
		r.refreshJob(batch, snapshot.RouteByName(batch.Route), now)
		if len(batch.results) > 0 {
			withResults = append(withResults, batch)
		}
	}
	r.mutex.Unlock()
	for _, batch := range withResults {
		r.submitResults(batch)
	}
}

// refreshJob applies the route of a batch job; route is nil if it is missing from the configuration. If the
// batch job has expired or its route was removed, its queued items become dead letters. Running items
// continue. The mutex is held.
func (r *Runner) refreshJob(batch *batchJob, route *configuration.Route, now time.Time) {
	if route != nil {
		batch.routeMissingSince = time.Time{}
		batch.expiresAt = r.expiry(batch.FirstSent, route)
		r.planner.SetBackends(batch.ID, route.Backends())
	} else if batch.routeMissingSince.IsZero() {
		batch.routeMissingSince = now
	}
	expired := !batch.expiresAt.IsZero() && now.After(batch.expiresAt)
	routeGone := !batch.routeMissingSince.IsZero() && now.Sub(batch.routeMissingSince) > routeMissingTimeout
	if !expired && !routeGone {
		return
	}
	for _, task := range r.planner.Waiting(batch.ID) {
		r.planner.RemoveTask(batch.ID, task.Index)
		batch.results = append(batch.results, itemResult{index: task.Index, state: job.DeadLetter})
	}
}

// expiry returns the time at which the items of a batch job become dead letters: the route's retention after
// firstSent, the first submission of the batch job in Unix milliseconds, plus a margin for clocks that differ
// or jump. It returns the zero time if the items never expire.
func (r *Runner) expiry(firstSent int64, route *configuration.Route) time.Time {
	if route.Retention() <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(firstSent).Add(route.Retention() + r.maxClockSkew)
}
