package replica

import (
	"sprucelane.example/sprucelane/coord/view"
)

// adopt moves to a decided view.
func (c *core) adoptView(v view.View) {
	if v.Epoch <= c.epoch() {
		return
	}
	before := c.acceptor.View
	wedged := c.acceptor.Wedged()
	if v.Source.Same(c.self) && c.hasDisk {
		c.invariant(v.Epoch == before.Epoch+1 && wedged,
			"source of epoch %d without a promise (epoch %d)", v.Epoch, before.Epoch)
	}
	c.acceptor.Adopt(v)
	if v.Source.Same(c.self) {
		c.syncedEpoch = v.Epoch
	}
	c.record(recordView, viewRecord{View: v, Synced: c.syncedEpoch})
	c.proposer.abandon(c.now, 0)
	c.proposer.reasonSince = 0
	if c.hasDisk && v.IsVoter(c.self) || before.IsVoter(c.self) {
		c.logEvent("view", "epoch", v.Epoch, "chain", v.String(), "voters", len(v.Voters), "source", v.Source.Node)
	}
	c.startLease(before, v)
	c.enterView()
	if before.InChain(c.self) && !c.inChain() {
		c.departedAt = c.now
	}
	c.checkDeparture()
	if c.onViewAdopted != nil {
		c.onViewAdopted(v)
	}
}

// takeLead sets when a new head may act: a head that stays goes on.
func (c *core) startLease(before, v view.View) {
	if !v.Head().Same(c.self) {
		return
	}
	stays := before.Head().Same(c.self) && v.Epoch == before.Epoch+1
	if !stays {
		c.lease.notBefore = c.now + newLeaderDelay
	}
	c.lease.epoch = v.Epoch
}

// enterView prepares the volatile state of the present view.
func (c *core) enterView() {
	for _, m := range c.acceptor.View.Voters {
		c.peerOf(m)
	}
	for id, p := range c.peers {
		if !c.acceptor.View.IsVoter(p.member) && !p.candidate {
			delete(c.peers, id)
		}
	}
	c.enterChain()
	c.resetEpochConfirmation()
	c.requests.resendDue = true
	if c.acceptor.Wedged() {
		c.proposer.wedgedSince = c.now
	}
}
