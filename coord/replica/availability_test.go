package replica

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

const (
	// maxUnavailability is the maximum time from a loss to the next acknowledgement. A client proposes a command
	// again after a second without an answer.
	maxUnavailability = 2 * time.Second
	// maxRepairTime is the maximum time from the end of a loss until the whole chain has the prefix.
	maxRepairTime = 2 * time.Second
)

// expectAvailable schedules checks that, within maxUnavailability of a loss, commands proposed through each machine
// that reaches a majority are acknowledged, and that the chain is complete soon after the loss has ended. In runs
// with duels, with unordered messages or without clients it checks nothing.
func (c *campaign) expectAvailable(down time.Duration) {
	if c.duels || c.unordered || c.noClients {
		return
	}
	lostAt, fault := c.now, c.faults
	c.after(0, func() { c.probe(lostAt) })
	c.after(maxUnavailability/2, func() {
		if c.faults == fault {
			c.probe(lostAt)
		}
	})
	c.after(maxUnavailability, func() {
		if c.now < c.end && c.faults == fault && c.lastAck < lostAt && c.withinTolerance() {
			c.failf("no command was acknowledged since %v", c.lastAck)
		}
	})
	c.expectComplete(down)
}

// expectComplete schedules a check that the chain is complete within maxRepairTime of the end of a loss.
func (c *campaign) expectComplete(down time.Duration) {
	if c.duels || c.unordered || c.noClients {
		return
	}
	fault := c.faults
	c.after(down+maxRepairTime, func() {
		if c.now < c.end && c.faults == fault && !c.chainComplete() {
			c.failf("the chain isn't complete %v after the end of a loss", maxRepairTime)
		}
	})
}

// probe proposes a command through each machine that reaches a majority, and schedules a check that it was
// acknowledged within maxUnavailability of the loss.
func (c *campaign) probe(lostAt time.Duration) {
	fault := c.faults
	for _, n := range c.members() {
		if !c.reachesMajority(n) {
			continue
		}
		incarnation := n.incarnation
		c.probes++
		id := fmt.Sprintf("probe-%d-%s", c.probes, n.name)
		acknowledged := false
		n.propose(id, func(chain.Outcome) { acknowledged = true })
		c.after(lostAt+maxUnavailability-c.now, func() {
			if c.now >= c.end || c.faults != fault || n.incarnation != incarnation || acknowledged {
				return
			}
			if c.withinTolerance() && c.reachesMajority(n) {
				c.failf("%s reaches a majority, but its command %s isn't acknowledged", n.name, id)
			}
		})
	}
}

// reachesMajority reports whether a machine is healthy, is a voter of the newest view, and has working links, in both
// directions, to a majority of healthy voters, itself included.
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

// healthy reports whether a machine and its disk work.
func (c *campaign) healthy(n *simulatedNode) bool {
	return n.up && !n.removed && !n.paused && !n.diskStalled && !n.diskFull && !n.diskUnhealthy && n.diskSlowdown <= 1
}

// withinTolerance reports whether no more machines are lost than the system must tolerate.
func (c *campaign) withinTolerance() bool {
	lost := 0
	for _, n := range c.members() {
		if n.incarnation > 0 && !c.healthy(n) {
			lost++
		}
	}
	return lost <= c.tolerance
}
