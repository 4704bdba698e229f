package replica

import (
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// minimumVoters is the smallest set of voters that is worth a majority.
const minimumVoters = 3

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

// adopt moves to a decided view.
func (c *core) adopt(v view.View) {
	if v.Epoch <= c.epoch() {
		return
	}
	before := c.acceptor.View
	wedged := c.acceptor.Wedged()
	if v.Source.Same(c.self) && c.disk {
		c.invariant(v.Epoch == before.Epoch+1 && wedged,
			"source of epoch %d without a promise (epoch %d)", v.Epoch, before.Epoch)
	}
	c.acceptor.Adopt(v)
	if v.Source.Same(c.self) {
		c.synced = v.Epoch
	}
	c.record(recordView, viewRecord{View: v, Synced: c.synced})
	c.agree.abandon(c.now, 0)
	c.agree.needSince = 0
	if c.disk && v.IsVoter(c.self) || before.IsVoter(c.self) {
		c.logEvent("view", "epoch", v.Epoch, "chain", v.String(), "voters", len(v.Voters), "source", v.Source.Node)
	}
	c.takeLead(before, v)
	c.enterView()
	if before.InChain(c.self) && !c.inChain() {
		c.leftAt = c.now
	}
	c.checkLeft()
	if c.onView != nil {
		c.onView(v)
	}
}

// takeLead sets when a new head may act: a head that stays goes on.
func (c *core) takeLead(before, v view.View) {
	if !v.Head().Same(c.self) {
		return
	}
	stays := before.Head().Same(c.self) && v.Epoch == before.Epoch+1
	if !stays {
		c.lead.since = c.now + leadDelay
	}
	c.lead.epoch = v.Epoch
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
	c.resetFreshness()
	c.work.resend = true
	if c.acceptor.Wedged() {
		c.agree.wedgedSince = c.now
	}
}

// tellView answers a node that lags, at most every 50 ms.
func (c *core) tellView(to view.Member) {
	if c.epoch() == 0 {
		return
	}
	if p := c.peers[to.ID()]; p != nil {
		if p.tellBefore && c.now-p.toldAt < 50*time.Millisecond {
			return
		}
		p.toldAt, p.tellBefore = c.now, true
	}
	c.send(to, view.Decided{View: c.acceptor.View})
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
	case view.Promise:
		c.onPromise(m)
	case view.Accepted:
		c.onAccepted(m)
	case view.Refused:
		c.onRefused(m)
	}
}

func (c *core) onPromise(m view.Promise) {
	if c.agree.proposal == nil {
		return
	}
	c.agree.proposal.OnPromise(m)
	c.driveProposal()
}

func (c *core) onRefused(m view.Refused) {
	c.agree.maxRound = max(c.agree.maxRound, m.Promised.Round)
	p := c.agree.proposal
	if p == nil || m.Epoch != c.epoch() || !p.Ballot.Less(m.Promised) {
		return
	}
	c.agree.abandon(c.now, c.pause(100*time.Millisecond, 300*time.Millisecond))
}

func (c *core) onAccepted(m view.Accepted) {
	if c.agree.proposal == nil {
		return
	}
	decided := c.agree.proposal.OnAccepted(m)
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
	c.agree.proposal = view.NewProposal(c.acceptor.View, view.Ballot{Round: round, Member: c.self.ID()})
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
		if c.heard(m) && !p.Promised(m) {
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
			before, after := c.acceptor.View.Neighbours(m)
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

func (c *core) hearsMajority() bool {
	count := 0
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) {
			count++
		} else if p := c.peers[m.ID()]; p != nil && p.inTouch && c.heard(m) {
			count++
		}
	}
	return count >= c.acceptor.View.Majority()
}

// need tells why the view should change, or nothing.
func (c *core) need() string {
	if !c.hearsMajority() {
		return ""
	}
	if c.acceptor.Wedged() {
		if c.now-c.agree.wedgedSince > wedgeLimit {
			return "wedged"
		}
		return ""
	}
	if silent, broken := c.silentMembers(); broken {
		return "silent member"
	} else if silent {
		return "" // a view of this member's would leave out one that the chain has a use for
	}
	for _, m := range c.acceptor.View.Chain {
		if c.isLeaving(m) && len(c.acceptor.View.Chain)-1 > c.tolerance {
			return "leaving member"
		}
	}
	voters := c.planVoters()
	if !view.SameMembers(voters, c.acceptor.View.Voters) {
		return "voters"
	}
	for _, m := range voters {
		if !c.acceptor.View.InChain(m) && c.mayJoinChain(m) {
			return "returned member"
		}
	}
	return ""
}

// silentMembers reports whether members of the chain are silent here, and whether that breaks the chain.
func (c *core) silentMembers() (silent, broken bool) {
	for _, m := range c.acceptor.View.Chain {
		if c.heard(m) {
			continue
		}
		silent = true
		broken = broken || c.adjacent(m) || !c.heardByChain(m)
	}
	return silent, broken
}

// adjacent reports whether m is this member's neighbour in the chain.
func (c *core) adjacent(m view.Member) bool {
	before, after := c.acceptor.View.Neighbours(c.self)
	return before.Same(m) || after.Same(m)
}

