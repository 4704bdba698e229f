package runner

import (
	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/scheduler"
	"sprucelane.example/sprucelane/internal/batch/serverclient"
)

// This file owns how often an item may fail: as often as its route allows attempts, or once with a 422. That holds beyond a stop
// of its batch job here, as that may come back: a store may leave the view for a moment, or hand a batch job over and get it back.

// setback is what servers have said against an item.
type setback struct {
	failures int  // answers of 500
	barred   bool // a 422: it can never be done
}

// add takes in how a run ended.
func (s *setback) add(ending serverclient.Ending, planted bugs) {
	switch {
	case ending == serverclient.Failed && !planted.forgetFailures:
		s.failures++
	case ending == serverclient.Impossible && !planted.repeatBarred:
		s.barred = true
	}
}

// spent tells whether an item is given up that may be tried so often.
func (s *setback) spent(attempts int) bool { return s.barred || s.failures >= attempts }

// mostStopped bounds the batch jobs that are remembered.
const mostStopped = 1000

// setbacks are those of items of batch jobs that were stopped, by id and index.
type setbacks map[string]map[int]setback

func (s setbacks) note(id string, index int, one setback) {
	if one == (setback{}) {
		return
	}
	if s[id] == nil {
		if len(s) >= mostStopped {
			clear(s)
		}
		s[id] = map[int]setback{}
	}
	s[id][index] = one
}

// add takes in how a run of a stopped batch job ended.
func (s setbacks) add(id string, index int, ending serverclient.Ending) {
	one := s[id][index]
	one.add(ending, bugs{})
	s.note(id, index, one)
}

// takeUp gives a batch job what was said against its items before it was stopped here, and leaves the tasks of those that may still
// be tried. The mutex is held.
func (r *Runner) takeUp(b *batchJob, tasks []scheduler.Task) (left []scheduler.Task) {
	known := r.setbacks[b.ID]
	delete(r.setbacks, b.ID)
	if r.bugs.forgetStopped {
		known = nil
	}
	attempts := r.maxAttempts(b)
	for _, task := range tasks {
		kept := b.items[task.Index]
		kept.setback = known[task.Index]
		if kept.spent(attempts) {
			b.finished = append(b.finished, finished{index: task.Index, state: job.DeadLetter})
			continue
		}
		left = append(left, task)
	}
	return left
}

// bugs are planted by tests only, which show that they are found.
type bugs struct {
	forgetFailures bool // a 500 isn't counted
	repeatBarred   bool // a 422 is tried again
	forgetStopped  bool // neither is remembered of a batch job that was stopped
	forgetEvents   bool // a cut stream's events are lost, though the next run follows them
	dropUntaken    bool // a result that the store didn't take is not offered again
}
