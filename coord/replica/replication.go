package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// replicationState is the volatile state of this member's place in the chain of its epoch. It is reset by
// every view.
//
// The algorithm is chain replication (van Renesse and Schneider, 2004): the head appends, each member passes
// on what is durable at itself, and what is durable at the tail is on every disk of the chain, hence
// committed. Commit indexes travel back with the acknowledgements. It differs from the paper in who reads:
// any node may (reads.go), and in reconfiguration, which the members agree on themselves (coord/view) instead
// of asking a master.
type replicationState struct {
	// prefixComplete says that this member and all its predecessors have the complete prefix of the epoch.
	// Only then may it pass commands on: so nothing reaches the tail, and nothing commits, before the whole
	// chain has it.
	prefixComplete bool
	// successorKnown says that the successor has reported its last index in this epoch.
	successorKnown bool
	// successorComplete says that the successor, too, knows that all members up to itself have the prefix.
	successorComplete bool

	sentIndex        uint64 // last command sent to the successor
	ackedIndex       uint64 // last command on the successor's disk
	ackedAtHeartbeat uint64 // ackedIndex at the last round of heartbeats
	reportedCommit   uint64 // commit index last reported to the predecessor

	ackDue            bool          // an Ack to the predecessor is due
	gapReported       bool          // a gap was reported since the last round of heartbeats
	prefixRequestedAt time.Duration // when the source was asked for the prefix last
}

// enterChain starts this member's part in the chain of a view.
func (c *core) enterChain() {
	c.replication = replicationState{ackDue: true, prefixRequestedAt: never}
	if c.inChain() && c.syncedEpoch != c.epoch() {
		c.send(c.acceptor.View.Source, view.Decided{View: c.acceptor.View})
		c.requestPrefix()
	}
	if _, successor := c.acceptor.View.Adjacent(c.self); c.inChain() && !successor.IsZero() {
		c.send(successor, AckRequest{Epoch: c.epoch()})
	}
	if c.serving() && c.isHead() {
		c.replication.prefixComplete = true
	}
}

// isHead reports whether this member is the head of the present chain.
func (c *core) isHead() bool { return c.acceptor.View.Head().Same(c.self) }

// appendCommand gives a command the next index. Only the head of an epoch does this, and only while it
// serves, so that an index and an epoch identify one command.
func (c *core) appendCommand(id string, command []byte) {
	entry := chain.Entry{Index: c.log.LastIndex() + 1, Epoch: c.epoch(), ID: id, Order: command}
	c.log.Append(entry)
	c.recordAppended([]chain.Entry{entry})
}

// recordAppended queues the record of new entries. A checkpoint that is due contains them.
func (c *core) recordAppended(entries []chain.Entry) {
	if !c.checkpointDue {
		c.records = append(c.records, encodeEntries(entries))
	}
}

// onAppend appends what the predecessor sends. A member with the complete prefix whose predecessor sends in
// this epoch knows by this that all its predecessors have the prefix, too.
func (c *core) onAppend(from view.Member, m Append) {
	if m.Epoch < c.epoch() {
		c.sendView(from)
		return
	}
	predecessor, _ := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !c.serving() || !predecessor.Same(from) {
		return
	}
	if m.Prev > c.log.LastIndex() {
		if !c.replication.gapReported {
			c.replication.gapReported = true
			c.sendAck(true)
		}
		return
	}
	if !c.replication.prefixComplete {
		c.replication.prefixComplete = true
		c.replication.ackDue = true
	}
	c.replication.gapReported = false
	if epoch, known := c.log.EpochAt(m.Prev); known {
		c.invariant(epoch == m.PrevEpoch, "entry %d is of epoch %d here, of %d before", m.Prev, epoch, m.PrevEpoch)
	}
	c.appendNew(m.Entries)
}

