package replica

import (
	"time"
)

// mayLeave reports whether the chain has enough members without this one.
func (c *core) mayLeave() bool {
	return !c.inChain() || len(c.acceptor.View.Chain)-1 > c.tolerance
}

// leave hands this member's place over and calls onLeft once it is out; it returns false where the chain can't spare it.
func (c *core) leave(now time.Duration, onLeft func()) (spared bool) {
	if !c.mayLeave() {
		return false
	}
	if !c.inChain() {
		onLeft()
		return true
	}
	c.onLeft = onLeft
	c.handOver(now)
	return true
}

// handOver asks the others, at once, to go on without this member.
func (c *core) handOver(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.isVoter() && c.agree.proposal == nil && !c.acceptor.Wedged() && c.need() != "" {
		c.propose("leaving member")
	}
	c.beat(false)
}

// leaveLimit is how long a member that is out of the chain waits for the others to know, and to hold all that it holds.
const leaveLimit = 1000 * time.Millisecond

// checkLeft calls onLeft once a member that leaves is out of the chain, and the others have shown that they know and that the chain is
// whole without it: before that they take as long to go on as after a crash, and its copies are needed.
func (c *core) checkLeft() {
	if c.onLeft == nil || c.inChain() {
		return
	}
	if c.othersWhole() || c.now-c.leftAt > leaveLimit {
		c.onLeft()
		c.onLeft = nil
	}
}

// othersWhole reports whether all in the chain have shown that they are whole in the present epoch or a later one.
func (c *core) othersWhole() bool {
	for _, m := range c.acceptor.View.Chain {
		if p := c.peerOf(m); !m.Same(c.self) && (p.epoch < c.epoch() || !p.whole) {
			return false
		}
	}
	return true
}
