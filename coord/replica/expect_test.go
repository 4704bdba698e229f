package replica

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

const (
	// expectedPause is the longest time to an acknowledgement after a loss. A client sends an order
	// again after a second.
	expectedPause = 2 * time.Second
	// expectedRepair is the longest time from the end of a loss to a whole chain.
	expectedRepair = 2 * time.Second
)

// expect checks, where nothing but the losses to be borne goes on, that soon after a loss each machine in touch with a majority has
// its orders acknowledged, and that the chain is whole soon after the loss's end.
func (c *campaign) expect(down time.Duration) {
	if c.duels || c.unordered || c.silent {
		return
	}
	lost, number := c.now, c.faults
	c.after(0, func() { c.probe(lost) })
	c.after(expectedPause/2, func() {
		if c.faults == number {
			c.probe(lost)
		}
	})
	c.after(expectedPause, func() {
		if c.now < c.end && c.faults == number && c.lastAck < lost && c.coreUp() {
			c.failf("nothing is acknowledged since %v", c.lastAck)
		}
	})
	c.expectWhole(down)
}

// expectWhole checks that the chain is whole soon after the loss's end.
func (c *campaign) expectWhole(down time.Duration) {
	if c.duels || c.unordered || c.silent {
		return
	}
	number := c.faults
	c.after(down+expectedRepair, func() {
		if c.now < c.end && c.faults == number && !c.settled() {
			c.failf("the chain isn't whole %v after the end of a loss", expectedRepair)
		}
	})
}

// probe has each machine that is in touch with a majority order something, which must be acknowledged in time after the loss.
func (c *campaign) probe(lost time.Duration) {
	number := c.faults
	for _, n := range c.machines() {
		if !c.reachesMajority(n) {
			continue
		}
		life := n.life
		c.probes++
		id := fmt.Sprintf("probe-%d-%s", c.probes, n.name)
		acknowledged := false
		n.propose(id, func(chain.Outcome) { acknowledged = true })
		c.after(lost+expectedPause-c.now, func() {
			if c.now >= c.end || c.faults != number || n.life != life || acknowledged {
				return
			}
			if c.coreUp() && c.reachesMajority(n) {
				c.failf("%s reaches a majority, and its order %s isn't acknowledged", n.name, id)
			}
		})
	}
}

// reachesMajority reports whether a machine votes in the newest view and works, and so do a majority of the voters that it reaches
// both ways.
func (c *campaign) reachesMajority(n *simulatedNode) bool {
	newest := c.newest()
	if newest == nil || !c.works(n) || !newest.core.view().IsVoter(n.core.self) {
		return false
	}
	reached := 0
	for _, other := range c.machines() {
		if !c.works(other) || !newest.core.view().IsVoter(other.core.self) {
			continue
		}
		if c.cuts[link{n.address, other.address}] == 0 && c.cuts[link{other.address, n.address}] == 0 {
			reached++
		}
	}
	return reached >= newest.core.view().Majority()
}

// works reports whether a machine runs and its disk does.
func (c *campaign) works(n *simulatedNode) bool {
	return n.up && !n.gone && !n.frozen && !n.stalled && !n.full && !n.ailing && n.slow <= 1
}

// coreUp reports whether no more machines are lost than are to be borne.
func (c *campaign) coreUp() bool {
	lost := 0
	for _, n := range c.machines() {
		if n.life > 0 && !c.works(n) {
			lost++
		}
	}
	return lost <= c.tolerance
}
