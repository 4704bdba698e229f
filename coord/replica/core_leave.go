package replica

import (
	"time"
)

// mayLeave reports whether the chain has enough members without this one.
func (c *core) mayLeave() bool {
	return !c.inChain() || len(c.acceptor.View.Chain)-1 > c.tolerance
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

// leaveLimit is how long a member that is out of the chain waits for the others to know.
const leaveLimit = 600 * time.Millisecond

// checkLeft calls onLeft once a member that leaves is out of the chain, and the others have shown that they know: before that they
// take as long to go on as after a crash.
func (c *core) checkLeft() {
	if c.onLeft == nil || c.inChain() {
		return
	}
	if c.othersKnow() || c.now-c.leftAt > leaveLimit {
		c.onLeft()
		c.onLeft = nil
	}
}

// othersKnow reports whether all in the chain have shown themselves in the present epoch or a later one.
func (c *core) othersKnow() bool {
	for _, m := range c.acceptor.View.Chain {
		if !m.Same(c.self) && c.peerOf(m).epoch < c.epoch() {
			return false
		}
	}
	return true
}
