package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// proposerState is this member's state as a proposer of the next view. Package coord/view implements the acceptor
// and the choice of the proposed value.
type proposerState struct {
	proposal     *view.Proposal // nil: no proposal is in progress
	startedAt    time.Duration
	majorityAt   time.Duration // when a majority had answered the prepare; zero: not yet
	acceptSent   bool
	backoffUntil time.Duration // no new proposal before this moment, after a failed attempt
	reasonSince  time.Duration // since when there is a reason for another view; zero: there is none
	highestRound uint64        // highest round seen in any message; the next proposal uses a higher one
	wedgedSince  time.Duration
}

// abandon gives up the proposal, if there is one, and prevents another one until the backoff is over.
func (p *proposerState) abandon(now time.Duration, backoff time.Duration) {
	p.proposal = nil
	p.acceptSent = false
	p.backoffUntil = now + backoff
}

// Backoffs after an abandoned proposal are drawn from [minimum, maximum), so that two proposers don't duel forever.
// The minimum after a time-out is zero.
const (
	minRejectedBackoff = 100 * time.Millisecond
	maxRejectedBackoff = 300 * time.Millisecond
	maxTimedOutBackoff = 300 * time.Millisecond
)

// considerReconfiguration starts or continues a proposal if there is a reason for another view.
func (c *core) considerReconfiguration() {
	c.expireReachability()
	if !c.isVoter() {
		return
	}
	if c.proposer.proposal != nil {
		if c.now-c.proposer.startedAt > proposalTimeout {
			c.proposer.abandon(c.now, c.randomBackoff(0, maxTimedOutBackoff))
			return
		}
		c.advanceProposal()
		return
	}
	reason := c.reconfigurationReason()
	if reason == "" {
		c.proposer.reasonSince = 0
		return
	}
	if c.proposer.reasonSince == 0 {
		c.proposer.reasonSince = c.now
	}
	turn := c.proposer.reasonSince + time.Duration(c.proposerRank())*proposerStagger
	if c.now < c.proposer.backoffUntil || c.now < turn {
		return
	}
	c.proposeView(reason)
}

// proposeView starts a proposal with a higher number than all that this member has seen.
func (c *core) proposeView(reason string) {
	round := max(c.proposer.highestRound, c.acceptor.Promised.Round) + 1
	c.proposer.highestRound = round
	number := view.ProposalNumber{Round: round, Member: c.self.ID()}
	c.proposer.proposal = view.NewProposal(c.acceptor.View, number)
	c.proposer.startedAt = c.now
	c.proposer.majorityAt = 0
	c.proposer.acceptSent = false
	c.logEvent("view_proposed", "epoch", c.epoch()+1, "reason", reason)
	prepare := c.proposer.proposal.Prepare()
	for _, m := range c.acceptor.View.Voters {
		c.send(m, prepare)
	}
	c.onPrepare(c.self, prepare)
}

// advanceProposal sends the accept once the prepare responses determine a value, and all voters that are alive have
// responded or prepareGracePeriod is over.
func (c *core) advanceProposal() {
	p := c.proposer.proposal
	if p == nil || c.proposer.acceptSent || !p.HasMajority() {
		return
	}
	if c.proposer.majorityAt == 0 {
		c.proposer.majorityAt = c.now
	}
	if !c.allAlivePrepared(p) && c.now-c.proposer.majorityAt < prepareGracePeriod {
		return
	}
	if !p.Choose(c.isStaying, c.planMembers) {
		return
	}
	c.proposer.acceptSent = true
	accept := p.Accept()
	for _, m := range c.acceptor.View.Voters {
		c.send(m, accept)
	}
	c.onAccept(c.self, accept)
}

// allAlivePrepared reports whether all voters that are alive have answered the prepare.
func (c *core) allAlivePrepared(p *view.Proposal) bool {
	for _, m := range p.View.Voters {
		if c.alive(m) && !p.HasPromised(m) {
			return false
		}
	}
	return true
}

// onPrepare answers a proposer's prepare. A prepare response wedges this member: until the member adopts the next
// view, its log doesn't change, and so remains as described in the response.
func (c *core) onPrepare(from view.Member, m view.Prepare) {
	if !c.reconcileView(from, m.View) {
		return
	}
	c.proposer.highestRound = max(c.proposer.highestRound, m.Ballot.Round)
	response, changed := c.acceptor.OnPrepare(m, view.LogState{Synced: c.syncedEpoch, End: c.log.LastIndex()})
	c.respond(from, response, changed)
}

