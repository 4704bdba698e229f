package replica

import (
	"time"
)

// mayLeave reports whether the chain has enough members without this one.
func (c *core) mayLeave() bool {
	return !c.inChain() || len(c.acceptor.View.Chain)-1 > c.tolerance
}

// leave hands this member's place over and calls onLeft once it is out; it returns false where the chain can't spare it.
func (c *core) leave(now time.Duration, onDeparted func()) (spared bool) {
	if !c.mayLeave() {
		return false
	}
	if !c.inChain() {
		onDeparted()
		return true
	}
	c.onDeparted = onDeparted
	c.announceDeparture(now)
	return true
}

// handOver asks the others, at once, to go on without this member.
func (c *core) announceDeparture(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.isVoter() && c.proposer.proposal == nil && !c.acceptor.Wedged() && c.reconfigurationReason() != "" {
		c.proposeView("leaving member")
	}
	c.sendHeartbeats(false)
}

// leaveLimit is how long a member that is out of the chain waits for the others to know, and to hold all that it holds.
const departureTimeout = 1000 * time.Millisecond

// checkLeft calls onLeft once a member that leaves is out of the chain, and the others have shown that they know and that the chain is
// whole without it: before that they take as long to go on as after a crash, and its copies are needed.
func (c *core) checkDeparture() {
	if c.onDeparted == nil || c.inChain() {
		return
	}
	if c.othersComplete() || c.now-c.departedAt > departureTimeout {
		c.onDeparted()
		c.onDeparted = nil
	}
}

// othersWhole reports whether all in the chain have shown that they are whole in the present epoch or a later one.
func (c *core) othersComplete() bool {
	for _, m := range c.acceptor.View.Chain {
		if p := c.peerOf(m); !m.Same(c.self) && (p.epoch < c.epoch() || !p.prefixComplete) {
			return false
		}
	}
	return true
}
