package replica

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

const (
	// expectedPause is the longest time to an acknowledgement after a loss. A client sends an order
	// again after a second.
	maxUnavailability = 2 * time.Second
	// expectedRepair is the longest time from the end of a loss to a whole chain.
	maxRepairTime = 2 * time.Second
)

// expect checks, where nothing but the losses to be borne goes on, that soon after a loss each machine in touch with a majority has
// its orders acknowledged, and that the chain is whole soon after the loss's end.
func (c *campaign) expectAvailable(down time.Duration) {
	if c.duels || c.unordered || c.noClients {
		return
	}
	lost, number := c.now, c.faults
	c.after(0, func() { c.probe(lost) })
	c.after(maxUnavailability/2, func() {
		if c.faults == number {
			c.probe(lost)
		}
	})
	c.after(maxUnavailability, func() {
		if c.now < c.end && c.faults == number && c.lastAck < lost && c.withinTolerance() {
			c.failf("nothing is acknowledged since %v", c.lastAck)
		}
	})
	c.expectComplete(down)
}

// expectWhole checks that the chain is whole soon after the loss's end.
func (c *campaign) expectComplete(down time.Duration) {
	if c.duels || c.unordered || c.noClients {
		return
	}
	number := c.faults
	c.after(down+maxRepairTime, func() {
		if c.now < c.end && c.faults == number && !c.chainComplete() {
			c.failf("the chain isn't whole %v after the end of a loss", maxRepairTime)
		}
	})
}

// probe has each machine that is in touch with a majority order something, which must be acknowledged in time after the loss.
func (c *campaign) probe(lost time.Duration) {
	number := c.faults
	for _, n := range c.members() {
		if !c.reachesMajority(n) {
			continue
		}
		incarnation := n.incarnation
		c.probes++
		id := fmt.Sprintf("probe-%d-%s", c.probes, n.name)
		acknowledged := false
		n.propose(id, func(chain.Outcome) { acknowledged = true })
		c.after(lost+maxUnavailability-c.now, func() {
			if c.now >= c.end || c.faults != number || n.incarnation != incarnation || acknowledged {
				return
			}
			if c.withinTolerance() && c.reachesMajority(n) {
				c.failf("%s reaches a majority, and its order %s isn't acknowledged", n.name, id)
			}
		})
	}
}

// reachesMajority reports whether a machine votes in the newest view and works, and so do a majority of the voters that it reaches
// both ways.
func (c *campaign) reachesMajority(n *simulatedNode) bool {
	newest := c.newestView()
	if newest == nil || !c.healthy(n) || !newest.core.view().IsVoter(n.core.self) {
		return false
	}
	reached := 0
	for _, other := range c.members() {
		if !c.healthy(other) || !newest.core.view().IsVoter(other.core.self) {
			continue
		}
		if c.partitions[link{n.address, other.address}] == 0 && c.partitions[link{other.address, n.address}] == 0 {
			reached++
		}
	}
	return reached >= newest.core.view().Majority()
}

// works reports whether a machine runs and its disk does.
func (c *campaign) healthy(n *simulatedNode) bool {
	return n.up && !n.removed && !n.paused && !n.diskStalled && !n.diskFull && !n.diskUnhealthy && n.diskSlowdown <= 1
}

// coreUp reports whether no more machines are lost than are to be borne.
func (c *campaign) withinTolerance() bool {
	lost := 0
	for _, n := range c.members() {
		if n.incarnation > 0 && !c.healthy(n) {
			lost++
		}
	}
	return lost <= c.tolerance
}
