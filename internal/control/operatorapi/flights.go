package operatorapi

import (
	"context"
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
)

// flights joins orders that come again while they are under way.
type flights struct {
	mutex sync.Mutex
	open  map[configuration.Digest]*flight
}

// flight is one order under way.
type flight struct {
	done    chan struct{} // closed once verdict is set
	verdict verdict
}

func newFlights() flights { return flights{open: map[configuration.Digest]*flight{}} }

// join gives what the order's flight comes to, and starts one where there is none. False: the caller's context ended first; the
// flight goes on. release is called once the caller's body isn't held any more: that of a flight's first caller is up to its end.
func (f *flights) join(ctx context.Context, digest configuration.Digest, decide func() verdict, release func()) (verdict, bool) {
	one, begun := f.find(digest, decide, release)
	if !begun {
		defer release()
	}
	select {
	case <-one.done:
		return one.verdict, true
	case <-ctx.Done():
		return verdict{}, false
	}
}

func (f *flights) find(digest configuration.Digest, decide func() verdict, release func()) (one *flight, begun bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if one, found := f.open[digest]; found {
		return one, false
	}
	one = &flight{done: make(chan struct{})}
	f.open[digest] = one
	go f.fly(digest, one, decide, release)
	return one, true
}

func (f *flights) fly(digest configuration.Digest, one *flight, decide func() verdict, release func()) {
	one.verdict = decide()
	release()
	f.mutex.Lock()
	delete(f.open, digest)
	f.mutex.Unlock()
	close(one.done)
}

// byteBudget bounds the bytes of bodies under way.
type byteBudget struct {
	mutex sync.Mutex
	most  int64
	taken int64
}

func (b *byteBudget) take(bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.taken > 0 && b.taken+bytes > b.most {
		return false
	}
	b.taken += bytes
	return true
}

func (b *byteBudget) give(bytes int64) {
	b.mutex.Lock()
	b.taken -= bytes
	b.mutex.Unlock()
}
