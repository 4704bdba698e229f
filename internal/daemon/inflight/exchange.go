package inflight

// This file connects a Tracker with the gateway and with its neighbors.

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/discovery"
	"sprucelane.example/sprucelane/policy"
)

// Balancer is the gateway's load balancer.
type Balancer interface {
	// ExchangeLoads calls exchange, under the balancer's lock, with the load that this gateway has at each server, and
	// adds the loads that exchange returns, which are those of other gateways.
	ExchangeLoads(exchange func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load)
}

// Membership is the list of servers.
type Membership interface {
	// Incarnations returns the incarnations of the listed servers, in a new map on each call.
	Incarnations() map[policy.ServerID]discovery.Incarnation
}

// Exchange keeps a Tracker up to date, and sends and receives its reports. It is safe for concurrent use.
type Exchange struct {
	balancer   Balancer
	membership Membership
	send       func(peer int, m []byte)

	// mu guards the fields below. Lock order: the balancer's lock is acquired before mu, never after it.
	mu             sync.Mutex
	tracker        *Tracker
	incarnations   map[policy.ServerID]discovery.Incarnation // from which the tracker's members were set
	received, sent uint64
}

// NewExchange returns the exchange of a tracker. send sends a datagram to a gateway by its number.
func NewExchange(t *Tracker, balancer Balancer, membership Membership, send func(peer int, m []byte)) *Exchange {
	return &Exchange{balancer: balancer, membership: membership, send: send, tracker: t}
}

// Run exchanges loads with the balancer and sends reports until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(e.tracker.Interval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.exchange()
		}
	}
}

// exchange passes the gateway's own load to the tracker and the other gateways' loads to the balancer, and sends the
// report if one is due.
func (e *Exchange) exchange() {
	incarnations := e.membership.Incarnations()
	var neighbors []int
	var datagram []byte
	e.balancer.ExchangeLoads(func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !maps.Equal(incarnations, e.incarnations) {
			e.incarnations = incarnations
			members := make([]Member, 0, len(incarnations))
			for id, i := range incarnations {
				members = append(members, Member{ID: id, Instance: i.Instance})
			}
			e.tracker.SetMembers(members)
		}
		e.tracker.SetLocal(own)
		neighbors, datagram = e.tracker.NextReport(now)
		e.sent += uint64(len(neighbors))
		return e.tracker.Loads(now)
	})
	for _, n := range neighbors {
		e.send(n, datagram)
	}
}

// Receive handles a neighbor's report and passes the resulting loads to the balancer.
func (e *Exchange) Receive(from int, datagram []byte) {
	e.balancer.ExchangeLoads(func(now policy.Time, _ map[policy.ServerID]policy.OwnLoad) []policy.Load {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.received++
		e.tracker.Receive(now, from, datagram)
		return e.tracker.Loads(now)
	})
}

// Seq returns the sequence number of the last report, for Resume.
func (e *Exchange) Seq() uint16 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Seq()
}

// Resume continues the sequence numbers after seq, the last one of this gateway's previous process.
func (e *Exchange) Resume(seq uint16) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Resume(seq)
}

// Counters returns the numbers of reports that were sent, received and dropped, as log attributes.
func (e *Exchange) Counters() []slog.Attr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []slog.Attr{slog.Uint64("told", e.sent), slog.Uint64("heard", e.received),
		slog.Uint64("dropped", e.tracker.Dropped())}
}
