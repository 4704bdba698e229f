package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// tellView answers a node that lags, at most every 50 ms.
func (c *core) sendView(to view.Member) {
	if c.epoch() == 0 {
		return
	}
	if p := c.peers[to.ID()]; p != nil {
		if p.viewSent && c.now-p.viewSentAt < 50*time.Millisecond {
			return
		}
		p.viewSentAt, p.viewSent = c.now, true
	}
	c.send(to, view.Decided{View: c.acceptor.View})
}

// discover asks the seeds for the view while no one of it is heard.
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

// stranger takes in that another life than the one addressed is at an address: an empty machine
// learns the view from whoever takes it for its earlier life.
func (c *core) onIncarnationMismatch(now time.Duration, m view.Member) {
	c.now = now
	if c.hasDisk {
		c.sendView(m)
	}
}

// lost reports whether the node hears nobody of the view it knows.
func (c *core) isIsolated() bool {
	if !c.inChain() {
		return c.now-c.learner.lastContact > suspicionTimeout
	}
	return !c.reachesMajority()
}
