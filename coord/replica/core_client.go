package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// pendingOrder is an order that was proposed here and whose outcome isn't known yet.
type pendingProposal struct {
	id                string
	command           []byte
	sent              bool // it left this node, or was given a place: it may be applied
	sentAt            time.Duration
	notAppliedThrough uint64 // the order wasn't applied at or below this index
	mayBeForgotten    bool   // it may have been applied above since, and be forgotten
	waiters           []*outcomeWaiter
}

// waiter is one call that waits for an order's outcome, which comes at most once.
type outcomeWaiter struct{ outcomes chan chain.Outcome }

// pendingRead waits for a proof that is younger than its start.
type pendingRead struct {
	startedAt            time.Duration
	requested            bool
	index                uint64 // all orders acknowledged before the start are at or below it
	indexKnown           bool
	seq                  uint64
	sentAt               time.Duration
	done                 func(index uint64)
	requester            view.Member // asker, when the read is another node's
	requesterSeq         uint64
	requesterIncarnation uint64
}

// clientWork is what this node's callers wait for.
type pendingRequests struct {
	proposals map[string]*pendingProposal
	reads     []*pendingRead
	resendDue bool
	readSeq   uint64
	deferred  []deferredCommand
}

// heldOrder came to the head at a moment at which it may not order: it waits for the end of the
// change of the view, or for the prefix.
type deferredCommand struct {
	Forward
	deferredAt time.Duration
}

// maxHeld bounds the orders that wait at the head.
const maxDeferred = 1024

func (sim *pendingRequests) init() { sim.proposals = make(map[string]*pendingProposal) }

func (sim *pendingRequests) complete(id string, outcome chain.Outcome) {
	proposal := sim.proposals[id]
	if proposal == nil || id == "" {
		return
	}
	delete(sim.proposals, id)
	for _, waiter := range proposal.waiters {
		waiter.outcomes <- outcome
	}
}

// settleRestored settles orders whose outcomes came with an image, where the machine had applied orders to an index before.
func (sim *pendingRequests) completeRestored(c *core, before uint64) {
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(sim.proposals) {
		if outcome, known := c.state.Outcome(id); known {
			sim.complete(id, outcome)
			continue
		}
		proposal := sim.proposals[id]
		proposal.mayBeForgotten = proposal.mayBeForgotten || proposal.sent && applied-before > uint64(c.limits.deduplicationWindow)
	}
}

// submit takes an order from a caller of this node, whose outcome is told when it is applied here.
func (c *core) submit(now time.Duration, id string, command []byte, wait *outcomeWaiter) {
	c.now = now
	if outcome, known := c.state.Outcome(id); known {
		wait.outcomes <- outcome
		return
	}
	pending := c.requests.proposals[id]
	if pending == nil {
		pending = &pendingProposal{id: id, command: command}
		c.requests.proposals[id] = pending
	}
	pending.waiters = append(pending.waiters, wait)
	c.dispatch(pending)
}

// withdraw forgets a caller's order and tells whether it may have been taken.
func (c *core) withdraw(id string, wait *outcomeWaiter) (sent bool) {
	proposal := c.requests.proposals[id]
	if proposal == nil {
		return true
	}
	proposal.waiters = slices.DeleteFunc(proposal.waiters, func(other *outcomeWaiter) bool { return other == wait })
	if len(proposal.waiters) == 0 {
		delete(c.requests.proposals, id)
	}
	return proposal.sent
}

// dispatch gives an order a place, or sends it towards the head.
func (c *core) dispatch(proposal *pendingProposal) {
	proposal.sentAt = c.now
	if !proposal.mayBeForgotten {
		proposal.notAppliedThrough, _ = c.state.Applied()
	}
	head := c.acceptor.View.Head()
	switch {
	case c.epoch() == 0:
	case head.Same(c.self) && c.hasDisk:
		if c.admit(proposal.id, proposal.command, proposal.notAppliedThrough) {
			proposal.sent = true
		}
	case c.isVoter():
		if next := c.nextHop(head); !next.IsZero() {
			proposal.sent = true
			c.forward(next, proposal)
		}
	case c.learner.upstreamAlive(c.now):
		proposal.sent = true
		c.forward(c.learner.upstream, proposal)
	}
}

func (c *core) forward(to view.Member, proposal *pendingProposal) {
	c.send(to, Forward{ID: proposal.id, Order: proposal.command, Epoch: c.epoch(), Since: proposal.notAppliedThrough})
}

// towards returns the member to which a voter sends its orders: the head, or where the link to it is broken a member of the chain
// that is in touch with both.
func (c *core) nextHop(head view.Member) view.Member {
	if c.alive(head) {
		return head
	}
	for _, m := range c.acceptor.View.Chain {
		if m.Same(c.self) || !c.reachable(m) {
			continue
		}
		if c.peers[m.ID()].reaches[head.ID()] {
			return m
		}
	}
	return view.Member{}
}

// take gives an order a place at the head, once. An order that may have been applied so long ago that its outcome is forgotten gets none.
func (c *core) admit(id string, command []byte, since uint64) bool {
	if !c.serving() || !c.toleratesFailures() || c.leaving {
		return false
	}
	if _, known := c.state.Outcome(id); known {
		return true
	}
	applied, _ := c.state.Applied()
	if c.log.LastIndex()-applied >= uint64(c.limits.maxUncommitted) {
		return false
	}
	for index := c.log.LastIndex(); index > applied; index-- {
		if id != "" && c.log.Entry(index).ID == id {
			return true
		}
	}
	if since < c.log.LastIndex() && c.log.LastIndex()-since >= uint64(c.limits.deduplicationWindow) {
		return false
	}
	c.appendCommand(id, command)
	return true
}

