package batchproxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/protocol"
)

// abroadTokens is how much less must wait at a batch process of another zone for it to be asked first: its bytes cost, and it is further.
const crossZoneTokens = 100_000

// leastBusyFirst puts first the one of two batch processes, drawn from those that take batch jobs, at which less waits. The drawing keeps
// gateways, which all know the same, from handing everything to the same one. Where no backlog is told the order stays.
func (c *Caller) leastBacklogFirst(order []string, members []protocol.StoreMember) []string {
	if ablation.Off(ablation.StoreBacklog) {
		return order
	}
	now := time.Now()
	open := make([]*protocol.StoreMember, 0, len(members))
	told := false
	c.mu.Lock()
	for i := range members {
		member := &members[i]
		if member.State != protocol.StoreActive || c.isAvoided(member.IP, now) {
			continue
		}
		_, known := c.backlogs.Backlog(now, member.Node)
		told = told || known
		open = append(open, member)
	}
	c.mu.Unlock()
	if !told || len(open) < 2 {
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
	return append([]string{ip}, slices.DeleteFunc(slices.Clone(order), func(other string) bool { return other == ip })...)
}

// backlog gives what waits at a batch process, with what another zone costs. One that tells nothing has nothing waiting.
func (c *Caller) backlog(member *protocol.StoreMember, now time.Time) int64 {
	tokens, _ := c.backlogs.Backlog(now, member.Node)
	if member.Zone != c.settings.Zone {
		tokens += crossZoneTokens
	}
	return tokens
}
