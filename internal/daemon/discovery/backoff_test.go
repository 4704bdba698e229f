package discovery

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// busySource is a source in virtual time with one queue. It also works on calls whose callers have given up.
type busySource struct {
	perCall, patience, longest time.Duration
	idleAt                     time.Duration // when all that is queued is done
}

// call returns when a call ends, and whether it brings the list.
func (s *busySource) call(now time.Duration) (end time.Duration, ok bool) {
	begin := max(now, s.idleAt)
	if begin-now > s.longest {
		return now + 3*time.Millisecond, false
	}
	s.idleAt = begin + s.perCall
	if begin-now > s.patience {
		return now + s.patience, false
	}
	return s.idleAt, true
}

// herd lets callers call at once and again after each failure, and returns when each got its list, sorted.
func herd(callers int, pause func(caller int, took time.Duration) time.Duration) (got []time.Duration) {
	s := &busySource{perCall: time.Second / 15, patience: 2 * time.Second, longest: 4 * time.Second}
	next := make([]time.Duration, callers)
	for range 20 * callers {
		i := 0
		for j := range next {
			if next[j] < next[i] {
				i = j
			}
		}
		now := next[i]
		if now > time.Minute {
			break
		}
		end, ok := s.call(now)
		if next[i] = time.Hour; ok {
			got = append(got, end)
		} else {
			next[i] = end + pause(i, end-now)
		}
	}
	slices.Sort(got)
	return got
}

// Eighty gateways start at once, and their source answers fifteen calls a second. With pauses of a second the queue
// stays longer than any caller waits; with backoff and jitter all of them get their lists.
func TestHerdGetsItsLists(t *testing.T) {
	fixed := herd(80, func(int, time.Duration) time.Duration { return time.Second })
	assert.Less(t, len(fixed), 60, "the model shows the jam")
	for seed := range uint64(20) {
		all := make([]*Backoff, 80)
		for i := range all {
			all[i] = NewBackoff(seed<<8|uint64(i), 10*time.Second)
		}
		got := herd(80, func(i int, took time.Duration) time.Duration { return all[i].afterRejection(took) })
		if assert.Len(t, got, 80, "seed %d", seed) {
			assert.Less(t, got[75], 20*time.Second, "seed %d", seed)
			assert.Less(t, got[79], 30*time.Second, "seed %d", seed)
		}
	}
}

// Pauses grow to their limit, separately for both kinds of failure, are spread, and start over after an answer.
func TestPausesGrow(t *testing.T) {
	p, other := NewBackoff(1, 8*time.Second), NewBackoff(2, 8*time.Second)
	assert.NotEqual(t, p.afterRejection(0), other.afterRejection(0))
	longest := time.Duration(0)
	for range 200 {
		longest = max(longest, p.afterRejection(0))
	}
	assert.Greater(t, longest, 4500*time.Millisecond)
	assert.LessOrEqual(t, longest, maxRejectedGap)
	assert.LessOrEqual(t, p.afterUnreachable(), 3*minBackoff/2, "an unreachable source is none that is busy")
	for range 20 {
		assert.LessOrEqual(t, p.afterUnreachable(), 3*maxUnreachableStep/2)
	}
	p.reset()
	assert.LessOrEqual(t, p.afterRejection(0), 8*time.Second/firstRejectedDivisor+minBackoff)
	assert.LessOrEqual(t, p.afterFailure(context.DeadlineExceeded, 0), 3*minBackoff/2)
	assert.Equal(t, defaultRetryWithin, NewBackoff(1, 0).retryWithin)
}

// After any one failure, and after a call that timed out and one that was rejected, the next call begins within five
// seconds of the first: a second before updateDeadline.
func TestNextCallIsInTime(t *testing.T) {
	const most = updateDeadline - time.Second
	given, refused := longPollWait+longPollSlack, statusError(503)
	for seed := range uint64(200) {
		p := NewBackoff(seed, 40*time.Second)
		for range 30 { // until both steps are at their limits
			p.afterRejection(0)
			p.afterUnreachable()
		}
		for _, took := range []time.Duration{0, given / 2, given} {
			assert.LessOrEqual(t, took+p.afterFailure(refused, took), most, "refused after %v", took)
			assert.LessOrEqual(t, took+p.afterFailure(context.DeadlineExceeded, took), most, "given up or broken after %v", took)
			p.afterFailure(refused, 0) // the source has answered
		}
		first := given + p.afterFailure(context.DeadlineExceeded, given)
		assert.LessOrEqual(t, first+p.afterFailure(refused, 0), most, "given up, then refused")
	}
}