// onAccept answers a proposer's accept.
func (c *core) onAccept(from view.Member, m view.Accept) {
	if !c.reconcileView(from, m.View) {
		return
	}
	c.proposer.highestRound = max(c.proposer.highestRound, m.Ballot.Round)
	response, changed := c.acceptor.OnAccept(m)
	c.respond(from, response, changed)
}

// reconcileView adopts the proposer's view if it is newer than this member's view, or sends this member's view to
// the proposer if the proposer's is older. It reports whether this member may answer the proposer.
func (c *core) reconcileView(from view.Member, proposerView view.View) bool {
	c.adoptView(proposerView)
	if proposerView.Epoch < c.epoch() {
		c.sendView(from)
		return false
	}
	return c.hasDisk
}

// respond sends an acceptor's response, or passes it to this member's own proposal. If the acceptor's state has
// changed, it must be durable before the response is sent, and this member is wedged. A pending staleness proof is
// then discarded, because it depends on commands of this epoch, which are no longer replicated.
func (c *core) respond(to view.Member, response any, changed bool) {
	if changed {
		c.proposer.wedgedSince = c.now
		c.staleness.pending = false
		c.record(recordAcceptor, acceptorRecord{
			Epoch:          c.epoch(),
			Promised:       c.acceptor.Promised,
			AcceptedBallot: c.acceptor.AcceptedBallot,
			Accepted:       c.acceptor.Accepted,
		})
	}
	if response == nil {
		return
	}
	if !to.Same(c.self) {
		c.send(to, response)
		return
	}
	switch m := response.(type) {
	case view.PrepareResponse:
		c.onPrepareResponse(m)
	case view.AcceptResponse:
		c.onAcceptResponse(m)
	case view.Reject:
		c.onReject(m)
	}
}

// onPrepareResponse counts a response to this member's own prepare.
func (c *core) onPrepareResponse(m view.PrepareResponse) {
	if c.proposer.proposal == nil {
		return
	}
	c.proposer.proposal.OnPrepareResponse(m)
	c.advanceProposal()
}

// onReject abandons this member's proposal if a member has promised a higher number.
func (c *core) onReject(m view.Reject) {
	c.proposer.highestRound = max(c.proposer.highestRound, m.Promised.Round)
	p := c.proposer.proposal
	if p == nil || m.Epoch != c.epoch() || !p.Number.Less(m.Promised) {
		return
	}
	c.proposer.abandon(c.now, c.randomBackoff(minRejectedBackoff, maxRejectedBackoff))
}

// onAcceptResponse counts an acceptance of this member's own proposal. Once a majority has accepted it, the view is
// decided, and sent to the voters of the previous and of the decided view.
func (c *core) onAcceptResponse(m view.AcceptResponse) {
	if c.proposer.proposal == nil {
		return
	}
	decided := c.proposer.proposal.OnAcceptResponse(m)
	if decided == nil {
		return
	}
	previous := c.acceptor.View
	c.adoptView(*decided)
	for _, m := range previous.Voters {
		c.send(m, view.Decided{View: *decided})
	}
	for _, m := range decided.Voters {
		if !previous.IsVoter(m) {
			c.send(m, view.Decided{View: *decided})
		}
	}
}

// randomBackoff returns a random duration from [from, to).
func (c *core) randomBackoff(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

// proposerRank returns the number of members before this one in proposerOrder that are alive and not leaving.
func (c *core) proposerRank() int {
	rank := 0
	for _, m := range c.proposerOrder() {
		if m.Same(c.self) {
			return rank
		}
		if c.alive(m) && !c.isLeaving(m) {
			rank++
		}
	}
	return rank
}

// proposerOrder returns the voters in the order in which they may propose a view. The neighbours of a suspected
// member come first, because they exchange heartbeats with it and depend on it most. The other members of the chain
// follow, then the voters outside of the chain.
func (c *core) proposerOrder() []view.Member {
	var members []view.Member
	add := func(m view.Member) {
		if !m.IsZero() && view.Index(members, m) < 0 {
			members = append(members, m)
		}
	}
	for _, m := range c.acceptor.View.Chain {
		if !c.alive(m) {
			predecessor, successor := c.acceptor.View.Adjacent(m)
			add(predecessor)
			add(successor)
		}
	}
	for _, m := range c.acceptor.View.Chain {
		add(m)
	}
	for _, m := range c.acceptor.View.Voters {
		add(m)
	}
	return members
}
