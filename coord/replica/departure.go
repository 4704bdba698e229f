package replica

import (
	"time"
)

// leave starts this member's planned departure from the chain and reports whether the chain can spare it.
// onDeparted is called once the member is out.
func (c *core) leave(now time.Duration, onDeparted func()) (spared bool) {
	if !c.inChain() {
		onDeparted()
		return true
	}
	if len(c.acceptor.View.Chain)-1 <= c.tolerance {
		return false
	}
	c.onDeparted = onDeparted
	c.announceDeparture(now)
	return true
}

// announceDeparture asks the others, at once, to go on without this member.
func (c *core) announceDeparture(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.isVoter() && c.proposer.proposal == nil && !c.acceptor.Wedged() && c.reconfigurationReason() != "" {
		c.proposeView(reasonLeaving)
	}
	c.sendHeartbeats(false)
}

// checkDeparture calls onDeparted once a departing member is out of the chain and the others have shown that
// they know, and that they have the complete prefix. Were the process to end earlier, the others would take
// as long to go on as after a crash, and a member that still fetches the prefix would have one source less.
func (c *core) checkDeparture() {
	if c.onDeparted == nil || c.inChain() {
		return
	}
	if c.othersComplete() || c.now-c.departedAt > departureTimeout {
		c.onDeparted()
		c.onDeparted = nil
	}
}

// othersComplete reports whether all in the chain have shown that they have the complete prefix, in the
// present epoch or a later one.
func (c *core) othersComplete() bool {
	for _, m := range c.acceptor.View.Chain {
		if p := c.peerOf(m); !m.Same(c.self) && (p.epoch < c.epoch() || !p.prefixComplete) {
			return false
		}
	}
	return true
}
