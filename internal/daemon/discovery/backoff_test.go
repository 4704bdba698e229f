package discovery

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// busySource is a source in virtual time with one queue. It also processes calls whose callers have timed out.
type busySource struct {
	perCall, callTimeout, maxQueueTime time.Duration
	idleAt                             time.Duration // time when all queued calls are done
}

// call returns the time when a call ends and whether it returns the list.
func (s *busySource) call(now time.Duration) (end time.Duration, ok bool) {
	begin := max(now, s.idleAt)
	if begin-now > s.maxQueueTime {
		return now + 3*time.Millisecond, false
	}
	s.idleAt = begin + s.perCall
	if begin-now > s.callTimeout {
		return now + s.callTimeout, false
	}
	return s.idleAt, true
}

// herd simulates callers that all call at the same time and retry after each failure. It returns the sorted times at
// which they received their lists.
func herd(callers int, pause func(caller int, took time.Duration) time.Duration) (got []time.Duration) {
	s := &busySource{perCall: time.Second / 15, callTimeout: 2 * time.Second, maxQueueTime: 4 * time.Second}
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

// Eighty gateways start at once, and their source answers fifteen calls per second. With fixed pauses of a second the
// queue stays longer than any caller waits; with backoff and jitter all gateways get their lists.
func TestThunderingHerdGetsLists(t *testing.T) {
	fixed := herd(80, func(int, time.Duration) time.Duration { return time.Second })
	assert.Less(t, len(fixed), 60, "with fixed pauses the model must show the congestion")
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

// Pauses grow to their limit, separately for both kinds of failure, have jitter, and are reset after an answer.
func TestPausesGrow(t *testing.T) {
	p, other := NewBackoff(1, 8*time.Second), NewBackoff(2, 8*time.Second)
	assert.NotEqual(t, p.afterRejection(0), other.afterRejection(0))
	longest := time.Duration(0)
	for range 200 {
		longest = max(longest, p.afterRejection(0))
	}
	assert.Greater(t, longest, 4500*time.Millisecond)
	assert.LessOrEqual(t, longest, maxRejectedGap)
	assert.LessOrEqual(t, p.afterUnreachable(), 3*minBackoff/2, "must be independent of rejections")
	for range 20 {
		assert.LessOrEqual(t, p.afterUnreachable(), 3*maxUnreachableStep/2)
	}
	p.reset()
	assert.LessOrEqual(t, p.afterRejection(0), 8*time.Second/firstRejectedDivisor+minBackoff)
	assert.LessOrEqual(t, p.afterFailure(context.DeadlineExceeded, 0), 3*minBackoff/2)
	assert.Equal(t, defaultRetryWithin, NewBackoff(1, 0).retryWithin)
}

// After any one failed call, and after a call that timed out followed by a rejected one, the next call begins within
// five seconds of the start of the first, which is a second before updateDeadline.
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
			assert.LessOrEqual(t, took+p.afterFailure(refused, took), most, "rejected after %v", took)
			assert.LessOrEqual(t, took+p.afterFailure(context.DeadlineExceeded, took), most, "unanswered after %v", took)
			p.afterFailure(refused, 0) // the source has answered
		}
		first := given + p.afterFailure(context.DeadlineExceeded, given)
		assert.LessOrEqual(t, first+p.afterFailure(refused, 0), most, "timed out, then rejected")
	}
}
