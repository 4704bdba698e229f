package buffers

import (
	"slices"
	"sync"
	"time"
)

// Budget is a limited number of bytes that callers acquire and release, first come, first served. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	mu      sync.Mutex // guards the fields below
	limit   int64
	inUse   int64 // exceeds limit only after that was lowered, or by a single acquisition
	peak    int64
	waiters []*waiter // in the order of arrival; the first one doesn't fit now
	waits   uint64    // number of acquisitions that have had to wait
}

// waiter is a waiting acquisition of n bytes.
type waiter struct {
	n       int64
	held    int64         // bytes of the budget that the caller holds while it waits
	decided chan struct{} // closed once the bytes are acquired or refused
	refused bool          // written before decided is closed
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit. If more is in use than a lower limit allows, further acquisitions wait until
// enough is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grantWaiting()
}

// Acquire acquires n bytes, for which it waits until the deadline at most. It reports whether they were acquired.
// When nothing is in use, any number of bytes can be acquired, whatever the limit: otherwise a request larger than
// the limit would never be served.
//
// A caller that already holds bytes of the budget while it waits must use AcquireMore.
func (b *Budget) Acquire(n int64, deadline time.Time) bool { return b.AcquireMore(0, n, deadline) }

// AcquireMore is Acquire for a caller that already holds some bytes of the budget, and releases all of them if it is
// refused. Callers that hold bytes and wait for each other would wait until their deadlines. So when all bytes in use
// are held by waiting callers, the first of them whose bytes fit gets them out of turn; if none fit, the last one to
// arrive is refused at once.
func (b *Budget) AcquireMore(held, n int64, deadline time.Time) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	if len(b.waiters) == 0 && b.fits(n) {
		b.reserve(n)
		b.mu.Unlock()
		return true
	}
	w := &waiter{n: n, held: held, decided: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.waits++
	b.resolveDeadlock()
	b.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.decided:
		return !w.refused
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		b.grantWaiting() // the waiters after it may fit
		return false
	}
	return !w.refused // decided at the same time as the timeout
}

// fits reports whether n bytes can be acquired now. The mutex is held.
func (b *Budget) fits(n int64) bool { return b.inUse == 0 || b.inUse+n <= b.limit }

// reserve counts n bytes as in use. The mutex is held.
func (b *Budget) reserve(n int64) {
	b.inUse += n
	b.peak = max(b.peak, b.inUse)
}

// grantWaiting grants waiting acquisitions, in the order of arrival, as long as they fit. The mutex is held.
func (b *Budget) grantWaiting() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].n) {
		b.grant(0)
	}
	b.resolveDeadlock()
}

// grant grants the waiting acquisition with index i. The mutex is held.
func (b *Budget) grant(i int) {
	w := b.waiters[i]
	b.reserve(w.n)
	b.waiters = slices.Delete(b.waiters, i, i+1)
	close(w.decided)
}

// resolveDeadlock grants or refuses one waiting acquisition if all bytes in use are held by waiting callers, so that
// no other caller can release any. The caller of that acquisition eventually releases its bytes, and the others can
// proceed then. The mutex is held.
func (b *Budget) resolveDeadlock() {
	var held int64
	for _, w := range b.waiters {
		held += w.held
	}
	if held == 0 || held < b.inUse {
		return
	}
	last := 0
	for i, w := range b.waiters {
		if w.held == 0 {
			continue
		}
		if b.fits(w.n) {
			b.grant(i)
			return
		}
		last = i
	}
	w := b.waiters[last]
	b.waiters = slices.Delete(b.waiters, last, last+1)
	w.refused = true
	close(w.decided)
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= n
	b.grantWaiting()
}

// Stats has the bytes in use now, the peak so far, and the number of acquisitions that had to wait.
type Stats struct {
	InUse, Peak int64
	Waits       uint64
}

// Stats returns the current statistics.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{b.inUse, b.peak, b.waits}
}
