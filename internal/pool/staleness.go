package pool

import (
	"math"
	"math/bits"
	"net/http"
	"sync"
	"time"
)

// stalenessEstimator estimates after which idle time connections fail. Servers should close an idle connection
// only after the configured time, but some servers, NATs and load balancers close or drop it earlier. The client
// detects this only after the next request, and can't tell whether that request was executed.
//
// It is a histogram over idle times, with buckets that double in width. Each bucket counts the requests on
// reused connections, and those of them that were reset at once. Both counts decay exponentially, so that
// connections with that idle time are used again some time after the last failure.
type stalenessEstimator struct {
	mu        sync.Mutex // guards the fields below
	buckets   [14]struct{ used, broken float64 }
	decayedAt time.Time // time of the last decay
}

const (
	defaultStaleWindow = 25 * time.Millisecond // a server is unlikely to read a request and then fail within it
	shortestIdle       = 16 * time.Millisecond // upper bound of the first bucket; the last one begins at 65.5 s
	decayTimeConstant  = 7 * time.Second       // time after which a count has decayed to 1/e, about a third

	// Connections of a bucket are not used if the share of broken ones exceeds minBrokenShare (a smaller share
	// is lost in any case), and their decayed count exceeds minBrokenSafe or minBrokenUnsafe. GET requests,
	// which may be retried, use a bucket until its second failure, and thereby show whether it still fails;
	// requests with other methods avoid it from the first failure on.
	minBrokenShare  = 0.1
	minBrokenSafe   = 1.2
	minBrokenUnsafe = 0.4
)

// bucketOf returns the index of the bucket of an idle time.
func (e *stalenessEstimator) bucketOf(idle time.Duration) int {
	return min(bits.Len64(uint64(max(idle, 0)/shortestIdle)), len(e.buckets)-1)
}

// decay applies the decay of the counts since the last call. The mutex is held.
func (e *stalenessEstimator) decay() {
	now := time.Now()
	factor := math.Exp(-float64(now.Sub(e.decayedAt)) / float64(decayTimeConstant))
	e.decayedAt = now
	for i := range e.buckets {
		e.buckets[i].used *= factor
		e.buckets[i].broken *= factor
	}
}

// observe counts a request on a connection that had been idle for the given time. broken says that it was reset
// at once.
func (e *stalenessEstimator) observe(idle time.Duration, broken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay()
	bucket := &e.buckets[e.bucketOf(idle)]
	if bucket.used++; broken {
		bucket.broken++
	}
}

// likelyStale reports whether connections with this idle time have been failing too often to be used for a
// request with this method.
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