// appendNew appends the entries that the log lacks. Those that it has must be the same commands.
func (c *core) appendNew(entries []chain.Entry) {
	for len(entries) > 0 && entries[0].Index <= c.log.LastIndex() {
		if epoch, known := c.log.EpochAt(entries[0].Index); known {
			c.invariant(epoch == entries[0].Epoch, "two commands at %d in one epoch", entries[0].Index)
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	for _, entry := range entries {
		c.log.Append(entry)
	}
	c.recordAppended(entries)
}

// advanceReplication passes on, commits, applies and acknowledges what has become durable.
func (c *core) advanceReplication() {
	if c.serving() {
		_, successor := c.acceptor.View.Adjacent(c.self)
		if successor.IsZero() {
			c.commitAtTail()
		} else if c.replication.successorKnown && c.replication.prefixComplete {
			c.replicateTo(successor)
		}
	}
	c.applyCommitted()
	if c.serving() && (c.replication.ackDue || c.commitIndex > c.replication.reportedCommit) {
		c.sendAck(false)
	}
}

// commitAtTail commits what is durable at the tail: its predecessors sent nothing that wasn't durable at
// themselves.
func (c *core) commitAtTail() {
	if c.replication.prefixComplete && c.toleratesFailures() {
		c.commitIndex = max(c.commitIndex, c.durableIndex)
	}
}

// replicateTo sends the successor what is durable here and hasn't been sent.
func (c *core) replicateTo(successor view.Member) {
	for c.replication.sentIndex < c.durableIndex {
		entries := c.log.After(c.replication.sentIndex, c.limits.batchBytes)
		if len(entries) == 0 {
			c.requestAck(successor)
			return
		}
		c.sendAppend(successor, entries)
		c.replication.sentIndex += uint64(len(entries))
	}
}

// requestAck asks the successor for its last index, after a delayed Ack reported one that the log here is
// compacted beyond.
func (c *core) requestAck(successor view.Member) {
	c.replication.successorKnown = false
	c.send(successor, AckRequest{Epoch: c.epoch()})
}

// sendAppend sends entries that follow the last one sent. Without entries it only confirms the prefix.
func (c *core) sendAppend(successor view.Member, entries []chain.Entry) {
	epoch, _ := c.log.EpochAt(c.replication.sentIndex)
	c.send(successor, Append{Epoch: c.epoch(), Prev: c.replication.sentIndex, PrevEpoch: epoch, Entries: entries})
}

// sendAck reports to the predecessor what is durable here and what is committed.
func (c *core) sendAck(gap bool) {
	predecessor, _ := c.acceptor.View.Adjacent(c.self)
	c.replication.ackDue = false
	c.replication.reportedCommit = c.commitIndex
	c.send(predecessor, Ack{
		Epoch:  c.epoch(),
		End:    c.durableIndex,
		Commit: min(c.commitIndex, c.durableIndex),
		Whole:  c.replication.prefixComplete,
		Gap:    gap,
	})
}

// onAck takes in the successor's progress. Acks may be lost, repeated and reordered, so indexes only grow.
func (c *core) onAck(from view.Member, m Ack) {
	if m.Epoch < c.epoch() {
		c.sendView(from)
		return
	}
	_, successor := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !successor.Same(from) || c.syncedEpoch != c.epoch() {
		return
	}
	c.invariant(m.End <= c.log.LastIndex(), "successor has entries to %d, its predecessor to %d", m.End, c.log.LastIndex())
	c.invariant(m.Commit <= c.log.LastIndex(), "committed %d, log ends at %d", m.Commit, c.log.LastIndex())
	c.replication.ackedIndex = max(c.replication.ackedIndex, m.End)
	if !c.replication.successorKnown || m.Gap || c.replication.sentIndex < c.replication.ackedIndex {
		c.replication.successorKnown = true
		// Not m.End: a delayed Ack may report less, and what is acknowledged may be compacted away.
		c.replication.sentIndex = c.replication.ackedIndex
	}
	c.replication.successorComplete = m.Whole
	c.commitIndex = max(c.commitIndex, m.Commit)
	if c.serving() && c.replication.prefixComplete && !m.Whole && c.replication.sentIndex >= c.durableIndex {
		c.sendAppend(successor, nil)
	}
}

// retransmit repeats, at each round of heartbeats, what a broken connection may have lost: the request for
// the prefix, the Ack, and entries on which no progress was acknowledged since the last round.
func (c *core) retransmit() {
	if !c.inChain() || c.acceptor.Wedged() {
		return
	}
	if c.syncedEpoch != c.epoch() {
		if c.now-c.replication.prefixRequestedAt >= retransmitInterval {
			c.requestPrefix()
		}
		return
	}
	c.replication.gapReported = false
	predecessor, successor := c.acceptor.View.Adjacent(c.self)
	if !predecessor.IsZero() {
		c.replication.ackDue = true
	}
	if successor.IsZero() || !c.replication.successorKnown {
		return
	}
	if c.replication.sentIndex > c.replication.ackedIndex && c.replication.ackedIndex == c.replication.ackedAtHeartbeat {
		c.replication.sentIndex = c.replication.ackedIndex
	}
	c.replication.ackedAtHeartbeat = c.replication.ackedIndex
}

// applyCommitted applies what is committed.
func (c *core) applyCommitted() {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	for applied < c.commitIndex && applied >= base && applied < c.log.LastIndex() {
		applied++
		c.applyEntry(c.log.Entry(applied))
	}
	c.completeStalenessProof()
}

// applyEntry applies a committed entry and completes the proposal that waits for it.
func (c *core) applyEntry(entry chain.Entry) {
	outcome, repeated := c.state.Apply(entry)
	c.requests.complete(entry.ID, outcome)
	if c.onApply != nil {
		c.onApply(entry, outcome, repeated)
	}
}
