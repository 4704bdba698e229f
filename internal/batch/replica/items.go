package replica

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
)

// This file contains the interface for the runner of items: the items that may run here, and their output.

// Job is a batch job that this store owns, as a runner needs it.
type Job struct {
	ID, Tenant, Route string
	FirstSent         int64 // Unix milliseconds
	Items             []JobItem
}

// JobItem is an unfinished item.
type JobItem struct {
	Index int
	At    wal.Location // of its encoding, see job.DecodeItem
	Progress
	Failures Failures // counted by all owners so far
}

// Progress is the output of an unfinished item that this store has saved, on its own disk only. After a restart the
// item's stream is resumed from there; otherwise a server that didn't notice the restart would have run the item in
// vain.
type Progress struct {
	Last   int64          // id of the last event, -1 for none
	Events []wal.Location // data of the events, in order
}

// Work returns a batch job with its unfinished items. It reports whether this store owns the batch job and it has not
// ended.
func (m *StateMachine) Work(id string) (Job, bool) {
	j := m.jobs[id]
	if j == nil || !j.owned || j.ended {
		return Job{}, false
	}
	work := Job{ID: j.id, Tenant: j.tenant, Route: j.route, FirstSent: j.firstSent}
	for i := range j.items {
		if !j.items[i].finished {
			work.Items = append(work.Items, JobItem{
				Index: i, At: j.itemLocation(i), Progress: j.progressOfItem(i), Failures: j.failures[i],
			})
		}
	}
	return work, true
}

// MayRun reports whether an item may be sent to a server now. It is checked immediately before the first byte is sent.
func (m *StateMachine) MayRun(id string, index int) bool {
	j := m.jobs[id]
	return m.MayAct() && j != nil && j.owned && j.replicated && !j.ended &&
		len(j.handoverReplicas) == 0 && !j.items[index].finished
}

// SaveProgress writes events of a running item to the log: the events that follow the event with the id after (-1 if
// they are the first), up to and including the event with the id last.
func (m *StateMachine) SaveProgress(id string, index int, after, last int64, events [][]byte) {
	j := m.jobs[id]
	if j == nil || !j.owned || j.ended || j.items[index].finished {
		return
	}
	m.write(encodeProgress(id, index, after, last, events), false, func() {})
}

// Finish appends an item's result to the list of results. It reports whether the item has a result now; if not, the
// caller tries again unless the batch job was stopped.
func (m *StateMachine) Finish(id string, index int, state job.State, text []byte) bool {
	j := m.jobs[id]
	if j == nil || !j.owned || !j.replicated || j.ended || !m.isMember {
		return false
	}
	if j.items[index].finished {
		return true
	}
	result := &Result{Item: index, State: byte(state), Text: text}
	position := len(j.results)
	record := encodeResult(id, position, result)
	at := m.write(record, false, func() {
		j.durableResults = max(j.durableResults, position+1)
		m.replicateJob(j)
		m.maybeCommit(j)
	})
	j.appendResult(storedResult{item: int32(index), state: state, at: locateLast(text, record, at)})
	if j.uncommitted == nil {
		j.uncommitted = map[int]*Result{}
	}
	j.uncommitted[position] = result
	return true
}
