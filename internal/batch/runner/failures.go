package runner

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// This file counts the failures of items. An item may fail as often as its route allows attempts, or once with
// a 422. This limit must also hold when its batch job is stopped at this store and started here again, which
// happens if the store leaves the view for a moment, or hands the batch job over and gets it back. The failures
// of stopped batch jobs are therefore kept.

// The limit applies to the failures at all owners of a batch job together: the runner passes each failure to
// Store.Failures, and Store.Work returns the failures that other owners recorded (internal/batch/replica).

// failureRecord holds the number of failed attempts of an item, and whether a server found it unprocessable.
type failureRecord replica.Failures

// record counts a result. Results other than Failed and Unprocessable are ignored: they say nothing about the
// item.
func (f *failureRecord) record(result serverclient.Result, bugs injectedBugs) {
	switch {
	case result == serverclient.Failed && !bugs.forgetFailures:
		f.Count++
	case result == serverclient.Unprocessable && !bugs.retryUnprocessable:
		f.Unprocessable = true
	}
}

// merge raises the record to another record of the same item where that one is higher.
func (f *failureRecord) merge(other failureRecord) {
	*f = failureRecord(replica.Failures(*f).Merge(replica.Failures(other)))
}

// exhausted reports whether an item with this record, of which the route allows a number of attempts, must
// become a dead letter.
func (f *failureRecord) exhausted(attempts int) bool { return f.Unprocessable || f.Count >= attempts }

// maxStoppedJobs bounds the stopped batch jobs whose failures are kept. When it is exceeded, all kept failures
// are dropped, which bounds memory at the cost of further attempts of items that fail.
const maxStoppedJobs = 1000

// failureRecords holds the failures of items of stopped batch jobs, by the job's id and the item's index.
type failureRecords map[string]map[int]failureRecord

// put stores an item's failures, if there are any.
func (f failureRecords) put(id string, index int, failures failureRecord) {
	if failures == (failureRecord{}) {
		return
	}
	if f[id] == nil {
		if len(f) >= maxStoppedJobs {
			clear(f)
		}
		f[id] = map[int]failureRecord{}
	}
	f[id][index] = failures
}

// record counts the result of an attempt that ended after its batch job was stopped, and returns the item's
// failures.
func (f failureRecords) record(id string, index int, result serverclient.Result) failureRecord {
	failures := f[id][index]
	failures.record(result, injectedBugs{})
	f.put(id, index, failures)
	return failures
}

// restoreFailures merges the kept failures of a batch job's items into their progress, turns exhausted items
// into dead letters, and returns the tasks of the others. The mutex is held.
func (r *Runner) restoreFailures(batch *batchJob, tasks []scheduler.Task) (remaining []scheduler.Task) {
	remembered := r.stoppedFailures[batch.ID]
	delete(r.stoppedFailures, batch.ID)
	if r.bugs.forgetStopped {
		remembered = nil
	}
	attempts := r.maxAttempts(batch)
	for _, task := range tasks {
		progress := batch.items[task.Index]
		progress.merge(remembered[task.Index])
		if progress.exhausted(attempts) {
			batch.results = append(batch.results, itemResult{index: task.Index, state: job.DeadLetter})
			continue
		}
		remaining = append(remaining, task)
	}
	return remaining
}
