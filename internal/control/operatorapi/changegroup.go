package operatorapi

import (
	"context"
	"sync"

	"sprucelane.example/sprucelane/internal/configuration"
)

// changeGroup merges identical changes that are being decided at the same time, as golang.org/x/sync/singleflight
// does. Unlike in singleflight, a caller may stop waiting before the decision.
type changeGroup struct {
	mutex   sync.Mutex
	pending map[configuration.Digest]*changeCall // guarded by mutex; removed before done is closed
}

// changeCall is one change that is being decided.
type changeCall struct {
	done     chan struct{} // closed once decision is set
	decision decision
}

// newChangeGroup returns an empty group.
func newChangeGroup() changeGroup {
	return changeGroup{pending: map[configuration.Digest]*changeCall{}}
}

// do returns the decision on the change with the given digest. It starts decide unless a call for that change is
// already running. It returns false if ctx ends first; decide then continues. release is called once the caller's
// body is no longer held: for the caller that started decide after decide has returned, for others when do returns.
func (g *changeGroup) do(
	ctx context.Context,
	digest configuration.Digest,
	decide func() decision,
	release func(),
) (decision, bool) {
	call, started := g.findOrStart(digest, decide, release)
	if !started {
		defer release()
	}
	select {
	case <-call.done:
		return call.decision, true
	case <-ctx.Done():
		return decision{}, false
	}
}

// findOrStart returns the call for the change with the given digest and reports whether it started that call.
func (g *changeGroup) findOrStart(
	digest configuration.Digest,
	decide func() decision,
	release func(),
) (call *changeCall, started bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if call, found := g.pending[digest]; found {
		return call, false
	}
	call = &changeCall{done: make(chan struct{})}
	g.pending[digest] = call
	go g.run(digest, call, decide, release)
	return call, true
}

// run decides a change, releases the body, and wakes the callers that wait for the decision.
func (g *changeGroup) run(digest configuration.Digest, call *changeCall, decide func() decision, release func()) {
	call.decision = decide()
	release()
	g.mutex.Lock()
	delete(g.pending, digest)
	g.mutex.Unlock()
	close(call.done)
}
