package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// stalenessProof bounds the staleness of this chain member's state.
type stalenessProof struct {
	pending      bool          // a newer proof waits until this member has applied up to pendingIndex
	pendingAsOf  time.Duration // no successor of the epoch was decided before this moment
	pendingIndex uint64        // all commands acknowledged before pendingAsOf are at or below this index

	proven      bool
	currentAsOf time.Duration // all commands acknowledged before this moment are applied here
}

// confirmEpoch updates epochConfirmedAt to the latest moment at which a majority of the voters was in the current
// epoch and not wedged. No successor of the epoch was decided before that moment, because a decision requires
// prepare responses of a majority, and two majorities share a member. Therefore every command acknowledged before
// that moment was committed in this epoch or an earlier one, and is in the log of this member, which has the
// complete prefix. Reads, the staleness bound and the leader lease depend on this.
func (c *core) confirmEpoch() {
	if c.acceptor.Wedged() || !c.inChain() || c.syncedEpoch != c.epoch() {
		return
	}
	confirmations := make([]time.Duration, 0, len(c.acceptor.View.Voters))
	for _, m := range c.acceptor.View.Voters {
		if m.Same(c.self) {
			confirmations = append(confirmations, c.now)
			continue
		}
		if p := c.peers[m.ID()]; p != nil && p.confirmedAt != never {
			confirmations = append(confirmations, p.confirmedAt)
		}
	}
	majority := c.acceptor.View.Majority()
	if len(confirmations) < majority {
		return
	}
	slices.Sort(confirmations)
	at := confirmations[len(confirmations)-majority]
	c.epochConfirmedAt = max(c.epochConfirmedAt, at)
	if !c.staleness.pending && (!c.staleness.proven || at > c.staleness.currentAsOf) {
		c.staleness.pending, c.staleness.pendingAsOf, c.staleness.pendingIndex = true, at, c.log.LastIndex()
	}
	c.completeStalenessProof()
}

// resetEpochConfirmation discards the confirmations of the previous epoch. A sole voter confirms the new epoch
// without messages.
func (c *core) resetEpochConfirmation() {
	c.staleness.pending = false
	c.epochConfirmedAt = never
	for _, p := range c.peers {
		p.confirmedAt = never
	}
	if len(c.acceptor.View.Voters) == 1 {
		c.confirmEpoch()
	}
}

// completeStalenessProof completes the pending proof once all commands up to its index are applied.
func (c *core) completeStalenessProof() {
	applied, _ := c.state.Applied()
	if !c.staleness.pending || applied < c.staleness.pendingIndex {
		return
	}
	c.staleness.pending = false
	c.staleness.proven = true
	c.staleness.currentAsOf = max(c.staleness.currentAsOf, c.staleness.pendingAsOf)
}

// currentAsOf returns the latest moment known to this node such that every command acknowledged before it is applied
// here. It comes from a proof as a chain member or from an update as a learner. The second result is false if there
// is neither.
func (c *core) currentAsOf() (time.Duration, bool) {
	asOf := never
	if c.staleness.proven {
		asOf = c.staleness.currentAsOf
	}
	if c.learner.proven {
		asOf = max(asOf, c.learner.currentAsOf)
	}
	return asOf, asOf != never
}

// delayNewLeader sets the time before which a new head may not hold the leader lease. A member that is the head of
// two successive epochs keeps its lease, since there was no other head in between. A process also waits after its
// start (newCore): with regard to the lease, the previous process with this disk is a different head, although the
// view doesn't distinguish the two.
func (c *core) delayNewLeader(previous, v view.View) {
	if !v.Head().Same(c.self) {
		return
	}
	stays := previous.Head().Same(c.self) && v.Epoch == previous.Epoch+1
	if !stays {
		c.leaseNotBefore = c.now + newLeaderDelay
	}
}

// leaderLease returns the moment until which this member, as the head, holds the leader lease (Gray and Cheriton,
// 1989): no other head acts before it.
//
// The lease is safe because it starts at t, the sending time of the heartbeats that a majority answered. A
// successor of the epoch is decided after t (see confirmEpoch), and its head waits for newLeaderDelay from its
// adoption of the view. This lease ends at t + leaderLeaseDuration, which is earlier as long as no clock runs faster
// than another by a factor of newLeaderDelay / leaderLeaseDuration or more. Times of different machines are never
// compared.
func (c *core) leaderLease() (until time.Duration, ok bool) {
	until, ok = c.headLease()
	return until, ok && c.now >= c.leaseNotBefore
}

// headLease returns the moment until which the head of no later epoch acts, if this member is the head of its epoch.
// An earlier head may still hold the leader lease.
func (c *core) headLease() (until time.Duration, ok bool) {
	if !c.serving() || !c.isHead() || c.leaving || c.epochConfirmedAt == never {
		return 0, false
	}
	until = c.epochConfirmedAt + leaderLeaseDuration
	return until, until > c.now
}
