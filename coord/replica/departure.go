package replica

import (
	"time"
)

// leave starts this member's planned departure from the chain. It reports whether the chain is long enough to go on
// without this member; if not, it does nothing. onDeparted is called once the member has departed.
func (c *core) leave(now time.Duration, onDeparted func()) (possible bool) {
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

// announceDeparture marks this member as leaving, proposes a view without it if possible, and announces the departure
// to the other members by heartbeats.
func (c *core) announceDeparture(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.isVoter() && c.proposer.proposal == nil && !c.acceptor.Wedged() && c.reconfigurationReason() != "" {
		c.proposeView(reasonLeaving)
	}
	c.sendHeartbeats(false)
}

// checkDeparture calls onDeparted once a departing member is out of the chain and the others have shown that they
// know the view without it and have the complete prefix, or departureTimeout is over. If the process ended earlier,
// the failover would take as long as after a crash, and a member that is still fetching the prefix would have one
// source less.
func (c *core) checkDeparture() {
	if c.onDeparted == nil || c.inChain() {
		return
	}
	if c.othersComplete() || c.now-c.departedAt > departureTimeout {
		c.onDeparted()
		c.onDeparted = nil
	}
}

// othersComplete reports whether all other members of the chain have shown that they have the complete prefix of the
// current epoch or a later one.
func (c *core) othersComplete() bool {
	for _, m := range c.acceptor.View.Chain {
		if p := c.peerOf(m); !m.Same(c.self) && (p.epoch < c.epoch() || !p.prefixComplete) {
			return false
		}
	}
	return true
}
