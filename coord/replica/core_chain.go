package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// chainLink is the volatile state of the member's place in the chain of its epoch.
type replicationState struct {
	prefixComplete    bool // all predecessors' copies are whole in this epoch
	successorKnown    bool // the successor has told its end
	successorComplete bool // the successor knows that its predecessors are whole
	sentIndex         uint64
	ackedIndex        uint64 // the successor's end
	ackedAtHeartbeat  uint64 // ... at the last beat
	ackDue            bool
	gapReported       bool
	reportedCommit    uint64 // commit index last told to the predecessor
	prefixRequestedAt time.Duration
}

// enterChain starts the member's work in the chain of a view.
func (c *core) enterChain() {
	c.replication = replicationState{ackDue: true, prefixRequestedAt: never}
	if c.inChain() && c.syncedEpoch != c.epoch() {
		c.send(c.acceptor.View.Source, view.Decided{View: c.acceptor.View})
		c.requestPrefix()
	}
	if _, successor := c.acceptor.View.Adjacent(c.self); c.inChain() && !successor.IsZero() {
		c.send(successor, AckRequest{Epoch: c.epoch()})
	}
	if c.serving() && c.acceptor.View.Head().Same(c.self) {
		c.replication.prefixComplete = true
	}
}

// prefixEnd returns the index of the last order from before the present epoch.
func (c *core) prefixEnd() uint64 {
	end := c.log.LastIndex()
	base, _ := c.log.Base()
	for end > base {
		if epoch, _ := c.log.EpochAt(end); epoch < c.epoch() {
			break
		}
		end--
	}
	return end
}

// fetch asks the source for the prefix.
func (c *core) requestPrefix() {
	c.replication.prefixRequestedAt = c.now
	c.send(c.acceptor.View.Source, PrefixRequest{Epoch: c.epoch(), Runs: c.log.EpochRuns()})
}

func (c *core) onPrefixRequest(from view.Member, m PrefixRequest) {
	if m.Epoch < c.epoch() {
		c.sendView(from)
		return
	}
	if m.Epoch != c.epoch() || !c.serving() {
		return
	}
	end := c.prefixEnd()
	if common, ok := c.log.LastCommonIndex(m.Runs); ok && common <= end {
		c.send(from, PrefixTransfer{Epoch: m.Epoch, Common: common, Entries: c.entriesBetween(common, end)})
		return
	}
	if applied, _ := c.state.Applied(); applied > end {
		return // the chain has committed in this epoch, so all of it was whole: the asker asked before it was
	}
	snapshot := c.state.Snapshot()
	c.send(from, PrefixTransfer{Epoch: m.Epoch, Common: snapshot.Index, Image: &snapshot, Entries: c.entriesBetween(snapshot.Index, end)})
}

func (c *core) entriesBetween(after, end uint64) []chain.Entry {
	entries := c.log.After(after, int(^uint(0)>>1))
	if excess := after + uint64(len(entries)); excess > end {
		entries = entries[:end-after]
	}
	return entries
}

// onCopy takes in the source's prefix. It is one record, or a rewrite of the disk: whole or not at all.
func (c *core) onPrefixTransfer(from view.Member, m PrefixTransfer) {
	if m.Epoch != c.epoch() || !c.inChain() || c.syncedEpoch == c.epoch() || c.acceptor.Wedged() {
		return
	}
	if !from.Same(c.acceptor.View.Source) {
		return
	}
	if m.Image != nil {
		c.installSnapshot(m)
	} else {
		c.log.Truncate(m.Common)
		for _, entry := range m.Entries {
			c.log.Append(entry)
		}
		c.record(recordInstall, installRecord{Synced: c.epoch(), Common: m.Common, Entries: m.Entries})
	}
	c.syncedEpoch = c.epoch()
	c.requests.resendDue = true
	c.replication.ackDue = true
	c.replication.prefixComplete = c.acceptor.View.Head().Same(c.self)
	c.checkLogInvariants()
}

// checkPrefix checks that the log goes through what is applied and committed.
func (c *core) checkLogInvariants() {
	c.invariant(c.log.LastIndex() >= c.commitIndex, "log ends at %d, committed to %d", c.log.LastIndex(), c.commitIndex)
	applied, appliedEpoch := c.state.Applied()
	if logEpoch, ok := c.log.EpochAt(applied); ok {
		c.invariant(logEpoch == appliedEpoch, "entry %d is of epoch %d, applied was one of %d", applied, logEpoch, appliedEpoch)
	}
}

