package runner

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// An item may fail as often as its route allows attempts, or once with a 422. That must hold beyond a stop
// of its batch job at this store, as the batch job may come back: the store leaves the view for a moment,
// or hands the batch job over and gets it back. So the failures of stopped batch jobs are remembered.

// Other stores count together with this one: it tells its own of each failure (Store.Failures), and what Work
// returns has the failures that other owners have told (internal/batch/replica).

// failureRecord counts the answers of servers that an item failed.
type failureRecord replica.Failures

// record counts a result. Others than Failed and Unprocessable say nothing about the item.
func (f *failureRecord) record(result serverclient.Result, bugs injectedBugs) {
	switch {
	case result == serverclient.Failed && !bugs.forgetFailures:
		f.Count++
	case result == serverclient.Unprocessable && !bugs.retryUnprocessable:
		f.Unprocessable = true
	}
}

// merge takes over a record of the same item that is higher.
func (f *failureRecord) merge(other failureRecord) {
	f.Count = max(f.Count, other.Count)
	f.Unprocessable = f.Unprocessable || other.Unprocessable
}

// exhausted reports whether an item that may be attempted so often is to be given up.
func (f *failureRecord) exhausted(attempts int) bool { return f.Unprocessable || f.Count >= attempts }

// maxStoppedJobs bounds the batch jobs whose failures are remembered. Beyond it all are forgotten, which
// costs further attempts of items that fail, but no memory.
const maxStoppedJobs = 1000

// failureRecords holds the failures of items of stopped batch jobs, by the job's id and the item's index.
type failureRecords map[string]map[int]failureRecord

// put remembers an item's failures, if there are any.
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

// record counts the result of an attempt that outlasted the stop of its batch job, and returns the item's failures.
func (f failureRecords) record(id string, index int, result serverclient.Result) failureRecord {
	failures := f[id][index]
	failures.record(result, injectedBugs{})
	f.put(id, index, failures)
	return failures
}

// restoreFailures gives a batch job the failures that are remembered of its items, finishes items that are
// exhausted, and returns the tasks of the others. The mutex is held.
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
