package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// Peer describes a machine with a disk, as known to a node.
type Peer struct {
	Member    view.Member
	Voter     bool
	InChain   bool
	Reachable bool // the link from this node works both ways; always false at a node without a disk
	Candidate bool // the member has no vote and asks for one
}

// status is the state of the node that the loop publishes after each batch of inputs. It is immutable.
type status struct {
	view          view.View
	applied       uint64
	members       []Peer
	diskUnhealthy bool

	stalenessKnown bool
	currentAsOf    time.Time // all commands acknowledged before this moment are applied

	leaseEpoch      uint64
	leaseExpiry     time.Time // when the leader lease expires; zero: not held
	headLeaseExpiry time.Time // when the head lease expires; zero: this node isn't the confirmed head
}

// publish publishes the current state of the node as its status.
func (n *Node) publish() {
	now := time.Now()
	elapsed := now.Sub(n.start)
	at := func(moment time.Duration) time.Time { return now.Add(moment - elapsed) }
	c := n.core
	next := &status{view: c.view(), members: n.members, diskUnhealthy: n.diskUnhealthy}
	next.applied, _ = c.state.Applied()
	if asOf, proven := c.currentAsOf(); proven {
		next.currentAsOf, next.stalenessKnown = at(asOf), true
	}
	if until, ok := c.headLease(); ok && !n.diskUnhealthy {
		next.headLeaseExpiry = at(until)
	}
	if until, ok := c.leaderLease(); ok && !n.diskUnhealthy {
		next.leaseEpoch, next.leaseExpiry = c.epoch(), at(until)
	}
	n.status.Store(next)
}

// callbacks are the functions registered with OnApply and OnView. A value is immutable; Node.callbackMu serializes
// its replacement.
type callbacks struct {
	onApply []func(index uint64, command, result []byte)
	onView  []func(view.View)
}

// onApplied calls the callbacks for an applied command. A command that has two indexes is applied, and reported, only
// once.
func (n *Node) onApplied(entry chain.Entry, outcome chain.Outcome, repeated bool) {
	if repeated {
		return
	}
	for _, callback := range n.callbacks.Load().onApply {
		callback(entry.Index, entry.Order, outcome.Result)
	}
}

// onViewAdopted calls the callbacks for an adopted view.
func (n *Node) onViewAdopted(v view.View) {
	for _, callback := range n.callbacks.Load().onView {
		callback(v)
	}
}
