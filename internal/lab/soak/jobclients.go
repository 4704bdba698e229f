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

const (
	maxItems = 8 // of a batch job
	// giveUpProbability is the share of rejections after which the client gives the job up.
	giveUpProbability = 0.4
	// endProbability is the share of accepted jobs that their client ends, within maxEndDelay.
	endProbability = 0.2
	maxEndDelay    = 6 * time.Second
	// submitAbandonProbability is the share of submissions whose client closes the connection, after up to
	// maxSubmitAbandonDelay.
	submitAbandonProbability = 0.2
	maxSubmitAbandonDelay    = 50 * time.Millisecond
	submitRetryInterval      = 200 * time.Millisecond
	minReadInterval          = 200 * time.Millisecond
	maxReadInterval          = time.Second
	// readFromStartProbability is the share of reads that read all results again.
	readFromStartProbability = 0.2
)

// generateJobs has clients submit batch jobs, with random intervals at the mean rate, until submitCtx ends,
// and waits for the clients, which go on until clientCtx ends.
func (r *run) generateJobs(submitCtx, clientCtx context.Context) {
	random := r.options.randomSource(randomJobs)
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := 0; sleep(submitCtx, randomInterval(random, r.options.JobRate)); number++ {
		j := r.jobs.add(fmt.Sprintf("job-%d", number), 1+random.IntN(maxItems))
		clientRandom := r.options.randomSource(randomStream(random.Uint64()))
		clients.Go(func() {
			if r.submitJob(clientCtx, clientRandom, j) {
				r.followJob(clientCtx, clientRandom, j)
			}
		})
	}
}

// submitJob submits a job until it is accepted. It returns false where the client gave it up, or the context ended.
func (r *run) submitJob(ctx context.Context, random *rand.Rand, j *job) bool {
	for ctx.Err() == nil {
		m := r.randomFrontMachine(random)
		switch status := r.submitOnce(random, m, j); status {
		case http.StatusAccepted:
			j.markAccepted()
			r.jobs.notifyAccepted()
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if random.Float64() < giveUpProbability && j.giveUp() {
				return false
			}
		case 0, http.StatusGatewayTimeout:
			j.markIndeterminate()
		default:
			r.checker.violated(RuleAccepted, "%s was submitted to %s and got %d", j.name, m.Name, status)
		}
		sleep(ctx, submitRetryInterval)
	}
	return false
}

// submitOnce submits a job once, and returns the status, or 0 without a response. Some clients abandon the
// submission.
func (r *run) submitOnce(random *rand.Rand, m system.Machine, j *job) int {
	ctx, cancel := context.Background(), func() {}
	abandons := random.Float64() < submitAbandonProbability
	if abandons {
		ctx, cancel = context.WithTimeout(ctx, randomDuration(random, 0, maxSubmitAbandonDelay))
	}
	defer cancel()
	began := time.Now()
	status, err := r.client.TrySubmit(ctx, m, j.name, j.items)
	if err != nil && !abandons {
		r.checkUnanswered(m, "submission of "+j.name, began, err)
	}
	return status
}

// followJob reads the results of a job until all are there. Some clients end their job before.
func (r *run) followJob(ctx context.Context, random *rand.Rand, j *job) {
	ends := random.Float64() < endProbability
	endAt := time.Now().Add(randomDuration(random, 0, maxEndDelay))
	for sleep(ctx, randomDuration(random, minReadInterval, maxReadInterval)) {
		if ends && time.Now().After(endAt) {
			if r.endJob(r.randomFrontMachine(random), j) {
				return
			}
			continue
		}
		if j.complete() && !ends {
			return
		}
		from := j.resultCount()
		if random.Float64() < readFromStartProbability {
			from = 0
		}
		r.readJob(context.Background(), r.randomFrontMachine(random), j, from)
	}
}

// endJob asks for a job's end, and returns whether the job is known to be gone.
func (r *run) endJob(m system.Machine, j *job) bool {
	repeated := j.requestEnd()
	began := time.Now()
	status, err := r.client.TryEnd(context.Background(), m, j.name)
	if err != nil {
		r.checkUnanswered(m, "the end of "+j.name, began, err)
	}
	switch status {
	case http.StatusOK:
		j.markEnded()
		return true
	case http.StatusNotFound:
		if !repeated { // else an earlier request whose response was lost ended it
			r.checker.violated(RuleAccepted, "%s was accepted, and its end got 404 from %s", j.name, m.Name)
		}
		return true
	}
	return false
}

// readJob reads a job once and checks the response. It returns the number of results, and whether it got 200.
func (r *run) readJob(ctx context.Context, m system.Machine, j *job, from int) (results int, answered bool) {
	mustExist := j.mustExist()
	began := time.Now()
	status, read, err := r.client.TryRead(ctx, m, j.name, from)
	if err != nil {
		if ctx.Err() == nil {
			r.checkUnanswered(m, "read of "+j.name, began, err)
		}
		return 0, false
	}
	if status == http.StatusOK && mustExist {
		if problem := j.checkResults(from, read); problem != "" {
			r.checker.violated(RulePositions, "%s at %s: %s", j.name, m.Name, problem)
		}
		return len(read.Results), true
	}
	// The job may have been ended during the read: then it needn't exist any more.
	if mustExist && j.mustExist() && !allowedUnderFaults(status) {
		r.checker.violated(RuleAccepted, "%s was accepted, and a read got %d from %s", j.name, status, m.Name)
	}
	return 0, false
}
