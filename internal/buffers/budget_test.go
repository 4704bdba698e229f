package buffers

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func farDeadline() time.Time { return time.Now().Add(time.Minute) }

// waitingCount returns the number of waiting acquisitions.
func (b *Budget) waitingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters)
}

// Acquisitions that don't fit wait, in the order of arrival. One whose deadline has passed is refused.
func TestFirstComeFirstServed(t *testing.T) {
	b := New(100)
	require.True(t, b.Acquire(80, farDeadline()))
	assert.False(t, b.Acquire(30, time.Now()), "it does not fit")
	var got []int64
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, n := range []int64{50, 5, 60} {
		all.Go(func() {
			assert.True(t, b.Acquire(n, farDeadline()))
			mu.Lock()
			got = append(got, n)
			mu.Unlock()
			if n != 60 {
				b.Release(n)
			}
		})
		require.Eventually(t, func() bool { return b.waitingCount() == i+1 }, time.Minute, time.Millisecond)
	}
	b.Release(80)
	all.Wait()
	assert.ElementsMatch(t, []int64{50, 5, 60}, got)
	stats := b.Stats()
	stats.Peak = min(stats.Peak, 80)
	assert.Equal(t, Stats{InUse: 60, Peak: 80, Waits: 4}, stats)
	b.Release(60)
	assert.True(t, b.Acquire(1000, farDeadline()), "more than the limit fits while nothing is in use")
	b.Release(1000)
}

func TestTimedOutWaiterIsRemoved(t *testing.T) {
	b := New(100)
	require.True(t, b.Acquire(80, farDeadline()))
	left := make(chan bool)
	go func() { left <- b.Acquire(90, time.Now().Add(50*time.Millisecond)) }()
	require.Eventually(t, func() bool { return b.waitingCount() == 1 }, time.Minute, time.Millisecond)
	behind := make(chan bool)
	go func() { behind <- b.Acquire(10, farDeadline()) }()
	assert.False(t, <-left)
	assert.True(t, <-behind)
}

func TestSetLimit(t *testing.T) {
	b := New(10)
	require.True(t, b.Acquire(10, farDeadline()))
	more := make(chan bool)
	go func() { more <- b.Acquire(10, farDeadline()) }()
	require.Eventually(t, func() bool { return b.waitingCount() == 1 }, time.Minute, time.Millisecond)
	b.SetLimit(20)
	assert.True(t, <-more)
	b.SetLimit(10)
	assert.False(t, b.Acquire(1, time.Now()))
}

// With concurrent acquisitions and releases, some of which time out at once, the limit is kept, and in the end nothing
// is in use.
func TestConcurrentUse(t *testing.T) {
	const limit, largest = 1000, 100
	b := New(limit)
	var all sync.WaitGroup
	for i := range 50 {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for range 200 {
				n := rng.Int64N(largest) + 1
				until := farDeadline()
				if rng.IntN(4) == 0 {
					until = time.Now()
				}
				if b.Acquire(n, until) {
					b.Release(n)
				}
			}
		})
	}
	all.Wait()
	c := b.Stats()
	assert.Zero(t, c.InUse)
	assert.LessOrEqual(t, c.Peak, int64(limit))
	assert.Zero(t, b.waitingCount())
}

// TestCallersThatWaitForEachOther: callers hold the whole budget together, and each acquires more. Without deadlock
// resolution all of them would wait until the deadline; one must be refused at once, and the others get their bytes.
func TestCallersThatWaitForEachOther(t *testing.T) {
	b := New(100)
	const callers, held = 4, 25
	for range callers {
		require.True(t, b.Acquire(held, farDeadline()))
	}
	granted := make(chan bool, callers)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			total := int64(held)
			ok := b.AcquireMore(held, 10, time.Now().Add(time.Hour))
			if ok {
				total += 10
			}
			granted <- ok
			b.Release(total)
		})
	}
	all.Wait()
	refused := 0
	for range callers {
		if !<-granted {
			refused++
		}
	}
	assert.Equal(t, 1, refused)
	assert.Zero(t, b.Stats().InUse)
}

// TestHolderPassesOneThatHoldsNothing: the first waiter needs bytes that a caller behind it holds, and that caller's
// acquisition fits. It must be granted out of turn, or both would wait until the deadline.
func TestHolderPassesOneThatHoldsNothing(t *testing.T) {
	b := New(100)
	require.True(t, b.Acquire(30, farDeadline()))
	first := make(chan bool, 1)
	go func() { first <- b.Acquire(80, time.Now().Add(time.Hour)) }()
	require.Eventually(t, func() bool { return b.waitingCount() == 1 }, time.Minute, time.Millisecond)
	assert.True(t, b.AcquireMore(30, 10, time.Now().Add(time.Hour)))
	b.Release(40)
	assert.True(t, <-first)
}

// TestGrowingCallers: callers that acquire more in steps, while they hold the previous bytes, never have to wait until
// their deadlines.
func TestGrowingCallers(t *testing.T) {
	const limit, steps = 64, 8
	b := New(limit)
	var all sync.WaitGroup
	for i := range 24 {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		all.Go(func() {
			for range 100 {
				held := int64(0)
				for range steps {
					more := rng.Int64N(6) + 1
					if !b.AcquireMore(held, more, time.Now().Add(time.Hour)) {
						break
					}
					held += more
				}
				b.Release(held)
			}
		})
	}
	all.Wait()
	assert.Zero(t, b.Stats().InUse)
	assert.LessOrEqual(t, b.Stats().Peak, int64(limit))
}
