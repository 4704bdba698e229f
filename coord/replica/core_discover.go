package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// tellView answers a node that lags, at most every 50 ms.
func (c *core) tellView(to view.Member) {
	if c.epoch() == 0 {
		return
	}
	if p := c.peers[to.ID()]; p != nil {
		if p.tellBefore && c.now-p.toldAt < 50*time.Millisecond {
			return
		}
		p.toldAt, p.tellBefore = c.now, true
	}
	c.send(to, view.Decided{View: c.acceptor.View})
}

// discover asks the seeds for the view while no one of it is heard.
func (c *core) discover() {
	pause := helloInterval
	if c.epoch() == 0 {
		pause = tickInterval
	}
	if c.now-c.lastHello < pause-tickInterval/4 || len(c.seeds) == 0 {
		return
	}
	if c.epoch() > 0 && !c.lost() {
		return
	}
	c.lastHello = c.now
	addresses := append([]string(nil), c.seeds...)
	for _, m := range c.acceptor.View.Voters {
		addresses = append(addresses, m.Address)
	}
	for i := 0; i < min(2, len(addresses)); i++ {
		c.helloRound++
		address := addresses[c.helloRound%len(addresses)]
		c.send(view.Member{Address: address}, Hello{Epoch: c.epoch()})
	}
}

// stranger takes in that another life than the one addressed is at an address: an empty machine
// learns the view from whoever takes it for its earlier life.
func (c *core) stranger(now time.Duration, m view.Member) {
	c.now = now
	if c.disk {
		c.tellView(m)
	}
}

// lost reports whether the node hears nobody of the view it knows.
func (c *core) lost() bool {
	if !c.inChain() {
		return c.now-c.feed.heardAt > silenceLimit
	}
	return !c.hearsMajority()
}
