package inflight

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/discovery"
	"sprucelane.example/sprucelane/policy"
)

// This file carries the words: it asks the core what is out, sends and takes datagrams, and hands the loads on. It must
// never decide what a word means.

// Core is what is asked of the gateway's core.
type Balancer interface {
	ExchangeLoads(weigh func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load)
}

// Roster names what is listed, in a new map each time.
type Membership interface {
	Incarnations() map[policy.ServerID]discovery.Incarnation
}

// Carrier keeps a board up to date.
type Exchange struct {
	balancer   Balancer
	membership Membership
	send       func(peer int, m []byte)

	mu             sync.Mutex // taken under the core's, never the other way round
	tracker        *Tracker
	incarnations   map[policy.ServerID]discovery.Incarnation // as the board last had them
	received, sent uint64
}

// Carry gives a carrier for a board.
func NewExchange(b *Tracker, core Balancer, roster Membership, tell func(int, []byte)) *Exchange {
	return &Exchange{balancer: core, membership: roster, send: tell, tracker: b}
}

// Run tells the neighbours what is out until ctx ends.
func (c *Exchange) Run(ctx context.Context) {
	tick := time.NewTicker(c.tracker.Interval())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.exchange()
		}
	}
}

func (c *Exchange) exchange() {
	lives := c.membership.Incarnations()
	var peers []int
	var m []byte
	c.balancer.ExchangeLoads(func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !maps.Equal(lives, c.incarnations) {
			c.incarnations = lives
			members := make([]Member, 0, len(lives))
			for id, l := range lives {
				members = append(members, Member{ID: id, Instance: l.Instance})
			}
			c.tracker.SetMembers(members)
		}
		c.tracker.SetLocal(own)
		peers, m = c.tracker.NextReport(now)
		c.sent += uint64(len(peers))
		return c.tracker.Loads(now)
	})
	for _, p := range peers {
		c.send(p, m)
	}
}

// Take takes a neighbour's datagram in, and hands what follows to the core.
func (c *Exchange) Receive(from int, m []byte) {
	c.balancer.ExchangeLoads(func(now policy.Time, _ map[policy.ServerID]policy.OwnLoad) []policy.Load {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.received++
		c.tracker.Receive(now, from, m)
		return c.tracker.Loads(now)
	})
}

// Seq is the count of the word told last, for Resume.
func (c *Exchange) Seq() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Seq()
}

// Resume counts on from where another process of this gateway was.
func (c *Exchange) Resume(seq uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Resume(seq)
}

// Counters gives what was told and heard.
func (c *Exchange) Counters() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []slog.Attr{slog.Uint64("told", c.sent), slog.Uint64("heard", c.received), slog.Uint64("dropped", c.tracker.Dropped())}
}
