package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// agreementState is the member's part as a proposer.
type agreementState struct {
	proposal    *view.Proposal
	startedAt   time.Duration
	majorityAt  time.Duration
	acceptSent  bool
	notBefore   time.Duration // after a failed attempt
	needSince   time.Duration // zero: no need seen
	maxRound    uint64
	wedgedSince time.Duration
	reason      string
}

func (a *agreementState) abandon(now time.Duration, pause time.Duration) {
	a.proposal = nil
	a.acceptSent = false
	a.notBefore = now + pause
}

func (c *core) recordBallots() {
	c.record(recordBallots, ballotsRecord{
		Epoch:          c.epoch(),
		Promised:       c.acceptor.Promised,
		AcceptedBallot: c.acceptor.AcceptedBallot,
		Accepted:       c.acceptor.Accepted,
	})
}

// meet adopts a newer view that a proposer stands in, and corrects one that lags.
func (c *core) meet(from view.Member, present view.View) bool {
	c.adopt(present)
	if present.Epoch < c.epoch() {
		c.tellView(from)
		return false
	}
	return c.disk
}

func (c *core) onPrepare(from view.Member, m view.Prepare) {
	if !c.meet(from, m.View) {
		return
	}
	c.agree.maxRound = max(c.agree.maxRound, m.Ballot.Round)
	answer, changed := c.acceptor.OnPrepare(m, view.LogState{Synced: c.synced, End: c.log.End()})
	if changed {
		c.noteWedged()
		c.recordBallots()
	}
	c.answer(from, answer)
}

func (c *core) noteWedged() {
	c.agree.wedgedSince = c.now
	c.fresh.pending = false
}

func (c *core) onAccept(from view.Member, m view.Accept) {
	if !c.meet(from, m.View) {
		return
	}
	c.agree.maxRound = max(c.agree.maxRound, m.Ballot.Round)
	answer, changed := c.acceptor.OnAccept(m)
	if changed {
		c.noteWedged()
		c.recordBallots()
	}
	c.answer(from, answer)
}

// answer sends a reply of the acceptor, or hands it to the own proposal.
func (c *core) answer(to view.Member, reply any) {
	if reply == nil {
		return
	}
	if !to.Same(c.self) {
		c.send(to, reply)
		return
	}
	switch m := reply.(type) {
	case view.PrepareResponse:
		c.onPromise(m)
	case view.AcceptResponse:
		c.onAccepted(m)
	case view.Reject:
		c.onRefused(m)
	}
}

func (c *core) onPromise(m view.PrepareResponse) {
	if c.agree.proposal == nil {
		return
	}
	c.agree.proposal.OnPrepareResponse(m)
	c.driveProposal()
}

func (c *core) onRefused(m view.Reject) {
	c.agree.maxRound = max(c.agree.maxRound, m.Promised.Round)
	p := c.agree.proposal
	if p == nil || m.Epoch != c.epoch() || !p.Number.Less(m.Promised) {
		return
	}
	c.agree.abandon(c.now, c.pause(100*time.Millisecond, 300*time.Millisecond))
}

func (c *core) onAccepted(m view.AcceptResponse) {
	if c.agree.proposal == nil {
		return
	}
	decided := c.agree.proposal.OnAcceptResponse(m)
	if decided == nil {
		return
	}
	before := c.acceptor.View
	c.adopt(*decided)
	for _, m := range before.Voters {
		c.send(m, view.Decided{View: *decided})
	}
	for _, m := range decided.Voters {
		if !before.IsVoter(m) {
			c.send(m, view.Decided{View: *decided})
		}
	}
}

func (c *core) pause(from, to time.Duration) time.Duration {
	return from + time.Duration(c.random.Int64N(int64(to-from)))
}

// considerView starts or continues an attempt on the next view where there is a need for one.
func (c *core) considerView() {
	c.loseTouch()
	if !c.isVoter() {
		return
	}
	if c.agree.proposal != nil {
		if c.now-c.agree.startedAt > proposalLimit {
			c.agree.abandon(c.now, c.pause(0, 300*time.Millisecond))
			return
		}
		c.driveProposal()
		return
	}
	reason := c.need()
	if reason == "" {
		c.agree.needSince = 0
		return
	}
	if c.agree.needSince == 0 {
		c.agree.needSince = c.now
	}
	if c.now < c.agree.notBefore || c.now < c.agree.needSince+time.Duration(c.rank())*rankDelay {
		return
	}
	c.propose(reason)
}

// propose starts an attempt.
func (c *core) propose(reason string) {
	round := max(c.agree.maxRound, c.acceptor.Promised.Round) + 1
	c.agree.maxRound = round
	c.agree.proposal = view.NewProposal(c.acceptor.View, view.ProposalNumber{Round: round, Member: c.self.ID()})
	c.agree.startedAt = c.now
	c.agree.majorityAt = 0
	c.agree.acceptSent = false
	c.agree.reason = reason
	c.logEvent("proposes a view", "epoch", c.epoch()+1, "reason", reason)
	prepare := c.agree.proposal.Prepare()
	for _, m := range c.acceptor.View.Voters {
		c.send(m, prepare)
	}
	c.onPrepare(c.self, prepare)
}

// driveProposal sends the value once the promises allow one and no more are to be expected soon.
func (c *core) driveProposal() {
	p := c.agree.proposal
	if p == nil || c.agree.acceptSent || !p.HasMajority() {
		return
	}
	if c.agree.majorityAt == 0 {
		c.agree.majorityAt = c.now
	}
	if !c.allPromised(p) && c.now-c.agree.majorityAt < promiseWait {
		return
	}
	if !p.Choose(c.isStaying, c.plan) {
		return
	}
	c.agree.acceptSent = true
	accept := p.Accept()
	for _, m := range c.acceptor.View.Voters {
		c.send(m, accept)
	}
	c.onAccept(c.self, accept)
}

func (c *core) allPromised(p *view.Proposal) bool {
	for _, m := range p.View.Voters {
		if c.heard(m) && !p.HasPromised(m) {
			return false
		}
	}
	return true
}

// rank is the member's place among those who may propose: the neighbours of a silent member come
// first, because they know best and at once.
func (c *core) rank() int {
	rank := 0
	for _, m := range c.proposers() {
		if m.Same(c.self) {
			return rank
		}
		if c.heard(m) && !c.isLeaving(m) {
			rank++
		}
	}
	return rank
}

func (c *core) proposers() []view.Member {
	var order []view.Member
	add := func(m view.Member) {
		if !m.IsZero() && view.Index(order, m) < 0 {
			order = append(order, m)
		}
	}
	for _, m := range c.acceptor.View.Chain {
		if !c.heard(m) {
			before, after := c.acceptor.View.Adjacent(m)
			add(before)
			add(after)
		}
	}
	for _, m := range c.acceptor.View.Chain {
		add(m)
	}
	for _, m := range c.acceptor.View.Voters {
		add(m)
	}
	return order
}
