package runner

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// This file owns how often an item may fail: as often as its route allows attempts, or once with a 422. That holds beyond a stop
// of its batch job here, as that may come back: a store may leave the view for a moment, or hand a batch job over and get it back.

// setback is what servers have said against an item.
type failureRecord struct {
	count         int  // answers of 500
	unprocessable bool // a 422: it can never be done
}

// add takes in how a run ended.
func (s *failureRecord) record(ending serverclient.Result, planted injectedBugs) {
	switch {
	case ending == serverclient.Failed && !planted.forgetFailures:
		s.count++
	case ending == serverclient.Unprocessable && !planted.retryUnprocessable:
		s.unprocessable = true
	}
}

// spent tells whether an item is given up that may be tried so often.
func (s *failureRecord) exhausted(attempts int) bool { return s.unprocessable || s.count >= attempts }

// mostStopped bounds the batch jobs that are remembered.
const maxStoppedJobs = 1000

// setbacks are those of items of batch jobs that were stopped, by id and index.
type failureRecords map[string]map[int]failureRecord

func (s failureRecords) put(id string, index int, one failureRecord) {
	if one == (failureRecord{}) {
		return
	}
	if s[id] == nil {
		if len(s) >= maxStoppedJobs {
			clear(s)
		}
		s[id] = map[int]failureRecord{}
	}
	s[id][index] = one
}

// add takes in how a run of a stopped batch job ended.
func (s failureRecords) record(id string, index int, ending serverclient.Result) {
	one := s[id][index]
	one.record(ending, injectedBugs{})
	s.put(id, index, one)
}

// takeUp gives a batch job what was said against its items before it was stopped here, and leaves the tasks of those that may still
// be tried. The mutex is held.
func (r *Runner) restoreFailures(batch *batchJob, tasks []scheduler.Task) (left []scheduler.Task) {
	known := r.stoppedFailures[batch.ID]
	delete(r.stoppedFailures, batch.ID)
	if r.bugs.forgetStopped {
		known = nil
	}
	attempts := r.maxAttempts(batch)
	for _, task := range tasks {
		progress := batch.items[task.Index]
		progress.failureRecord = known[task.Index]
		if progress.exhausted(attempts) {
			batch.results = append(batch.results, itemResult{index: task.Index, state: job.DeadLetter})
			continue
		}
		left = append(left, task)
	}
	return left
}

// bugs are planted by tests only, which show that they are found.
type injectedBugs struct {
	forgetFailures       bool // a 500 isn't counted
	retryUnprocessable   bool // a 422 is tried again
	forgetStopped        bool // neither is remembered of a batch job that was stopped
	forgetEvents         bool // a cut stream's events are lost, though the next run follows them
	dropUnacceptedResult bool // a result that the store didn't take is not offered again
}
