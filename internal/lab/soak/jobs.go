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
	mostItems     = 8
	givesUp       = 0.4 // of the clients that were refused
	endsJob       = 0.2 // of the clients whose batch job was accepted
	submitLoses   = 0.2 // of the submissions whose client closes before the answer
	submitHeed    = 50 * time.Millisecond
	submitAgain   = 200 * time.Millisecond
	shortestRead  = 200 * time.Millisecond // between two reads
	longestRead   = time.Second
	readFromStart = 0.2 // of the reads
	longestLife   = 6 * time.Second
)

// job is a batch job as its client knows it.
type job struct {
	name  string
	items int

	mu       sync.Mutex
	unsure   bool // a submission got neither 202 nor a refusal
	refused  bool // it got refusals only, and isn't sent again
	accepted bool
	ending   bool // an end was asked for
	ended    bool // and acknowledged
	results  map[int]system.BatchResult
	places   map[string]int // of items
}

// jobs are all of a run.
type jobs struct {
	mu       sync.Mutex
	list     []*job
	accepted chan struct{} // closed with each acceptance, and replaced
}

func newJobs() *jobs { return &jobs{accepted: make(chan struct{})} }

func (j *jobs) add(name string, items int) *job {
	one := &job{name: name, items: items, results: map[int]system.BatchResult{}, places: map[string]int{}}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list = append(j.list, one)
	return one
}

func (j *jobs) all() []*job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*job(nil), j.list...)
}

// tellAccepted wakes whoever waits for an acceptance.
func (j *jobs) tellAccepted() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.accepted)
	j.accepted = make(chan struct{})
}

// awaitAcceptance waits for the next acceptance, up to a time.
func (j *jobs) awaitAcceptance(ctx context.Context, most time.Duration) {
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

func (j *jobs) count(result *Result) {
	for _, one := range j.all() {
		one.mu.Lock()
		result.Accepted += oneIf(one.accepted)
		result.Refused += oneIf(one.refused)
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
func (j *job) kept() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted && !j.ending
}

// whole tells whether all results were read.
func (j *job) whole() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results) == j.items
}

func (j *job) listed() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results)
}

// take takes in what a read gave, and tells what is wrong with it; empty: nothing.
func (j *job) take(from int, told system.Results) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if told.Total != j.items || told.Next != from+len(told.Results) {
		return fmt.Sprintf("total %d of %d items, next %d after %d and %d results", told.Total, j.items, told.Next, from, len(told.Results))
	}
	for i, result := range told.Results {
		if wrong := j.takeOne(from+i, result); wrong != "" {
			return wrong
		}
	}
	return ""
}

func (j *job) takeOne(position int, result system.BatchResult) string {
	if !result.Whole() {
		return fmt.Sprintf("position %d has %s in state %q with %d bytes", position, result.ID, result.State, len(result.Text))
	}
	if known, found := j.results[position]; found && known != result {
		return fmt.Sprintf("position %d has %s, where %s was read before", position, result.ID, known.ID)
	}
	if place, found := j.places[result.ID]; found && place != position {
		return fmt.Sprintf("%s is at position %d, and at %d", result.ID, position, place)
	}
	j.results[position] = result
	j.places[result.ID] = position
	return ""
}

// submit submits batch jobs until submitting ends, and waits for their clients, which end with the other context.
func (r *run) submit(submitting, ctx context.Context) {
	const stream = 105
	random := rand.New(rand.NewPCG(r.plan.Seed, stream))
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; sleep(submitting, time.Duration(random.ExpFloat64()/r.plan.Jobs*float64(time.Second))); number++ {
		one := r.jobs.add(fmt.Sprintf("job-%d", number), 1+random.IntN(mostItems))
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
		m := r.anyFront(random)
		switch status := r.submitOnce(random, m, one); status {
		case http.StatusAccepted:
			one.mu.Lock()
			one.accepted = true
			one.mu.Unlock()
			r.jobs.tellAccepted()
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if random.Float64() < givesUp && one.giveUp() {
				return false
			}
		case 0, http.StatusGatewayTimeout:
			one.mu.Lock()
			one.unsure = true
			one.mu.Unlock()
		default:
			r.referee.broken(RuleAccepted, "%s was submitted to %s and got %d", one.name, m.Name, status)
		}
		sleep(ctx, submitAgain)
	}
	return false
}

// giveUp lets a client give a batch job up that was refused only.
func (j *job) giveUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused = !j.unsure
	return j.refused
}

// submitOnce submits it once. Some clients close before the answer.
func (r *run) submitOnce(random *rand.Rand, m system.Machine, one *job) int {
	ctx, cancel := context.Background(), func() {}
	loses := random.Float64() < submitLoses
	if loses {
		ctx, cancel = context.WithTimeout(ctx, drawTime(random, 0, submitHeed))
	}
	defer cancel()
	began := time.Now()
	status, err := r.client.TrySubmit(ctx, m, one.name, one.items)
	if err != nil && !loses {
		r.unanswered(m, "submission of "+one.name, began, err)
	}
	return status
}

// followJob reads the results of a batch job until all are there. Some clients end it on the way.
func (r *run) followJob(ctx context.Context, random *rand.Rand, one *job) {
	ends, at := random.Float64() < endsJob, time.Now().Add(drawTime(random, 0, longestLife))
	for sleep(ctx, drawTime(random, shortestRead, longestRead)) {
		if ends && time.Now().After(at) {
			if r.endJob(r.anyFront(random), one) {
				return
			}
			continue
		}
		if one.whole() && !ends {
			return
		}
		from := one.listed()
		if random.Float64() < readFromStart {
			from = 0
		}
		r.readJob(context.Background(), r.anyFront(random), one, from)
	}
}

// endJob ends a batch job.
func (r *run) endJob(m system.Machine, one *job) bool {
	one.mu.Lock()
	again := one.ending
	one.ending = true
	one.mu.Unlock()
	began := time.Now()
	status, err := r.client.TryEnd(context.Background(), m, one.name)
	if err != nil {
		r.unanswered(m, "the end of "+one.name, began, err)
	}
	if status == http.StatusNotFound && !again {
		r.referee.broken(RuleAccepted, "%s was accepted, and its end got 404 from %s", one.name, m.Name)
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
	kept := one.kept()
	began := time.Now()
	status, told, err := r.client.TryRead(ctx, m, one.name, from)
	if err != nil {
		if ctx.Err() == nil {
			r.unanswered(m, "read of "+one.name, began, err)
		}
		return 0, false
	}
	if status == http.StatusOK && kept {
		if wrong := one.take(from, told); wrong != "" {
			r.referee.broken(RulePositions, "%s at %s: %s", one.name, m.Name, wrong)
		}
		return len(told.Results), true
	}
	if kept && one.kept() && !allowedStatus(status) {
		r.referee.broken(RuleAccepted, "%s was accepted, and a read got %d from %s", one.name, status, m.Name)
	}
	return 0, false
}
