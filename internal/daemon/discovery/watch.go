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

// The platform requires a gateway to know a change at most updateDeadline after the source could have sent it. After
// one call that fails in any way, the next call must therefore still be answered in time. The time until that call is:
//
//	timed out:                   longPollWait + longPollSlack = 3.0 s, connecting included, and a pause of at most 0.9 s
//	connection lost:             a pause of at most 0.9 s
//	rejected:                    a pause of 5 s (maxRejectedGap) less the time since the last answer, at least 1 s
//	timed out and then rejected: 3.9 s, and a pause of 1.1 s
//
// This leaves 1 s for the answer. A call isn't abandoned after that second, but only at its own timeout: the work of a
// busy source for a call that waits in its queue and is then abandoned is wasted.
const (
	updateDeadline = 6 * time.Second
	longPollWait   = 2500 * time.Millisecond // time after which the source answers that nothing has changed
	longPollSlack  = 500 * time.Millisecond  // time for that answer to arrive
)

// WatchStart is the starting point of a watch.
type WatchStart struct {
	Addr    string // host:port of the platform's agent
	Version uint64 // version of the list that the membership already holds
	// WholeList requests the whole list first, because a list from another agent can't be relied on.
	WholeList bool
}

// Watch follows the platform's agent with long polls until ctx ends, starting from the held version of the list. After
// a failure it continues from the last version that it received: if many gateways start at once, sending each of them
// a whole list and then a long poll would overload the source.
//
// The whole list is requested only
//   - if start.WholeList is set;
//   - if the source's version goes back, because the source has lost its state and changes would be missed;
//   - if the connection was refused, because a restarting agent may count its versions from the beginning and have
//     passed the held version by the time of the next call.
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

// sleep waits until the pause is over or ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
