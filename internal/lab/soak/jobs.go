package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// job is a batch job as its client knows it.
type job struct {
	name  string
	items int

	mu sync.Mutex // guards the fields below
	// indeterminate: a submission got neither 202 nor a rejection, so that the job may or may not be stored.
	indeterminate bool
	// rejected: every submission was rejected, and the client gave up. Nothing of the job may run.
	rejected     bool
	accepted     bool
	endRequested bool
	ended        bool                       // the end was acknowledged
	results      map[int]system.BatchResult // by position
	positions    map[string]int             // by item
}

// jobSet holds all batch jobs of a run.
type jobSet struct {
	mu       sync.Mutex // guards the fields below
	list     []*job
	accepted chan struct{} // closed and replaced when a job is accepted
}

func newJobSet() *jobSet { return &jobSet{accepted: make(chan struct{})} }

func (s *jobSet) add(name string, items int) *job {
	j := &job{name: name, items: items, results: map[int]system.BatchResult{}, positions: map[string]int{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, j)
	return j
}

func (s *jobSet) all() []*job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list)
}

// existing returns the jobs that must exist now.
func (s *jobSet) existing() []*job {
	return slices.DeleteFunc(s.all(), func(j *job) bool { return !j.mustExist() })
}

// notifyAccepted wakes all callers of awaitAcceptance.
func (s *jobSet) notifyAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.accepted)
	s.accepted = make(chan struct{})
}

// awaitAcceptance waits until the next job is accepted, at most until the timeout.
func (s *jobSet) awaitAcceptance(ctx context.Context, timeout time.Duration) {
	s.mu.Lock()
	accepted := s.accepted
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-accepted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// addCounts adds the jobs to a result.
func (s *jobSet) addCounts(result *Result) {
	for _, j := range s.all() {
		j.mu.Lock()
		if j.accepted {
			result.Accepted++
		}
		if j.rejected {
			result.Rejected++
		}
		if j.ended {
			result.Ended++
		}
		j.mu.Unlock()
	}
}

func (j *job) markAccepted() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted = true
}

func (j *job) markIndeterminate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.indeterminate = true
}

// giveUp returns whether the client may give the job up: after rejections only. From then on the job may not run.
func (j *job) giveUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rejected = !j.indeterminate
	return j.rejected
}

// requestEnd records that the client asks for the job's end, and returns whether it had asked before.
func (j *job) requestEnd() (repeated bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	repeated = j.endRequested
	j.endRequested = true
	return repeated
}

func (j *job) markEnded() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
}

// mustExist returns whether every gateway must know the job: it was accepted, and its end wasn't asked for.
func (j *job) mustExist() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted && !j.endRequested
}

// complete returns whether all results were read.
func (j *job) complete() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results) == j.items
}

func (j *job) resultCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results)
}

// outcome returns whether the job was rejected, and the number of its results.
func (j *job) outcome() (rejected bool, results int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rejected, len(j.results)
}

// checkResults records what was read from a position on, and returns what is wrong with it; empty: nothing.
func (j *job) checkResults(from int, read system.Results) (problem string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if read.Total != j.items || read.NextToken != from+len(read.Results) {
		return fmt.Sprintf("total %d of %d items, next %d after %d and %d results", read.Total, j.items,
			read.NextToken, from, len(read.Results))
	}
	for i, result := range read.Results {
		if problem := j.checkResultLocked(from+i, result); problem != "" {
			return problem
		}
	}
	return ""
}

// checkResultLocked holds RulePositions for one result: it is complete, the same as before, and at no other
// position.
func (j *job) checkResultLocked(position int, result system.BatchResult) (problem string) {
	if !result.Complete() {
		return fmt.Sprintf("position %d has %s in state %q with %d bytes", position, result.ID, result.State,
			len(result.Text))
	}
	if known, found := j.results[position]; found && known != result {
		return fmt.Sprintf("position %d has %s, where %s was read before", position, result.ID, known.ID)
	}
	if known, found := j.positions[result.ID]; found && known != position {
		return fmt.Sprintf("%s is at position %d, and at %d", result.ID, position, known)
	}
	j.results[position] = result
	j.positions[result.ID] = position
	return ""
}
