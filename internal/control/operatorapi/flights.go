package operatorapi

import (
	"context"
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
)

// flights joins orders that come again while they are under way.
type orderGroup struct {
	mutex   sync.Mutex
	pending map[configuration.Digest]*orderCall
}

// flight is one order under way.
type orderCall struct {
	done     chan struct{} // closed once verdict is set
	decision decision
}

func newOrderGroup() orderGroup { return orderGroup{pending: map[configuration.Digest]*orderCall{}} }

// join gives what the order's flight comes to, and starts one where there is none. False: the caller's context ended first; the
// flight goes on. release is called once the caller's body isn't held any more: that of a flight's first caller is up to its end.
func (f *orderGroup) do(ctx context.Context, digest configuration.Digest, decide func() decision, release func()) (decision, bool) {
	one, begun := f.findOrStart(digest, decide, release)
	if !begun {
		defer release()
	}
	select {
	case <-one.done:
		return one.decision, true
	case <-ctx.Done():
		return decision{}, false
	}
}

func (f *orderGroup) findOrStart(digest configuration.Digest, decide func() decision, release func()) (one *orderCall, begun bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if one, found := f.pending[digest]; found {
		return one, false
	}
	one = &orderCall{done: make(chan struct{})}
	f.pending[digest] = one
	go f.run(digest, one, decide, release)
	return one, true
}

func (f *orderGroup) run(digest configuration.Digest, one *orderCall, decide func() decision, release func()) {
	one.decision = decide()
	release()
	f.mutex.Lock()
	delete(f.pending, digest)
	f.mutex.Unlock()
	close(one.done)
}

// byteBudget bounds the bytes of bodies under way.
type byteBudget struct {
	mutex    sync.Mutex
	limit    int64
	reserved int64
}

func (b *byteBudget) reserve(bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.reserved > 0 && b.reserved+bytes > b.limit {
		return false
	}
	b.reserved += bytes
	return true
}

func (b *byteBudget) release(bytes int64) {
	b.mutex.Lock()
	b.reserved -= bytes
	b.mutex.Unlock()
}
