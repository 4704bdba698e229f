package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// replicationState is the volatile state of this member's position in the chain of its epoch. It is reset by
// every view change.
//
// The algorithm is chain replication (van Renesse and Schneider, 2004): the head appends commands, each member
// sends the commands that are durable on its own disk to its successor, and the commands that are durable at the
// tail are on every disk of the chain, hence committed. Commit indexes travel back with the acknowledgements. It
// differs from the paper in that any node may serve reads (reads.go), and in that the members agree on a
// reconfiguration themselves (coord/view) instead of asking a master.
type replicationState struct {
	// prefixComplete is set once this member and all its predecessors have the complete prefix of the epoch.
	// Only then may this member send commands to its successor. Therefore nothing reaches the tail, and nothing
	// commits, before the whole chain has the prefix.
	prefixComplete bool
	// successorKnown is set once the successor has reported its last index in this epoch.
	successorKnown bool
	// successorComplete is set once the successor has reported that it and all its predecessors have the
	// complete prefix.
	successorComplete bool

	sentIndex        uint64 // last command sent to the successor
	ackedIndex       uint64 // last command on the successor's disk
	ackedAtHeartbeat uint64 // ackedIndex at the last round of heartbeats
	reportedCommit   uint64 // commit index last reported to the predecessor

	ackDue            bool          // an Ack to the predecessor is due
	gapReported       bool          // a gap was reported since the last round of heartbeats
	prefixRequestedAt time.Duration // when the prefix was last requested from the source
}

// enterChain resets the replication state for the current view. A member of the chain that lacks the prefix
// requests it, and every member asks its successor for an Ack.
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

// isHead reports whether this member is the head of the current chain.
func (c *core) isHead() bool { return c.acceptor.View.Head().Same(c.self) }

// appendCommand appends a command to the log at the next index. Only the head of an epoch does this, and only
// while it serves, so that an index and an epoch identify one command.
func (c *core) appendCommand(id string, command []byte) {
	entry := chain.Entry{Index: c.log.LastIndex() + 1, Epoch: c.epoch(), ID: id, Order: command}
	c.log.Append(entry)
	c.recordAppended([]chain.Entry{entry})
}

// recordAppended queues the record of new entries, unless a checkpoint is due, which will contain them.
func (c *core) recordAppended(entries []chain.Entry) {
	if !c.checkpointDue {
		c.records = append(c.records, encodeEntries(entries))
	}
}

// onAppend handles entries from the predecessor. If a member has the complete prefix, an Append of this epoch
// from its predecessor shows that all its predecessors have the prefix, too.
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
		c.invariant(epoch == m.PrevEpoch, "entry %d has epoch %d, but %d at the predecessor", m.Prev, epoch, m.PrevEpoch)
	}
	c.appendNew(m.Entries)
}

// appendNew appends the entries that the log lacks. Entries that the log already has must be the same commands, which
// is checked by their epochs.
func (c *core) appendNew(entries []chain.Entry) {
	for len(entries) > 0 && entries[0].Index <= c.log.LastIndex() {
		if epoch, known := c.log.EpochAt(entries[0].Index); known {
			c.invariant(epoch == entries[0].Epoch, "received entry %d differs in epoch from the log", entries[0].Index)
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

// advanceReplication sends the entries that have become durable to the successor, or commits them at the tail,
// applies the committed ones, and acknowledges progress to the predecessor.
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

// commitAtTail commits the entries that are durable at the tail. They are durable on all disks of the chain,
// because each predecessor sends only entries that are durable on its own disk.
func (c *core) commitAtTail() {
	if c.replication.prefixComplete && c.toleratesFailures() {
		c.commitIndex = max(c.commitIndex, c.durableIndex)
	}
}

// replicateTo sends the successor the entries that are durable on this member's disk and haven't been sent.
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

// requestAck asks the successor for its last index, after a delayed Ack has reported an index beyond which this
// member's log is already compacted.
func (c *core) requestAck(successor view.Member) {
	c.replication.successorKnown = false
	c.send(successor, AckRequest{Epoch: c.epoch()})
}

// sendAppend sends entries that follow the last entry sent. Without entries it only confirms the prefix.
func (c *core) sendAppend(successor view.Member, entries []chain.Entry) {
	epoch, _ := c.log.EpochAt(c.replication.sentIndex)
	c.send(successor, Append{Epoch: c.epoch(), Prev: c.replication.sentIndex, PrevEpoch: epoch, Entries: entries})
}

// sendAck reports this member's durable index and commit index to the predecessor. gap means that this member has
// received an Append whose Prev is beyond its log.
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

// onAck handles a report of the successor's progress. Acks may be lost, duplicated and reordered, so ackedIndex and
// commitIndex never decrease.
func (c *core) onAck(from view.Member, m Ack) {
	if m.Epoch < c.epoch() {
		c.sendView(from)
		return
	}
	_, successor := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !successor.Same(from) || c.syncedEpoch != c.epoch() {
		return
	}
	c.invariant(m.End <= c.log.LastIndex(),
		"successor's disk holds entries to %d, own log ends at %d", m.End, c.log.LastIndex())
	c.invariant(m.Commit <= c.log.LastIndex(), "successor committed to %d, log ends at %d", m.Commit, c.log.LastIndex())
	c.replication.ackedIndex = max(c.replication.ackedIndex, m.End)
	if !c.replication.successorKnown || m.Gap || c.replication.sentIndex < c.replication.ackedIndex {
		c.replication.successorKnown = true
		// Not m.End: a delayed Ack may report a lower index, and acknowledged entries may be compacted away.
		c.replication.sentIndex = c.replication.ackedIndex
	}
	c.replication.successorComplete = m.Whole
	c.commitIndex = max(c.commitIndex, m.Commit)
	if c.serving() && c.replication.prefixComplete && !m.Whole && c.replication.sentIndex >= c.durableIndex {
		c.sendAppend(successor, nil)
	}
}

// retransmit repeats the messages that a broken connection may have lost: the prefix request, the Ack, and
// entries if no progress was acknowledged since the last round. It is called at each round of heartbeats.
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

// applyCommitted applies the committed entries that aren't applied yet.
func (c *core) applyCommitted() {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	for applied < c.commitIndex && applied >= base && applied < c.log.LastIndex() {
		applied++
		c.applyEntry(c.log.Entry(applied))
	}
	c.completeStalenessProof()
}

// applyEntry applies a committed entry and completes the pending proposal of its command, if there is one.
func (c *core) applyEntry(entry chain.Entry) {
	outcome, repeated := c.state.Apply(entry)
	c.requests.complete(entry.ID, outcome)
	if c.onApply != nil {
		c.onApply(entry, outcome, repeated)
	}
}
