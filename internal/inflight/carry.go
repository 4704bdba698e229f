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
type Core interface {
	ExchangeLoads(weigh func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load)
}

// Roster names what is listed, in a new map each time.
type Membership interface {
	Incarnations() map[policy.ServerID]discovery.Incarnation
}

// Carrier keeps a board up to date.
type Carrier struct {
	core   Core
	roster Membership
	tell   func(peer int, m []byte)

	mu          sync.Mutex // taken under the core's, never the other way round
	board       *Board
	lives       map[policy.ServerID]discovery.Incarnation // as the board last had them
	heard, told uint64
}

// Carry gives a carrier for a board.
func Carry(b *Board, core Core, roster Membership, tell func(int, []byte)) *Carrier {
	return &Carrier{core: core, roster: roster, tell: tell, board: b}
}

// Run tells the neighbours what is out until ctx ends.
func (c *Carrier) Run(ctx context.Context) {
	tick := time.NewTicker(c.board.Every())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.round()
		}
	}
}

func (c *Carrier) round() {
	lives := c.roster.Incarnations()
	var peers []int
	var m []byte
	c.core.ExchangeLoads(func(now policy.Time, own map[policy.ServerID]policy.OwnLoad) []policy.Load {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !maps.Equal(lives, c.lives) {
			c.lives = lives
			members := make([]Member, 0, len(lives))
			for id, l := range lives {
				members = append(members, Member{ID: id, Instance: l.Instance})
			}
			c.board.Members(members)
		}
		c.board.Own(own)
		peers, m = c.board.Tell(now)
		c.told += uint64(len(peers))
		return c.board.Loads(now)
	})
	for _, p := range peers {
		c.tell(p, m)
	}
}

// Take takes a neighbour's datagram in, and hands what follows to the core.
func (c *Carrier) Take(from int, m []byte) {
	c.core.ExchangeLoads(func(now policy.Time, _ map[policy.ServerID]policy.OwnLoad) []policy.Load {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heard++
		c.board.Take(now, from, m)
		return c.board.Loads(now)
	})
}

// Seq is the count of the word told last, for Resume.
func (c *Carrier) Seq() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.board.Seq()
}

// Resume counts on from where another process of this gateway was.
func (c *Carrier) Resume(seq uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.board.Resume(seq)
}

// Counters gives what was told and heard.
func (c *Carrier) Counters() []slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []slog.Attr{slog.Uint64("told", c.told), slog.Uint64("heard", c.heard), slog.Uint64("dropped", c.board.Dropped())}
}
