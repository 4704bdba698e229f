package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// agreementState is the member's part as a proposer.
type proposerState struct {
	proposal     *view.Proposal
	startedAt    time.Duration
	majorityAt   time.Duration
	acceptSent   bool
	backoffUntil time.Duration // after a failed attempt
	reasonSince  time.Duration // zero: no need seen
	highestRound uint64
	wedgedSince  time.Duration
	reason       string
}

func (a *proposerState) abandon(now time.Duration, backoff time.Duration) {
	a.proposal = nil
	a.acceptSent = false
	a.backoffUntil = now + backoff
}

func (c *core) recordAcceptorState() {
	c.record(recordAcceptor, acceptorRecord{
		Epoch:          c.epoch(),
		Promised:       c.acceptor.Promised,
		AcceptedBallot: c.acceptor.AcceptedBallot,
		Accepted:       c.acceptor.Accepted,
	})
}

// meet adopts a newer view that a proposer stands in, and corrects one that lags.
func (c *core) reconcileView(from view.Member, present view.View) bool {
	c.adoptView(present)
	if present.Epoch < c.epoch() {
		c.sendView(from)
		return false
	}
	return c.hasDisk
}

func (c *core) onPrepare(from view.Member, m view.Prepare) {
	if !c.reconcileView(from, m.View) {
		return
	}
	c.proposer.highestRound = max(c.proposer.highestRound, m.Ballot.Round)
	response, changed := c.acceptor.OnPrepare(m, view.LogState{Synced: c.syncedEpoch, End: c.log.LastIndex()})
	if changed {
		c.noteWedged()
		c.recordAcceptorState()
	}
	c.reply(from, response)
}

func (c *core) noteWedged() {
	c.proposer.wedgedSince = c.now
	c.staleness.pending = false
}

func (c *core) onAccept(from view.Member, m view.Accept) {
	if !c.reconcileView(from, m.View) {
		return
	}
	c.proposer.highestRound = max(c.proposer.highestRound, m.Ballot.Round)
	response, changed := c.acceptor.OnAccept(m)
	if changed {
		c.noteWedged()
		c.recordAcceptorState()
	}
	c.reply(from, response)
}

// answer sends a reply of the acceptor, or hands it to the own proposal.
func (c *core) reply(to view.Member, response any) {
	if response == nil {
		return
	}
	if !to.Same(c.self) {
		c.send(to, response)
		return
	}
	switch m := response.(type) {
	case view.PrepareResponse:
		c.onPromise(m)
	case view.AcceptResponse:
		c.onAccepted(m)
	case view.Reject:
		c.onRefused(m)
	}
}

func (c *core) onPromise(m view.PrepareResponse) {
	if c.proposer.proposal == nil {
		return
	}
	c.proposer.proposal.OnPrepareResponse(m)
	c.advanceProposal()
}

func (c *core) onRefused(m view.Reject) {
	c.proposer.highestRound = max(c.proposer.highestRound, m.Promised.Round)
	p := c.proposer.proposal
	if p == nil || m.Epoch != c.epoch() || !p.Number.Less(m.Promised) {
		return
	}
	c.proposer.abandon(c.now, c.randomBackoff(100*time.Millisecond, 300*time.Millisecond))
}

func (c *core) onAccepted(m view.AcceptResponse) {
	if c.proposer.proposal == nil {
		return
	}
	decided := c.proposer.proposal.OnAcceptResponse(m)
	if decided == nil {
		return
	}
	before := c.acceptor.View
	c.adoptView(*decided)
	for _, m := range before.Voters {
		c.send(m, view.Decided{View: *decided})
	}
	for _, m := range decided.Voters {
		if !before.IsVoter(m) {
			c.send(m, view.Decided{View: *decided})
		}
	}
}

func (c *core) randomBackoff(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

// considerView starts or continues an attempt on the next view where there is a need for one.
func (c *core) considerReconfiguration() {
	c.expireReachability()
	if !c.isVoter() {
		return
	}
	if c.proposer.proposal != nil {
		if c.now-c.proposer.startedAt > proposalTimeout {
			c.proposer.abandon(c.now, c.randomBackoff(0, 300*time.Millisecond))
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
	if c.now < c.proposer.backoffUntil || c.now < c.proposer.reasonSince+time.Duration(c.proposerRank())*proposerStagger {
		return
	}
	c.proposeView(reason)
}

// propose starts an attempt.
func (c *core) proposeView(reason string) {
	round := max(c.proposer.highestRound, c.acceptor.Promised.Round) + 1
	c.proposer.highestRound = round
	c.proposer.proposal = view.NewProposal(c.acceptor.View, view.ProposalNumber{Round: round, Member: c.self.ID()})
	c.proposer.startedAt = c.now
	c.proposer.majorityAt = 0
	c.proposer.acceptSent = false
	c.proposer.reason = reason
	c.logEvent("proposes a view", "epoch", c.epoch()+1, "reason", reason)
	prepare := c.proposer.proposal.Prepare()
	for _, m := range c.acceptor.View.Voters {
		c.send(m, prepare)
	}
	c.onPrepare(c.self, prepare)
}

// driveProposal sends the value once the promises allow one and no more are to be expected soon.
func (c *core) advanceProposal() {
	p := c.proposer.proposal
	if p == nil || c.proposer.acceptSent || !p.HasMajority() {
		return
	}
	if c.proposer.majorityAt == 0 {
		c.proposer.majorityAt = c.now
	}
	if !c.allPromised(p) && c.now-c.proposer.majorityAt < prepareGracePeriod {
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

func (c *core) allPromised(p *view.Proposal) bool {
	for _, m := range p.View.Voters {
		if c.alive(m) && !p.HasPromised(m) {
			return false
		}
	}
	return true
}

// rank is the member's place among those who may propose: the neighbours of a silent member come
// first, because they know best and at once.
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

func (c *core) proposerOrder() []view.Member {
	var command []view.Member
	add := func(m view.Member) {
		if !m.IsZero() && view.Index(command, m) < 0 {
			command = append(command, m)
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
	return command
}
