// Package buffers owns the memory that bodies and answers may hold together. Where it is used up, whoever wants more
// waits; nothing fails for want of it but what can't wait any longer. It must never be asked for more by somebody who
// holds some that another waits for: bodies and answers have a budget each.
package buffers

import (
	"sync"
	"time"
)

// Budget is a number of bytes that many draw from. It is safe for concurrent use; first come, first served. A nil one is
// without limit.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	inUse   int64
	waiters []*waiter
	waits   uint64
	peak    int64
}

type waiter struct {
	n     int64
	ready chan struct{}
}

// New gives a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit sets the bytes from now on. What is held over it is given back in its own time.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grantWaiting()
}

// Take draws n bytes, and waits for them until some moment. It tells whether it has them. One that holds none may always
// draw, however little the budget is, where nobody else holds any.
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
			b.grantWaiting() // those behind may want less
			return false
		}
	}
	return true // it came in the same moment
}

func (b *Budget) fits(n int64) bool { return b.inUse == 0 || b.inUse+n <= b.limit }

func (b *Budget) reserve(n int64) {
	b.inUse += n
	b.peak = max(b.peak, b.inUse)
}

// wake hands out to those that wait, in order. The mutex is held.
func (b *Budget) grantWaiting() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].n) {
		b.reserve(b.waiters[0].n)
		close(b.waiters[0].ready)
		b.waiters = b.waiters[1:]
	}
}

// Give gives n bytes back.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= n
	b.grantWaiting()
}

// Counts are what is held now and was at most, and how often somebody had to wait.
type Stats struct {
	InUse, Peak int64
	Waits       uint64
}

// Counts gives the counts so far.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{b.inUse, b.peak, b.waits}
}
