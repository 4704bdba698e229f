// Package batchproxy forwards clients' calls for batch jobs to the batch processes (stores). A call is sent to a
// store of the agreed set, which answers it or names the owner of the batch job. If a store doesn't answer, the
// call is sent to another one.
//
// Submissions differ from other calls. Two stores are drawn, and the one with the shorter backlog gets the
// submission first. Submissions are also hedged: a store that is down or paused doesn't answer for seconds, so
// the submission is sent to another store after hedgeAfter. That is safe because the stores accept a batch job
// only once, no matter where and how often it is submitted.
//
// A client gets no promise that the answering store can't give. If a submission may have been accepted by a store
// that didn't answer, another store's rejection isn't forwarded: the client gets 504, which promises nothing.
package batchproxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	// maxHops is the maximum number of stores that one call is sent to.
	maxHops = 6
	// retryAfter is the Retry-After of calls that no store answered.
	retryAfter = 300 * time.Millisecond
)

// Caller forwards calls and keeps connections to the stores. It is safe for concurrent use.
type Caller struct {
	settings *node.Settings
	options  transport.Options
	members  func() *protocol.MemberList
	backlogs *serverload.Table // of the stores
	// send sends a call to one store. It is callProcess, except in tests.
	send func(ctx context.Context, ip string, call protocol.BatchCall) (protocol.BatchAnswer, error)

	mu          sync.Mutex             // guards the fields below
	connections map[string]*connection // by IP
	avoidUntil  map[string]time.Time   // by IP: until when a store that timed out is asked last
	rotation    int                    // offset at which the next call starts among equal stores
}

// New returns a caller that reads the set of stores from members, and their backlogs from a table.
func New(settings *node.Settings, options transport.Options, members func() *protocol.MemberList,
	backlogs *serverload.Table) *Caller {
	options.Heartbeat = heartbeat
	c := &Caller{settings: settings, options: options, members: members, backlogs: backlogs,
		connections: map[string]*connection{}, avoidUntil: map[string]time.Time{}}
	c.send = c.callProcess
	return c
}

// Call sends a call to one store after another until there is an answer, no store is left, or ctx ends.
func (c *Caller) Call(ctx context.Context, call protocol.BatchCall) protocol.BatchAnswer {
	members := c.members()
	if members == nil {
		return rejection(call, false)
	}
	call.StoreView = members.Stores.Epoch
	order := c.preference(members.Stores.Members)
	if call.Operation == protocol.BatchSubmit {
		return c.submit(ctx, call, c.leastBacklogFirst(order, members.Stores.Members))
	}
	targets := newTargetList(order)
	uncertain := false
	for range maxHops {
		ip := targets.next()
		if ip == "" || ctx.Err() != nil {
			break
		}
		answer, err := c.send(ctx, ip, call)
		if err != nil {
			c.avoid(ip)
			uncertain = uncertain || !errors.Is(err, transport.ErrNotConnected)
			continue
		}
		if answer.Status == 0 {
			targets.redirect(answer.Owner)
			continue
		}
		if answer.Status == http.StatusServiceUnavailable && targets.hasNext() {
			last := answer
			if second, ok := c.askAnother(ctx, targets, call); ok {
				last = second
			}
			answer = last
		}
		return withdrawPromise(call, answer, uncertain)
	}
	return rejection(call, uncertain)
}

// askAnother sends a call to another store, after a store answered 503 because it couldn't confirm its state. It
// reports whether that store gave a final answer.
func (c *Caller) askAnother(ctx context.Context, targets *targetList, call protocol.BatchCall) (
	protocol.BatchAnswer, bool) {
	answer, err := c.send(ctx, targets.next(), call)
	return answer, err == nil && answer.Status != 0
}

// withdrawPromise replaces a store's rejection of a submission, which promises that the submission wasn't
// accepted, by 504 if another store may have accepted it.
func withdrawPromise(call protocol.BatchCall, answer protocol.BatchAnswer, uncertain bool) protocol.BatchAnswer {
	rejected := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
	if rejected && uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return answer
}

// rejection returns the answer to a call that no store answered.
func rejection(call protocol.BatchCall, uncertain bool) protocol.BatchAnswer {
	if uncertain && call.Operation == protocol.BatchSubmit {
		return protocol.BatchAnswer{Status: http.StatusGatewayTimeout}
	}
	return protocol.BatchAnswer{Status: http.StatusServiceUnavailable, RetryAfterMs: int(retryAfter.Milliseconds())}
}

// preference returns the IPs of the stores in the order in which they are asked: those in the gateway's zone
// first, then those in other zones, then those that timed out recently and those that are retiring.
func (c *Caller) preference(members []protocol.StoreMember) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotation++
	now := time.Now()
	var near, far, slow, retiring []string
	for i := range members {
		member := &members[(i+c.rotation)%len(members)]
		switch {
		case member.State == protocol.StoreRetired:
		case member.State == protocol.StoreRetiring:
			retiring = append(retiring, member.IP)
		case c.isAvoided(member.IP, now):
			slow = append(slow, member.IP)
		case member.Zone == c.settings.Zone:
			near = append(near, member.IP)
		default:
			far = append(far, member.IP)
		}
	}
	return slices.Concat(near, far, slow, retiring)
}
