package buffers

import (
	"slices"
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
	n       int64
	held    int64         // bytes of the budget that its caller holds meanwhile
	decided chan struct{} // closed once the bytes are acquired or refused
	refused bool          // written before decided is closed
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
//
// A caller that holds bytes of the budget and keeps them while it waits uses AcquireMore.
func (b *Budget) Acquire(n int64, deadline time.Time) bool { return b.AcquireMore(0, n, deadline) }

// AcquireMore is Acquire for a caller that holds some bytes of the budget already, all of which it releases if it is
// refused. Callers that hold bytes and wait for each other's would wait until their deadlines: once all that is in
// use is held by callers that wait, one of them gets its bytes out of turn if they fit, or else the last one to come
// is refused at once.
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
		b.grantWaiting() // those behind it may fit
		return false
	}
	return !w.refused // it was decided at the same time
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
		b.grant(0)
	}
	b.resolveDeadlock()
}

// grant grants a waiting acquisition. The mutex is held.
func (b *Budget) grant(i int) {
	w := b.waiters[i]
	b.reserve(w.n)
	b.waiters = slices.Delete(b.waiters, i, i+1)
	close(w.decided)
}

// resolveDeadlock decides one waiting acquisition if nobody else can release anything: all bytes in use are held by
// callers that wait. Whichever is decided, its caller releases bytes in the end, and the others go on then. The
// mutex is held.
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