// heardByChain reports whether a member of the chain that is in touch with this one hears m. Then only
// the link between m and this member is broken, which the chain doesn't use.
func (c *core) heardByChain(m view.Member) bool {
	for _, other := range c.acceptor.View.Chain {
		if other.Same(c.self) || other.Same(m) || !c.heard(other) {
			continue
		}
		if p := c.peers[other.ID()]; p != nil && p.inTouch && p.heard[m.ID()] {
			return true
		}
	}
	return false
}

// mayJoinChain reports whether m is in touch with this member and with all of the chain.
func (c *core) mayJoinChain(m view.Member) bool {
	if !c.inTouch(m) || c.isLeaving(m) {
		return false
	}
	for _, other := range c.acceptor.View.Chain {
		if other.Same(c.self) || other.Same(m) {
			continue
		}
		p := c.peers[other.ID()]
		if p == nil || !c.heard(other) {
			continue
		}
		if !p.heard[m.ID()] && c.acceptor.View.IsVoter(m) {
			return false
		}
	}
	return true
}

// targetVoters is the number of voters that the losses to be borne ask for.
func (c *core) targetVoters() int { return max(2*c.tolerance+1, minimumVoters) }

// candidates returns the machines with a disk that ask to become voters.
func (c *core) candidates() []view.Member {
	var members []view.Member
	for _, p := range c.peers {
		if p.candidate && !c.acceptor.View.IsVoter(p.member) && !p.leaving && c.inTouch(p.member) {
			members = append(members, p.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID() < members[j].ID() })
	return members
}

// planVoters returns the voters that the next view should have.
func (c *core) planVoters() []view.Member {
	voters := append([]view.Member(nil), c.acceptor.View.Voters...)
	for _, candidate := range c.candidates() {
		if position := c.replaceable(voters, candidate); position >= 0 {
			voters[position] = candidate
		} else if len(voters) < c.targetVoters() {
			voters = append(voters, candidate)
		}
	}
	for len(voters) > c.targetVoters() {
		position := c.longestAbsent(voters)
		if position < 0 {
			break
		}
		voters = append(voters[:position], voters[position+1:]...)
	}
	return voters
}

// replaceable returns the voter whose place a candidate takes: an earlier life of its disk or its
// machine, else one that has been silent for long.
func (c *core) replaceable(voters []view.Member, candidate view.Member) int {
	for i, m := range voters {
		known := m
		if p := c.peers[m.ID()]; p != nil {
			known = p.member
		}
		if m.Address == candidate.Address || known.Node != "" && known.Node == candidate.Node && !c.heard(m) {
			return i
		}
	}
	return c.longestAbsent(voters)
}

func (c *core) longestAbsent(voters []view.Member) int {
	position, longest := -1, absenceLimit
	for i, m := range voters {
		if silent := c.silentFor(m); silent > longest && c.acceptor.View.IsVoter(m) {
			position, longest = i, silent
		}
	}
	return position
}

// isStaying reports whether m makes a good source.
func (c *core) isStaying(m view.Member) bool { return !c.isLeaving(m) }

// plan makes the members of the next view for the source that the promises gave.
func (c *core) plan(source view.Member) (voters, members []view.Member, ok bool) {
	voters = c.planVoters()
	if view.Index(voters, source) < 0 {
		return nil, nil, false
	}
	for _, m := range c.acceptor.View.Chain {
		if m.Same(source) || view.Index(voters, m) >= 0 && c.heard(m) && !c.isLeaving(m) {
			members = append(members, m)
		}
	}
	if view.Index(members, source) < 0 {
		members = append(members, source)
	}
	for _, m := range voters {
		if view.Index(members, m) < 0 && c.mayJoinChain(m) {
			members = append(members, m)
		}
	}
	return c.named(voters), c.named(members), true
}

// named fills in the names that heartbeats brought.
func (c *core) named(members []view.Member) []view.Member {
	for i := range members {
		if members[i].Same(c.self) {
			members[i].Node = c.self.Node
		} else if p := c.peers[members[i].ID()]; p != nil && p.member.Node != "" {
			members[i].Node = p.member.Node
		}
	}
	return members
}

// discover asks the seeds for the view while no one of it is heard.
func (c *core) discover() {
	pause := helloInterval
	if c.epoch() == 0 {
		pause = tickInterval
	}
	if c.now-c.lastHello < pause-tickInterval/4 || len(c.seeds) == 0 {
		return
	}
	if c.epoch() > 0 && !c.lost() {
		return
	}
	c.lastHello = c.now
	addresses := append([]string(nil), c.seeds...)
	for _, m := range c.acceptor.View.Voters {
		addresses = append(addresses, m.Address)
	}
	for i := 0; i < min(2, len(addresses)); i++ {
		c.helloRound++
		address := addresses[c.helloRound%len(addresses)]
		c.send(view.Member{Address: address}, Hello{Epoch: c.epoch()})
	}
}

// stranger takes in that another life than the one addressed is at an address: an empty machine
// learns the view from whoever takes it for its earlier life.
func (c *core) stranger(now time.Duration, m view.Member) {
	c.now = now
	if c.disk {
		c.tellView(m)
	}
}

// lost reports whether the node hears nobody of the view it knows.
func (c *core) lost() bool {
	if !c.inChain() {
		return c.now-c.feed.heardAt > silenceLimit
	}
	return !c.hearsMajority()
}

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
