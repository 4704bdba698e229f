package storm

// This file recognizes retries, by the client's mark or by the work that failed.

import (
	"math"
	"time"
)

const (
	failureTTL         = 8 * time.Second // how long failed work is remembered; longer if Options.MaxRetryAfter is
	maxFailedKeys      = 4096
	maxMarkingAccounts = 16384
)

// key returns a hash of account, class and units, by which the attempts at the same work are recognized: a client's
// next attempt has another request ID and may arrive at another gateway.
func (a Arrival) key() uint64 {
	x := a.Account*0x9e3779b97f4a7c15 ^ uint64(a.Class)<<32 ^ math.Float64bits(a.Units)
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// failure counts the failed attempts at the same work that may be retried.
type failure struct {
	count     int
	expiresAt Time
}

// Rejected records that the gateway rejects an arrival for another reason than a storm, such as a quota. It returns the
// Retry-After to send: the given one in Calm, otherwise one that scheduleReturn chooses.
func (g *Guard) Rejected(now Time, a Arrival, retryAfter time.Duration) time.Duration {
	g.start(now)
	g.recordFailure(now, a)
	if g.phase == Calm {
		return retryAfter
	}
	return g.scheduleReturn(now)
}

// Failed records that a request failed, or that its client disconnected before the answer. It may be retried.
func (g *Guard) Failed(now Time, a Arrival) {
	g.start(now)
	g.recordFailure(now, a)
}

// recordFailure records that a retry of an arrival is to be expected.
func (g *Guard) recordFailure(now Time, a Arrival) {
	k := a.key()
	f := g.failedWork[k]
	if f == nil {
		for len(g.failedOrder) > 0 && (len(g.failedWork) >= maxFailedKeys || g.forgettable(now, g.failedOrder[0])) {
			delete(g.failedWork, g.failedOrder[0])
			g.failedOrder = g.failedOrder[1:]
		}
		f = &failure{}
		g.failedWork[k] = f
		g.failedOrder = append(g.failedOrder, k)
	}
	f.count++
	f.expiresAt = now + max(failureTTL, g.opt.MaxRetryAfter)
}

// forgettable reports whether a key has expired or is unknown.
func (g *Guard) forgettable(now Time, key uint64) bool {
	f := g.failedWork[key]
	return f == nil || now > f.expiresAt
}

// isRetry reports whether an arrival is probably a retry: by the client's mark if clients of the account mark
// retries at all, otherwise by whether the same work failed recently.
func (g *Guard) isRetry(now Time, a Arrival) bool {
	if a.MarkedRetry {
		if len(g.markingAccounts) >= maxMarkingAccounts {
			clear(g.markingAccounts)
		}
		g.markingAccounts[a.Account] = true
		return true
	}
	return !g.markingAccounts[a.Account] && g.failedRecently(now, a.key())
}

// failedRecently reports whether the work with key k failed recently here, or at a peer that reports it. A failure here
// accounts for one retry.
func (g *Guard) failedRecently(now Time, k uint64) bool {
	if f := g.failedWork[k]; f != nil && f.count > 0 && now <= f.expiresAt {
		f.count--
		return true
	}
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(now) && p.message.FailedWork.contains(k) {
			return true
		}
	}
	return false
}
