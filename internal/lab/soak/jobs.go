package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

// Figures of batch jobs.
const (
	maxItems                 = 8
	giveUpProbability        = 0.4 // of the clients that were refused
	endProbability           = 0.2 // of the clients whose batch job was accepted
	submitAbandonProbability = 0.2 // of the submissions whose client closes before the answer
	maxSubmitAbandonDelay    = 50 * time.Millisecond
	submitRetryInterval      = 200 * time.Millisecond
	minReadInterval          = 200 * time.Millisecond // between two reads
	maxReadInterval          = time.Second
	readFromStartProbability = 0.2 // of the reads
	maxEndDelay              = 6 * time.Second
)

// job is a batch job as its client knows it.
type job struct {
	name  string
	items int

	mu            sync.Mutex
	indeterminate bool // a submission got neither 202 nor a refusal
	rejected      bool // it got refusals only, and isn't sent again
	accepted      bool
	endRequested  bool // an end was asked for
	ended         bool // and acknowledged
	results       map[int]system.BatchResult
	positions     map[string]int // of items
}

// jobs are all of a run.
type jobSet struct {
	mu       sync.Mutex
	list     []*job
	accepted chan struct{} // closed with each acceptance, and replaced
}

func newJobSet() *jobSet { return &jobSet{accepted: make(chan struct{})} }

func (j *jobSet) add(name string, items int) *job {
	one := &job{name: name, items: items, results: map[int]system.BatchResult{}, positions: map[string]int{}}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, one)
	return one
}

func (j *jobSet) all() []*job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*job(nil), j.list...)
}

// tellAccepted wakes whoever waits for an acceptance.
func (j *jobSet) notifyAccepted() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.accepted)
	j.accepted = make(chan struct{})
}

// awaitAcceptance waits for the next acceptance, up to a time.
func (j *jobSet) awaitAcceptance(ctx context.Context, most time.Duration) {
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-accepted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (j *jobSet) addCounts(result *Result) {
	for _, one := range j.all() {
		one.mu.Lock()
		result.Accepted += oneIf(one.accepted)
		result.Rejected += oneIf(one.rejected)
		result.Ended += oneIf(one.ended)
		one.mu.Unlock()
	}
}

func oneIf(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// kept tells whether the batch job must be there.
func (j *job) mustExist() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted && !j.endRequested
}

// whole tells whether all results were read.
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

// take takes in what a read gave, and tells what is wrong with it; empty: nothing.
func (j *job) checkResults(from int, told system.Results) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if told.Total != j.items || told.NextToken != from+len(told.Results) {
		return fmt.Sprintf("total %d of %d items, next %d after %d and %d results", told.Total, j.items, told.NextToken, from, len(told.Results))
	}
	for i, result := range told.Results {
		if wrong := j.checkResult(from+i, result); wrong != "" {
			return wrong
		}
	}
	return ""
}

func (j *job) checkResult(position int, result system.BatchResult) string {
	if !result.Complete() {
		return fmt.Sprintf("position %d has %s in state %q with %d bytes", position, result.ID, result.State, len(result.Text))
	}
	if known, found := j.results[position]; found && known != result {
		return fmt.Sprintf("position %d has %s, where %s was read before", position, result.ID, known.ID)
	}
	if place, found := j.positions[result.ID]; found && place != position {
		return fmt.Sprintf("%s is at position %d, and at %d", result.ID, position, place)
	}
	j.results[position] = result
	j.positions[result.ID] = position
	return ""
}

// submit submits batch jobs until submitting ends, and waits for their clients, which end with the other context.
func (r *run) generateJobs(submitting, ctx context.Context) {
	const stream = 105
	random := rand.New(rand.NewPCG(r.plan.Seed, stream))
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; sleep(submitting, time.Duration(random.ExpFloat64()/r.plan.JobRate*float64(time.Second))); number++ {
		one := r.jobs.add(fmt.Sprintf("job-%d", number), 1+random.IntN(maxItems))
		own := rand.New(rand.NewPCG(r.plan.Seed, random.Uint64()))
		clients.Go(func() {
			if r.submitJob(ctx, own, one) {
				r.followJob(ctx, own, one)
			}
		})
	}
}

