package discovery

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Constants of the backoff. An unreachable source is called again soon: it may be restarting, and calls cost it
// nothing. A source that rejects calls is busy. While its queue is longer than its callers wait, its work is wasted, so
// it recovers only if it gets fewer calls.
const (
	minBackoff         = 50 * time.Millisecond
	maxUnreachableStep = 600 * time.Millisecond // a pause is at most one and a half steps

	// The call after a rejected one begins at most maxRejectedGap after the source's last answer (see updateDeadline),
	// except that the pause may always be as long as minRejectedGap.
	maxRejectedGap = 5 * time.Second
	minRejectedGap = time.Second

	// The first step after a rejection is retryWithin divided by firstRejectedDivisor.
	firstRejectedDivisor = 16
	defaultRetryWithin   = 10 * time.Second
)

// Backoff computes the pauses after failed calls. The pauses grow exponentially and have jitter, because callers that
// fail at the same time must not retry at the same time. Unanswered and rejected calls have separate backoffs. A
// Backoff reads no clock.
type Backoff struct {
	rng                           *rand.Rand
	retryWithin                   time.Duration // longest step after a rejection
	unreachableStep, rejectedStep time.Duration // steps of the next pauses
	sinceAnswer                   time.Duration // time of calls and pauses since the last answer, rejections included
}

// backoffStream separates the random numbers of backoffs from others that are drawn from the same seed.
const backoffStream = 0x6469736376

// NewBackoff returns a backoff whose jitter is determined by a seed. A busy source is called again after at most about
// retryWithin; 0 means 10 s.
func NewBackoff(seed uint64, retryWithin time.Duration) *Backoff {
	if retryWithin <= 0 {
		retryWithin = defaultRetryWithin
	}
	b := &Backoff{rng: rand.New(rand.NewPCG(seed, backoffStream)), retryWithin: retryWithin}
	b.reset()
	return b
}

// reset resets the steps and the time since the last answer, after an answer.
func (b *Backoff) reset() {
	b.unreachableStep, b.rejectedStep, b.sinceAnswer = minBackoff, b.retryWithin/firstRejectedDivisor, 0
}

// afterFailure returns the pause after a call that failed with err after the duration took.
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

// afterRejection returns the pause after a call that was rejected after the duration took. The pause is random, up to
// the step, which is at least twice took unless retryWithin limits it, and ends in time for maxRejectedGap. If the step
// is longer than the time left until then, the lower end of the draw rises with the step, to at most three quarters of
// the time left.
func (b *Backoff) afterRejection(took time.Duration) time.Duration {
	step := min(max(b.rejectedStep, 2*took), b.retryWithin)
	b.rejectedStep = min(2*step, b.retryWithin)
	left := max(maxRejectedGap-b.sinceAnswer-took, minRejectedGap) - minBackoff
	b.sinceAnswer = 0
	least := min(max(0, step-left), left*3/4)
	return least + time.Duration(b.rng.Int64N(int64(min(step, left)-least))) + minBackoff
}