func (c *core) installSnapshot(m PrefixTransfer) {
	applied, _ := c.state.Applied()
	c.log = chain.NewLog(m.Image.Index, m.Image.Epoch, m.Entries)
	if m.Image.Index > applied {
		if err := c.state.Restore(*m.Image); err != nil {
			panic("replica: " + err.Error())
		}
		c.commitIndex = max(c.commitIndex, m.Image.Index)
		c.requests.completeRestored(c, applied)
	}
	c.checkpointDue = true
	c.records = nil
}

// orderEntry gives an order the next place. Only the head does this.
func (c *core) appendCommand(id string, command []byte) {
	entry := chain.Entry{Index: c.log.LastIndex() + 1, Epoch: c.epoch(), ID: id, Order: command}
	c.log.Append(entry)
	c.recordAppended([]chain.Entry{entry})
}

func (c *core) recordAppended(entries []chain.Entry) {
	if !c.checkpointDue {
		c.records = append(c.records, encodeEntries(entries))
	}
}

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

// appendNew appends what the log doesn't hold yet; what it holds must be the same.
func (c *core) appendNew(entries []chain.Entry) {
	for len(entries) > 0 && entries[0].Index <= c.log.LastIndex() {
		if epoch, known := c.log.EpochAt(entries[0].Index); known {
			c.invariant(epoch == entries[0].Epoch, "two orders at %d in one chain", entries[0].Index)
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

// advanceChain forwards, commits and acknowledges what has become durable.
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

func (c *core) commitAtTail() {
	if c.replication.prefixComplete && c.toleratesFailures() {
		c.commitIndex = max(c.commitIndex, c.durableIndex)
	}
}

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

// askAgain asks the successor for its end, where an Ack from long ago told one whose following orders are compacted away here.
func (c *core) requestAck(successor view.Member) {
	c.replication.successorKnown = false
	c.send(successor, AckRequest{Epoch: c.epoch()})
}

func (c *core) sendAppend(successor view.Member, entries []chain.Entry) {
	epoch, _ := c.log.EpochAt(c.replication.sentIndex)
	c.send(successor, Append{Epoch: c.epoch(), Prev: c.replication.sentIndex, PrevEpoch: epoch, Entries: entries})
}

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

func (c *core) onAck(from view.Member, m Ack) {
	if m.Epoch < c.epoch() {
		c.sendView(from)
		return
	}
	_, successor := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !successor.Same(from) || c.syncedEpoch != c.epoch() {
		return
	}
	c.invariant(m.End <= c.log.LastIndex(), "successor holds %d, its predecessor %d", m.End, c.log.LastIndex())
	c.invariant(m.Commit <= c.log.LastIndex(), "committed %d, held %d", m.Commit, c.log.LastIndex())
	c.replication.ackedIndex = max(c.replication.ackedIndex, m.End)
	if !c.replication.successorKnown || m.Gap || c.replication.sentIndex < c.replication.ackedIndex {
		c.replication.successorKnown = true
		c.replication.sentIndex = c.replication.ackedIndex // an older Ack may come late, and what is acknowledged may be compacted away
	}
	c.replication.successorComplete = m.Whole
	c.commitIndex = max(c.commitIndex, m.Commit)
	if c.serving() && c.replication.prefixComplete && !m.Whole && c.replication.sentIndex >= c.durableIndex {
		c.sendAppend(successor, nil)
	}
}

// linkBeat repeats, at each heartbeat, what a broken connection may have lost.
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

// applyCommitted applies what is known to be on all disks of a chain.
func (c *core) applyCommitted() {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	for applied < c.commitIndex && applied >= base && applied < c.log.LastIndex() {
		applied++
		c.applyEntry(c.log.Entry(applied))
	}
	c.completeStalenessProof()
}

func (c *core) applyEntry(entry chain.Entry) {
	outcome, repeated := c.state.Apply(entry)
	c.requests.complete(entry.ID, outcome)
	if c.onApply != nil {
		c.onApply(entry, outcome, repeated)
	}
}
