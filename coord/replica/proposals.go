package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// pendingRequests are the incomplete proposals and reads of this node's callers, and the deferred commands and reads
// of other nodes.
type pendingRequests struct {
	proposals map[string]*pendingProposal // by command ID
	resendDue bool                        // the route to the head may have changed: send all proposals again
	deferred  []deferredCommand           // at most maxDeferred
	reads     []*pendingRead
	readSeq   uint64
}

// pendingProposal is a command that was proposed here and whose outcome isn't known yet.
type pendingProposal struct {
	id      string
	command []byte
	sent    bool // it has left this node or was admitted to the log, so it may be applied
	sentAt  time.Duration
	waiters []*outcomeWaiter

	// notAppliedThrough is an index at or below which the command wasn't applied. It is no longer raised once
	// outcomeMayBeEvicted is set: the command may have been applied at a higher index, with an outcome that has
	// left the deduplication window since.
	notAppliedThrough   uint64
	outcomeMayBeEvicted bool
}

// outcomeWaiter is a call that waits for a command's outcome. At most one outcome is sent, and the channel has a
// buffer of one, so that the core never blocks.
type outcomeWaiter struct{ outcomes chan chain.Outcome }

// deferredCommand is a forwarded command that the head received while it couldn't append: while it was wedged and
// waited for the decision on the next view, or while it lacked the prefix.
type deferredCommand struct {
	Forward
	deferredAt time.Duration
}

// maxDeferred bounds the number of deferred commands at the head. Further commands are dropped, and sent again by
// the nodes where they were proposed.
const maxDeferred = 1024

// maxHops bounds how often a forwarded command is forwarded again: once around a failed link, and once more by a
// node whose view is outdated.
const maxHops = 2

// submit handles a proposal of a caller of this node. The outcome is delivered once the command is applied on this
// node.
func (c *core) submit(now time.Duration, id string, command []byte, waiter *outcomeWaiter) {
	c.now = now
	if outcome, known := c.state.Outcome(id); known {
		waiter.outcomes <- outcome
		return
	}
	pending := c.requests.proposals[id]
	if pending == nil {
		pending = &pendingProposal{id: id, command: command}
		c.requests.proposals[id] = pending
	}
	pending.waiters = append(pending.waiters, waiter)
	c.dispatch(pending)
}

// withdraw removes a waiting caller of a command and reports whether the command may still be applied.
func (c *core) withdraw(id string, waiter *outcomeWaiter) (sent bool) {
	proposal := c.requests.proposals[id]
	if proposal == nil {
		return true
	}
	proposal.waiters = slices.DeleteFunc(proposal.waiters, func(other *outcomeWaiter) bool { return other == waiter })
	if len(proposal.waiters) == 0 {
		delete(c.requests.proposals, id)
	}
	return proposal.sent
}

// dispatch appends a command if this is the head, or forwards it towards the head.
func (c *core) dispatch(proposal *pendingProposal) {
	proposal.sentAt = c.now
	if !proposal.outcomeMayBeEvicted {
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

// forward sends a proposal to the next hop.
func (c *core) forward(to view.Member, proposal *pendingProposal) {
	c.send(to, Forward{ID: proposal.id, Order: proposal.command, Epoch: c.epoch(), Since: proposal.notAppliedThrough})
}

// nextHop returns the member to which a voter forwards its commands: the head or, if the link to it is
// broken, a chain member that reaches both.
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

// admit appends a command to the log unless it already is in the log or applied. It reports whether the command was
// appended, is in the log or is applied.
//
// A command is applied once for each ID for two reasons: the head doesn't append an ID again that it knows as
// applied or in its log, and it doesn't admit a command that may have been applied so long ago that its outcome has
// left the deduplication window. To check the latter, the sender asserts that the command wasn't applied at or below
// notAppliedThrough, and fewer commands must have been appended after that index than the deduplication window holds.
func (c *core) admit(id string, command []byte, notAppliedThrough uint64) bool {
	if !c.serving() || !c.toleratesFailures() || c.leaving {
		return false
	}
	if _, known := c.state.Outcome(id); known {
		return true
	}
	applied, _ := c.state.Applied()
	last := c.log.LastIndex()
	if last-applied >= uint64(c.limits.maxUncommitted) {
		return false
	}
	for index := last; index > applied; index-- {
		if id != "" && c.log.Entry(index).ID == id {
			return true
		}
	}
	if notAppliedThrough < last && last-notAppliedThrough >= uint64(c.limits.deduplicationWindow) {
		return false
	}
	c.appendCommand(id, command)
	return true
}

// onForward handles a command from another node, and forwards it further if this member isn't the head. A command
// from an earlier epoch may be as old as a partition was long, and a command that this process reads after a pause
// may be as old as the pause was long. Both are dropped, and the node where they were proposed sends them again if
// its caller still waits. Therefore no command is applied long after its caller received ErrUncertain.
func (c *core) onForward(from view.Member, m Forward) {
	if m.Epoch < c.epoch() || c.wasPaused() {
		c.sendView(from)
		return
	}
	if c.isHead() {
		if !c.admit(m.ID, m.Order, m.Since) && !c.serving() && len(c.requests.deferred) < maxDeferred {
			c.requests.deferred = append(c.requests.deferred, deferredCommand{Forward: m, deferredAt: c.now})
		}
		return
	}
	if m.Hops < maxHops && c.hasDisk && c.epoch() > 0 {
		m.Hops++
		c.send(c.acceptor.View.Head(), m)
	}
}

// retryDeferred handles the deferred commands again once this member isn't wedged and, if it is the head, serves. It
// drops commands that are older than retransmitInterval, because their nodes have sent them again by then, and
// commands that were forwarded before the previous epoch.
func (c *core) retryDeferred() {
	if len(c.requests.deferred) == 0 || c.acceptor.Wedged() {
		return
	}
	if c.isHead() && !c.serving() {
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

// retryRequests dispatches proposals again whose messages may have been lost, and marks such reads for another
// request.
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

// complete delivers a command's outcome to the callers that wait for it.
func (r *pendingRequests) complete(id string, outcome chain.Outcome) {
	proposal := r.proposals[id]
	if proposal == nil || id == "" {
		return
	}
	delete(r.proposals, id)
	for _, waiter := range proposal.waiters {
		waiter.outcomes <- outcome
	}
}

// completeRestored completes the proposals whose outcomes are in a restored snapshot. previous is the index that was
// applied before the snapshot was restored. If the snapshot advances the state machine by more commands than the
// deduplication window holds, a proposal without an outcome may have been applied, with an outcome that has left the
// window.
func (c *core) completeRestored(previous uint64) {
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(c.requests.proposals) {
		if outcome, known := c.state.Outcome(id); known {
			c.requests.complete(id, outcome)
			continue
		}
		proposal := c.requests.proposals[id]
		if proposal.sent && applied-previous > uint64(c.limits.deduplicationWindow) {
			proposal.outcomeMayBeEvicted = true
		}
	}
}
