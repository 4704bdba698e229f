package discovery

import (
	"errors"
	"math/rand/v2"
	"time"
)

// A source that can't be reached is called again soon: it may be restarting, and calls cost it nothing. One that
// rejects calls is busy, and what it works on while its queue is longer than its callers wait helps nobody, so only
// fewer calls let it recover.
const (
	minBackoff         = 50 * time.Millisecond
	maxUnreachableStep = 600 * time.Millisecond // pauses reach one and a half of a step

	// A rejected call is followed by the next one at most maxRejectedGap after the source's last answer (see
	// updateDeadline), but a pause may take minRejectedGap in any case.
	maxRejectedGap = 5 * time.Second
	minRejectedGap = time.Second

	// firstRejectedDivisor of retryWithin is the first step after a rejection.
	firstRejectedDivisor = 16
	defaultRetryWithin   = 10 * time.Second
)

// Backoff computes the pauses after calls that failed: exponential and with jitter, as callers that fail together
// must not come back together. Calls that aren't answered and calls that are rejected back off separately. It reads
// no clock.
type Backoff struct {
	rng                           *rand.Rand
	retryWithin                   time.Duration // longest step after a rejection
	unreachableStep, rejectedStep time.Duration // the next ones
	sinceAnswer                   time.Duration // calls and pauses since the source answered last, rejections included
}

// backoffStream separates the random numbers of backoffs from others that are drawn from the same seed.
const backoffStream = 0x6469736376

// NewBackoff returns a backoff whose jitter follows from a seed. A busy source is called again after at most about
// retryWithin; 0 means 10 s.
func NewBackoff(seed uint64, retryWithin time.Duration) *Backoff {
	if retryWithin <= 0 {
		retryWithin = defaultRetryWithin
	}
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, backoffStream)), retryWithin: retryWithin}
	b.reset()
	return b
}

// reset starts over after an answer.
func (b *Backoff) reset() {
	b.unreachableStep, b.rejectedStep, b.sinceAnswer = minBackoff, b.retryWithin/firstRejectedDivisor, 0
}

// afterFailure returns the pause after a call that failed after the time took.
func (b *Backoff) afterFailure(err error, took time.Duration) time.Duration {
	if errors.As(err, new(statusError)) {
		return b.afterRejection(took)
	}
	pause := b.afterUnreachable()
	b.sinceAnswer += took + pause
	return pause
}

// afterUnreachable returns the pause after a call without an answer: half to one and a half of the step.
func (b *Backoff) afterUnreachable() time.Duration {
	pause := b.unreachableStep/2 + time.Duration(b.rng.Int64N(int64(b.unreachableStep)))
	b.unreachableStep = min(2*b.unreachableStep, maxUnreachableStep)
	return pause
}

// afterRejection returns the pause after a call that was rejected after the time took: anything up to the step, which
// is at least twice that time. The pause ends in time for maxRejectedGap. Where the step is longer than the time left
// until then, the pause is drawn from the later part of that time: at least from its last quarter.
func (b *Backoff) afterRejection(took time.Duration) time.Duration {
	step := min(max(b.rejectedStep, 2*took), b.retryWithin)
	b.rejectedStep = min(2*step, b.retryWithin)
	left := max(maxRejectedGap-b.sinceAnswer-took, minRejectedGap) - minBackoff
	b.sinceAnswer = 0
	least := min(max(0, step-left), left*3/4)
	return least + time.Duration(b.rng.Int64N(int64(min(step, left)-least))) + minBackoff
}