// onForward takes in an order from elsewhere. One that was sent in an earlier epoch may be as old as a cut is long, and one that waited
// for this process as old as its standstill: its node sends it again, if its caller still waits.
func (c *core) onForward(from view.Member, m Forward) {
	if m.Epoch < c.epoch() || c.wasPaused() {
		c.sendView(from)
		return
	}
	head := c.acceptor.View.Head()
	if head.Same(c.self) {
		if !c.admit(m.ID, m.Order, m.Since) && !c.serving() && len(c.requests.deferred) < maxDeferred {
			c.requests.deferred = append(c.requests.deferred, deferredCommand{Forward: m, deferredAt: c.now})
		}
		return
	}
	if m.Hops < 2 && c.hasDisk && c.epoch() > 0 {
		m.Hops++
		c.send(head, m)
	}
}

// releaseHeld goes on, in the next view at most, with the orders that came while this head couldn't order. Their senders repeat
// them, so an old one is dropped.
func (c *core) retryDeferred() {
	if len(c.requests.deferred) == 0 || c.acceptor.Wedged() {
		return
	}
	if c.acceptor.View.Head().Same(c.self) && !c.serving() {
		return
	}
	waiting := c.requests.deferred
	c.requests.deferred = nil
	for _, deferred := range waiting {
		if c.now-deferred.deferredAt <= retransmitInterval && deferred.Epoch+1 >= c.epoch() {
			deferred.Epoch = max(deferred.Epoch, c.epoch())
			c.onForward(c.self, deferred.Forward)
		}
	}
}

// workTick repeats what may have been lost.
func (c *core) retryRequests() {
	for _, id := range sortedKeys(c.requests.proposals) {
		proposal := c.requests.proposals[id]
		if c.requests.resendDue || c.now-proposal.sentAt >= retransmitInterval {
			c.dispatch(proposal)
		}
	}
	c.requests.resendDue = false
	for _, read := range c.requests.reads {
		if read.requested && c.now-read.sentAt >= retransmitInterval {
			read.requested = false
		}
	}
}

// read calls done once everything acknowledged before now is applied here.
func (c *core) read(now time.Duration, done func(index uint64)) *pendingRead {
	c.now = now
	c.requests.readSeq++
	read := &pendingRead{startedAt: now, seq: c.requests.readSeq, done: done}
	c.requests.reads = append(c.requests.reads, read)
	return read
}

// forgetRead drops a read whose caller has gone.
func (c *core) cancelRead(gone *pendingRead) {
	for i, read := range c.requests.reads {
		if read == gone {
			c.requests.reads = append(c.requests.reads[:i], c.requests.reads[i+1:]...)
			return
		}
	}
}

func (c *core) onReadIndexRequest(from view.Member, m ReadIndexRequest) {
	if !c.inChain() {
		return
	}
	for _, read := range c.requests.reads {
		if read.requester.Same(from) && read.requesterIncarnation == m.Life && read.requesterSeq == m.Seq {
			return
		}
	}
	c.requests.reads = append(c.requests.reads, &pendingRead{
		startedAt: c.now, requester: from, requesterSeq: m.Seq, requesterIncarnation: m.Life,
	})
}

func (c *core) onReadIndexReply(m ReadIndexReply) {
	if m.Life != c.incarnation {
		return
	}
	for _, read := range c.requests.reads {
		if read.done != nil && read.seq == m.Seq {
			read.index, read.indexKnown = m.Index, true
		}
	}
}

// completeReads answers the reads that have their proofs.
func (c *core) completeReads() {
	applied, _ := c.state.Applied()
	waiting := c.requests.reads[:0]
	for _, read := range c.requests.reads {
		if c.inChain() && !read.indexKnown && c.syncedEpoch == c.epoch() && c.staleness.epochConfirmedAt >= read.startedAt {
			read.index, read.indexKnown = c.log.LastIndex(), true
		}
		switch {
		case read.indexKnown && read.done != nil && applied >= read.index:
			read.done(applied)
		case read.indexKnown && read.done == nil && c.commitIndex >= read.index:
			c.send(read.requester, ReadIndexReply{Life: read.requesterIncarnation, Seq: read.requesterSeq, Index: read.index})
		case read.done == nil && c.now-read.startedAt > 2*time.Second:
		default:
			waiting = append(waiting, read)
		}
	}
	c.requests.reads = waiting
}

// askForReads sends one urgent round of heartbeats for all reads that wait for one.
func (c *core) requestReadIndexes() {
	urgent := false
	for _, read := range c.requests.reads {
		if read.requested || read.indexKnown {
			continue
		}
		read.requested, read.sentAt = true, c.now
		if c.inChain() {
			urgent = true
		} else if read.done != nil && c.learner.upstreamAlive(c.now) {
			c.send(c.learner.upstream, ReadIndexRequest{Life: c.incarnation, Seq: read.seq})
		}
	}
	if urgent {
		c.sendHeartbeats(true)
		if len(c.acceptor.View.Voters) == 1 {
			c.confirmEpoch()
		}
	}
}
