package replica

import (
	"sprucelane.example/sprucelane/coord/view"
)

// adoptView adopts a decided view if it is newer than the current one.
//
// This is safe at any time: a majority of the previous view's voters accepted the view, so no other view is
// decided for its epoch. The source of a view is synced in the new epoch at once: it has been wedged since it
// answered the prepare that led to the view, so its log is still the log that the proposer chose. This requires
// that the source adopts the view directly from the preceding epoch, which is checked.
func (c *core) adoptView(v view.View) {
	if v.Epoch <= c.epoch() {
		return
	}
	previous := c.acceptor.View
	wedged := c.acceptor.Wedged()
	if v.Source.Same(c.self) && c.hasDisk {
		c.invariant(v.Epoch == previous.Epoch+1 && wedged,
			"source of epoch %d has made no promise in the epoch before it (own epoch %d)", v.Epoch, previous.Epoch)
	}
	c.acceptor.Adopt(v)
	if v.Source.Same(c.self) {
		c.syncedEpoch = v.Epoch
	}
	c.record(recordView, viewRecord{View: v, Synced: c.syncedEpoch})
	c.proposer.abandon(c.now, 0)
	c.proposer.reasonSince = 0
	if c.hasDisk && v.IsVoter(c.self) || previous.IsVoter(c.self) {
		c.logEvent("view_adopted", "epoch", v.Epoch, "chain", v.String(), "voters", len(v.Voters),
			"source", v.Source.Node)
	}
	c.delayNewLeader(previous, v)
	c.enterView()
	if previous.InChain(c.self) && !c.inChain() {
		c.departedAt = c.now
	}
	c.checkDeparture()
	if c.onViewAdopted != nil {
		c.onViewAdopted(v)
	}
}

// enterView initializes the volatile state for the current view.
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
