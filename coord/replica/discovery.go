package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// sendView sends the current view to a member that has an older one. A known peer is sent it at most once in
// viewSendInterval.
func (c *core) sendView(to view.Member) {
	if c.epoch() == 0 {
		return
	}
	if p := c.peers[to.ID()]; p != nil {
		if p.viewSent && c.now-p.viewSentAt < viewSendInterval {
			return
		}
		p.viewSentAt, p.viewSent = c.now, true
	}
	c.send(to, view.Decided{View: c.acceptor.View})
}

// discoverView queries seeds and voters for the newest view while this node is isolated or knows no view. Each time
// it queries the next two addresses in turn.
func (c *core) discoverView() {
	pause := viewQueryInterval
	if c.epoch() == 0 {
		pause = tickInterval
	}
	if c.now-c.lastViewQuery < pause-tickInterval/4 || len(c.seeds) == 0 {
		return
	}
	if c.epoch() > 0 && !c.isIsolated() {
		return
	}
	c.lastViewQuery = c.now
	addresses := append([]string(nil), c.seeds...)
	for _, m := range c.acceptor.View.Voters {
		addresses = append(addresses, m.Address)
	}
	for i := 0; i < min(2, len(addresses)); i++ {
		c.viewQueries++
		address := addresses[c.viewQueries%len(addresses)]
		c.send(view.Member{Address: address}, ViewQuery{Epoch: c.epoch()})
	}
}

// onIncarnationMismatch is called when a message wasn't sent because its addressee's address is now used by another
// incarnation, m. It sends the view to m, so that a machine that returns with an empty disk learns the view from the
// members that still address its previous incarnation.
func (c *core) onIncarnationMismatch(now time.Duration, m view.Member) {
	c.now = now
	if c.hasDisk {
		c.sendView(m)
	}
}

// isIsolated reports whether this node has lost contact with the view that it knows: a chain member is isolated if it
// doesn't reach a majority of the voters, any other node if it has received nothing from its upstream for
// suspicionTimeout.
func (c *core) isIsolated() bool {
	if !c.inChain() {
		return c.now-c.learner.lastContact > suspicionTimeout
	}
	return !c.reachesMajority()
}
