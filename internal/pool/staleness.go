package pool

import (
	"math"
	"math/bits"
	"net/http"
	"sync"
	"time"
)

// stalenessEstimator learns for how long connections may be idle before they fail. Servers should close an
// idle connection only after a known time, but some close or forget it earlier (so do NATs and load
// balancers), and the client sees it only after the next request, which then may have been executed for all
// the client can tell.
//
// It is a histogram over idle times, with buckets that double in width. Each bucket counts the requests on
// reused connections and those that were reset at once; both counts decay exponentially, so that a connection
// is tried again some time after the last failure.
type stalenessEstimator struct {
	mu        sync.Mutex // guards what follows
	buckets   [14]struct{ used, broken float64 }
	decayedAt time.Time // of the counts
}

const (
	defaultStaleWindow = 25 * time.Millisecond // a time within which a server hardly reads a request and then fails
	shortestIdle       = 16 * time.Millisecond // upper bound of the first bucket; the last one begins at 65.5 s
	decayTimeConstant  = 7 * time.Second       // after which a count is 1/e, about a third

	// A bucket is avoided if the share of broken connections exceeds minBrokenShare (fewer are lost anyhow),
	// and their decayed number exceeds minBrokenSafe or minBrokenUnsafe. Requests with a method that may be
	// retried (GET) use a bucket until the second failure, and thereby find out whether it still fails;
	// others avoid it from the first one on.
	minBrokenShare  = 0.1
	minBrokenSafe   = 1.2
	minBrokenUnsafe = 0.4
)

// bucketOf returns the index of the bucket of an idle time.
func (e *stalenessEstimator) bucketOf(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/shortestIdle)), len(e.buckets)-1)
}

// decay lets the counts decay until now. The mutex is held.
func (e *stalenessEstimator) decay() {
	now := time.Now()
	factor := math.Exp(-float64(now.Sub(e.decayedAt)) / float64(decayTimeConstant))
	e.decayedAt = now
	for i := range e.buckets {
		e.buckets[i].used *= factor
		e.buckets[i].broken *= factor
	}
}

// observe counts a request on a connection that had been idle for some time, and whether it was reset at
// once.
func (e *stalenessEstimator) observe(idle time.Duration, broken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay()
	bucket := &e.buckets[e.bucketOf(idle)]
	if bucket.used++; broken {
		bucket.broken++
	}
}

// likelyStale reports whether connections that are idle for so long have been failing too often for a request
// with this method.
func (e *stalenessEstimator) likelyStale(idle time.Duration, method string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	bucket, minBroken := &e.buckets[e.bucketOf(idle)], minBrokenSafe
	if bucket.broken == 0 {
		return false
	}
	e.decay()
	if method != http.MethodGet {
		minBroken = minBrokenUnsafe
	}
	return bucket.broken > minBroken && bucket.broken > minBrokenShare*bucket.used
}
