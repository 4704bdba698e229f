package batchproxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/protocol"
)

// crossZoneTokens is how much shorter, in tokens, the backlog of a store in another zone must be for that store
// to be preferred.
const crossZoneTokens = 100_000

// leastBacklogFirst draws two of the stores that accept batch jobs and moves the one with the shorter backlog to
// the front of the order (power of two choices). The stores are drawn at random so that gateways with the same
// information don't all submit to one store. If no backlog is known, the order doesn't change.
func (c *Caller) leastBacklogFirst(order []string, members []protocol.StoreMember) []string {
	if ablation.Off(ablation.StoreBacklog) {
		return order
	}
	now := time.Now()
	open := make([]*protocol.StoreMember, 0, len(members))
	anyKnown := false
	c.mu.Lock()
	for i := range members {
		member := &members[i]
		if member.State != protocol.StoreActive || c.isAvoided(member.IP, now) {
			continue
		}
		_, known := c.backlogs.Backlog(now, member.Node)
		anyKnown = anyKnown || known
		open = append(open, member)
	}
	c.mu.Unlock()
	if !anyKnown || len(open) < 2 {
		return order
	}
	first := rand.IntN(len(open))
	second := rand.IntN(len(open) - 1)
	if second >= first {
		second++
	}
	if c.backlog(open[second], now) < c.backlog(open[first], now) {
		first = second
	}
	ip := open[first].IP
	return append([]string{ip}, slices.DeleteFunc(slices.Clone(order),
		func(other string) bool { return other == ip })...)
}

// backlog returns the number of tokens that wait at a store, plus crossZoneTokens if the store is in another
// zone. A store that has reported no backlog counts as having none.
func (c *Caller) backlog(member *protocol.StoreMember, now time.Time) int64 {
	tokens, _ := c.backlogs.Backlog(now, member.Node)
	if member.Zone != c.settings.Zone {
		tokens += crossZoneTokens
	}
	return tokens
}
