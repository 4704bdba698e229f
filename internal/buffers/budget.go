package buffers

import (
	"sync"
	"time"
)

// Budget is a number of bytes that its users acquire and release, first come, first served. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	mu      sync.Mutex // guards what follows
	limit   int64
	inUse   int64 // at most limit, unless that was lowered or a single acquisition exceeds it
	peak    int64
	waiters []*waiter // in the order of arrival; the first one doesn't fit
	waits   uint64    // acquisitions that had to wait, so far
}

// waiter is an acquisition that waits.
type waiter struct {
	n     int64
	ready chan struct{} // closed once the bytes are acquired
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit. If more is in use than a lower limit allows, further acquisitions wait until
// that is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grantWaiting()
}

// Acquire acquires n bytes, and waits for them until a deadline. It reports whether it has them. When nothing
// is in use any number can be acquired, however low the limit is: otherwise a request larger than the limit
// would never be served.
func (b *Budget) Acquire(n int64, deadline time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	if len(b.waiters) == 0 && b.fits(n) {
		b.reserve(n)
		b.mu.Unlock()
		return true
	}
	w := &waiter{n, make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.waits++
	b.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.ready:
		return true
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.waiters {
		if b.waiters[i] == w {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.grantWaiting() // those behind it may fit
			return false
		}
	}
	return true // it was granted at the same time
}

// fits reports whether n bytes can be acquired now. The mutex is held.
func (b *Budget) fits(n int64) bool { return b.inUse == 0 || b.inUse+n <= b.limit }

// reserve counts n bytes as in use. The mutex is held.
func (b *Budget) reserve(n int64) {
	b.inUse += n
	b.peak = max(b.peak, b.inUse)
}

// grantWaiting grants waiting acquisitions, in their order, as long as they fit. The mutex is held.
func (b *Budget) grantWaiting() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].n) {
		b.reserve(b.waiters[0].n)
		close(b.waiters[0].ready)
		b.waiters = b.waiters[1:]
	}
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= n
	b.grantWaiting()
}

// Stats are the bytes in use now and at most so far, and the number of acquisitions that had to wait.
type Stats struct {
	InUse, Peak int64
	Waits       uint64
}

// Stats returns the statistics so far.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{b.inUse, b.peak, b.waits}
}
