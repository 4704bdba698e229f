package membership

import "math/bits"

// gossip holds news that is still to be spread, at most one of each machine.
type gossip struct {
	fresh   []*rumor // not sent yet
	sent    []*rumor // sent, the one that was sent longest ago first
	current map[string]*rumor
}

// rumor is news of one machine. It is void once there is newer one.
type rumor struct {
	update Update
	sent   int
	void   bool
}

// waiting returns how many machines there is news of.
func (g *gossip) waiting() int {
	return len(g.current)
}

// add has news spread, in place of older news of the same machine.
func (g *gossip) add(update Update) {
	name := update.Member.Name
	if old, ok := g.current[name]; ok {
		old.void = true
	}
	added := &rumor{update: update}
	if g.current == nil {
		g.current = make(map[string]*rumor)
	}
	g.current[name] = added
	g.fresh = append(g.fresh, added)
}

// take returns news for one message and counts it as sent once more. News that was sent often enough for this number
// of machines is dropped.
func (g *gossip) take(machines int) []Update {
	if len(g.current) == 0 {
		return nil
	}
	limit := 2 + 2*bits.Len(uint(machines))
	updates := make([]Update, 0, min(maxUpdates, len(g.current)))
	for range len(g.fresh) + len(g.sent) {
		if len(updates) == maxUpdates {
			break
		}
		next := g.pop()
		if next.void {
			continue
		}
		updates = append(updates, next.update)
		next.sent++
		if next.sent < limit {
			g.sent = append(g.sent, next)
			continue
		}
		delete(g.current, next.update.Member.Name)
	}
	return updates
}

// pop removes the news to be sent next.
func (g *gossip) pop() *rumor {
	source := &g.sent
	if len(g.fresh) > 0 {
		source = &g.fresh
	}
	next := (*source)[0]
	(*source)[0] = nil
	*source = (*source)[1:]
	if len(*source) == 0 {
		*source = nil
	}
	return next
}