// submitJob submits a batch job until it is accepted, given up, or the context ends.
func (r *run) submitJob(ctx context.Context, random *rand.Rand, one *job) bool {
	for ctx.Err() == nil {
		m := r.randomFrontMachine(random)
		switch status := r.submitOnce(random, m, one); status {
		case http.StatusAccepted:
			one.mu.Lock()
			one.accepted = true
			one.mu.Unlock()
			r.jobs.notifyAccepted()
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if random.Float64() < giveUpProbability && one.giveUp() {
				return false
			}
		case 0, http.StatusGatewayTimeout:
			one.mu.Lock()
			one.indeterminate = true
			one.mu.Unlock()
		default:
			r.checker.violated(RuleAccepted, "%s was submitted to %s and got %d", one.name, m.Name, status)
		}
		sleep(ctx, submitRetryInterval)
	}
	return false
}

// giveUp lets a client give a batch job up that was refused only.
func (j *job) giveUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rejected = !j.indeterminate
	return j.rejected
}

// submitOnce submits it once. Some clients close before the answer.
func (r *run) submitOnce(random *rand.Rand, m system.Machine, one *job) int {
	ctx, cancel := context.Background(), func() {}
	loses := random.Float64() < submitAbandonProbability
	if loses {
		ctx, cancel = context.WithTimeout(ctx, randomDuration(random, 0, maxSubmitAbandonDelay))
	}
	defer cancel()
	began := time.Now()
	status, err := r.client.TrySubmit(ctx, m, one.name, one.items)
	if err != nil && !loses {
		r.checkUnanswered(m, "submission of "+one.name, began, err)
	}
	return status
}

// followJob reads the results of a batch job until all are there. Some clients end it on the way.
func (r *run) followJob(ctx context.Context, random *rand.Rand, one *job) {
	ends, at := random.Float64() < endProbability, time.Now().Add(randomDuration(random, 0, maxEndDelay))
	for sleep(ctx, randomDuration(random, minReadInterval, maxReadInterval)) {
		if ends && time.Now().After(at) {
			if r.endJob(r.randomFrontMachine(random), one) {
				return
			}
			continue
		}
		if one.complete() && !ends {
			return
		}
		from := one.resultCount()
		if random.Float64() < readFromStartProbability {
			from = 0
		}
		r.readJob(context.Background(), r.randomFrontMachine(random), one, from)
	}
}

// endJob ends a batch job.
func (r *run) endJob(m system.Machine, one *job) bool {
	one.mu.Lock()
	again := one.endRequested
	one.endRequested = true
	one.mu.Unlock()
	began := time.Now()
	status, err := r.client.TryEnd(context.Background(), m, one.name)
	if err != nil {
		r.checkUnanswered(m, "the end of "+one.name, began, err)
	}
	if status == http.StatusNotFound && !again {
		r.checker.violated(RuleAccepted, "%s was accepted, and its end got 404 from %s", one.name, m.Name)
	}
	if status != http.StatusOK {
		return status == http.StatusNotFound
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.ended = true
	return true
}

// readJob reads a batch job once, and judges what comes. It gives how many results were listed, and whether it was answered with 200.
func (r *run) readJob(ctx context.Context, m system.Machine, one *job, from int) (listed int, answered bool) {
	kept := one.mustExist()
	began := time.Now()
	status, told, err := r.client.TryRead(ctx, m, one.name, from)
	if err != nil {
		if ctx.Err() == nil {
			r.checkUnanswered(m, "read of "+one.name, began, err)
		}
		return 0, false
	}
	if status == http.StatusOK && kept {
		if wrong := one.checkResults(from, told); wrong != "" {
			r.checker.violated(RulePositions, "%s at %s: %s", one.name, m.Name, wrong)
		}
		return len(told.Results), true
	}
	if kept && one.mustExist() && !allowedUnderFaults(status) {
		r.checker.violated(RuleAccepted, "%s was accepted, and a read got %d from %s", one.name, status, m.Name)
	}
	return 0, false
}
