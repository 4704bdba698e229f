package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// The platform holds a gateway to know what a source could have told it updateDeadline before. So after one call that
// fails in any way, the next one must still be answered in time:
//
//	timed out:                   longPollWait + longPollSlack = 3.0 s with the connecting, and a pause of 0.9 s at most
//	broken off:                  the same pause at most
//	rejected:                    a pause of 5 s (maxRejectedGap) less the time since the last answer, at least 1 s
//	timed out and then rejected: 3.9 s, and a pause of 1.1 s
//
// which leaves 1 s for the answer. A call isn't given up sooner than that: one that waits in the queue of a busy source
// and is dropped then has cost the source its work for nothing.
const (
	updateDeadline = 6 * time.Second
	longPollWait   = 2500 * time.Millisecond // after which the source answers that nothing has changed
	longPollSlack  = 500 * time.Millisecond  // for that answer to arrive
)

// WatchStart says where a watch begins.
type WatchStart struct {
	Addr    string // host:port of the platform's agent
	Version uint64 // of the list that is held already
	// WholeList requests the whole list first, as what another agent sent can't be relied on.
	WholeList bool
}

// Watch follows the platform's agent with long polls until ctx ends, from the held version of the list. After a
// failure it goes on from the last version that it received: where many gateways start at once, a whole list for each
// and then a long poll is more than the source can bear.
//
// The whole list is requested only
//   - if the watch is to start with it;
//   - if the source's version goes back: it has lost its state, and changes would be missed;
//   - if nothing listened at the address: an agent that restarts may count its versions from the beginning, and be
//     past the held one by the time it is called.
func Watch(ctx context.Context, start WatchStart, backoff *Backoff, m *Membership) {
	c := &client{baseURL: "http://" + start.Addr, http: newHTTP()}
	defer c.http.CloseIdleConnections()
	whole := start.WholeList // whether the next call requests the whole list
	for after := start.Version; ctx.Err() == nil; {
		path := "/v1/endpoints"
		if !whole {
			path += fmt.Sprintf("?after=%d&wait_ms=%d", after, longPollWait.Milliseconds())
		}
		var list List
		called := time.Now()
		_, err := c.get(ctx, path, longPollWait+longPollSlack, &list)
		if err != nil {
			if ctx.Err() == nil {
				m.RecordFailure(err)
				slog.Warn("discovery_failed", "anew", whole, "err", err)
			}
			whole = whole || errors.Is(err, syscall.ECONNREFUSED)
			sleep(ctx, backoff.afterFailure(err, time.Since(called)))
			continue
		}
		if whole && !list.Reset {
			sleep(ctx, backoff.afterUnreachable())
			continue
		}
		m.RecordAnswer()
		if whole = list.Generation < after && !list.Reset; whole {
			sleep(ctx, backoff.afterUnreachable())
			continue
		}
		backoff.reset()
		if list.Reset {
			m.Apply(policy.ListFull, list.Instances)
		} else if len(list.Instances) > 0 {
			m.Apply(policy.ListChanges, list.Instances)
		}
		after = list.Generation
		m.SetVersion(after)
	}
}

// sleep waits until the pause or ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
