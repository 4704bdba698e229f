package discovery

// This file owns the pauses between calls of a source that brought no list. It must never call, wait or read a clock.

import (
	"errors"
	"math/rand/v2"
	"time"
)

// A source that can't be reached is asked again soon: it may be restarting, and asking costs it nothing. One that turns
// callers away is busy, and what it works through while the queue is longer than its callers' patience helps nobody:
// only fewer calls let it recover.
const (
	minBackoff           = 50 * time.Millisecond
	maxUnreachableStep   = 600 * time.Millisecond // the step; pauses reach one and a half of it
	maxRejectedGap       = 5 * time.Second        // from when the source last said anything to the next call, after a refusal
	minRejectedGap       = time.Second            // but that long may be rested in any case
	firstRejectedDivisor = 16                     // of the time within which a source must be asked: the first pause after a refusal
	defaultRetryWithin   = 10 * time.Second
)

// Pauses tells how long to rest after a call that failed: about twice as long after each, up to a limit, and spread by
// chance, as callers that fail together must not come back together.
type Backoff struct {
	rng                           *rand.Rand
	retryWithin                   time.Duration
	unreachableStep, rejectedStep time.Duration // the next, of each kind
	sinceAnswer                   time.Duration // since the source last said anything: calls and pauses
}

// NewPauses gives pauses that are spread by a seed. Within must at the latest a busy source is asked again.
func NewBackoff(seed uint64, must time.Duration) *Backoff {
	if must <= 0 {
		must = defaultRetryWithin
	}
	p := &Backoff{rng: rand.New(rand.NewPCG(seed, 0x6469736376)), retryWithin: must}
	p.reset()
	return p
}

func (p *Backoff) reset() {
	p.unreachableStep, p.rejectedStep, p.sinceAnswer = minBackoff, p.retryWithin/firstRejectedDivisor, 0
}

// failed gives the pause after a call that took so long.
func (p *Backoff) afterFailure(err error, took time.Duration) time.Duration {
	if errors.As(err, new(statusError)) {
		return p.afterRejection(took)
	}
	d := p.afterUnreachable()
	p.sinceAnswer += took + d
	return d
}

// unreachable spreads over half to one and a half of the step.
func (p *Backoff) afterUnreachable() time.Duration {
	d := p.unreachableStep/2 + time.Duration(p.rng.Int64N(int64(p.unreachableStep)))
	p.unreachableStep = min(2*p.unreachableStep, maxUnreachableStep)
	return d
}

// turnedAway spreads over all of the step, which is at least twice what the refused call had to wait for its refusal. What
// the source would not tell now has to be asked for in time, all the same.
func (p *Backoff) afterRejection(took time.Duration) time.Duration {
	step := min(max(p.rejectedStep, 2*took), p.retryWithin)
	p.rejectedStep = min(2*step, p.retryWithin)
	left := max(maxRejectedGap-p.sinceAnswer-took, minRejectedGap) - minBackoff
	p.sinceAnswer = 0
	least := min(max(0, step-left), left*3/4) // what it can't grow by it is later in what is left
	return least + time.Duration(p.rng.Int64N(int64(min(step, left)-least))) + minBackoff
}
