package runner

import (
	"bytes"

	"sprucelane.example/sprucelane/internal/batch/job"
)

// itemResult is the final state of an item, with the text of a completed one.
type itemResult struct {
	index int
	state job.State
	text  []byte // nil for a dead letter
}

// submitResults submits a batch job's results to the store. Results that the store doesn't accept now are
// kept to be submitted again. Once the store has accepted a result of every item, the batch job is removed.
func (r *Runner) submitResults(batch *batchJob) {
	r.mutex.Lock()
	results := batch.results
	batch.results = nil
	current := r.jobs[batch.ID] == batch
	r.mutex.Unlock()
	if !current {
		return // it was stopped
	}
	for _, result := range results {
		accepted := r.store.Finish(batch.ID, result.index, result.state, result.text)
		r.mutex.Lock()
		if accepted {
			delete(batch.items, result.index)
			r.countResult(result.state)
		} else if !r.bugs.dropUnacceptedResult {
			batch.results = append(batch.results, result)
		}
		if len(batch.items) == 0 && r.jobs[batch.ID] == batch {
			batch.cancel()
			delete(r.jobs, batch.ID)
			r.planner.Remove(batch.ID)
		}
		r.mutex.Unlock()
	}
}

func (r *Runner) countResult(state job.State) {
	if state == job.Completed {
		r.counts.Completed++
		return
	}
	r.counts.DeadLetter++
}

// joinEvents joins the data of all events, separated by newlines, into the text of a result.
func joinEvents(events [][]byte) []byte { return bytes.Join(events, []byte("\n")) }
