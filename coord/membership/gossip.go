package membership

import "math/bits"

// gossip holds news that is still to be spread, at most one of each machine.
type broadcastQueue struct {
	unsent   []*rumor // not sent yet
	sent     []*rumor // sent, the one that was sent longest ago first
	byMember map[string]*rumor
}

// rumor is news of one machine. It is void once there is newer one.
type rumor struct {
	update        Update
	transmissions int
	superseded    bool
}

// waiting returns how many machines there is news of.
func (g *broadcastQueue) pending() int {
	return len(g.byMember)
}

// add has news spread, in place of older news of the same machine.
func (g *broadcastQueue) add(update Update) {
	name := update.Member.Name
	if old, ok := g.byMember[name]; ok {
		old.superseded = true
	}
	added := &rumor{update: update}
	if g.byMember == nil {
		g.byMember = make(map[string]*rumor)
	}
	g.byMember[name] = added
	g.unsent = append(g.unsent, added)
}

// take returns news for one message and counts it as sent once more. News that was sent often enough for this number
// of machines is dropped.
func (g *broadcastQueue) take(machines int) []Update {
	if len(g.byMember) == 0 {
		return nil
	}
	limit := 2 + 2*bits.Len(uint(machines))
	updates := make([]Update, 0, min(maxPiggyback, len(g.byMember)))
	for range len(g.unsent) + len(g.sent) {
		if len(updates) == maxPiggyback {
			break
		}
		next := g.pop()
		if next.superseded {
			continue
		}
		updates = append(updates, next.update)
		next.transmissions++
		if next.transmissions < limit {
			g.sent = append(g.sent, next)
			continue
		}
		delete(g.byMember, next.update.Member.Name)
	}
	return updates
}

// pop removes the news to be sent next.
func (g *broadcastQueue) pop() *rumor {
	source := &g.sent
	if len(g.unsent) > 0 {
		source = &g.unsent
	}
	next := (*source)[0]
	(*source)[0] = nil
	*source = (*source)[1:]
	if len(*source) == 0 {
		*source = nil
	}
	return next
}
