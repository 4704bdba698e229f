package replica

import (
	"math"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// requestPrefix requests the prefix from the view's source. The request describes this member's log, so that the
// source sends only the difference.
func (c *core) requestPrefix() {
	c.replication.prefixRequestedAt = c.now
	c.send(c.acceptor.View.Source, PrefixRequest{Epoch: c.epoch(), Runs: c.log.EpochRuns()})
}

// onPrefixRequest sends the prefix: the entries after the last common index, or a snapshot and the entries after it
// if the logs have no common part that is still retained.
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
		// A command of this epoch is applied on this member, so the whole chain already has the prefix, and the
		// request is outdated.
		return
	}
	snapshot := c.state.Snapshot()
	c.send(from, PrefixTransfer{
		Epoch:   m.Epoch,
		Common:  snapshot.Index,
		Image:   &snapshot,
		Entries: c.entriesBetween(snapshot.Index, end),
	})
}

// prefixEnd returns the index of the last command before the current epoch.
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

// entriesBetween returns the entries after the index after, up to and including the index end.
func (c *core) entriesBetween(after, end uint64) []chain.Entry {
	entries := c.log.After(after, math.MaxInt)
	if excess := after + uint64(len(entries)); excess > end {
		entries = entries[:end-after]
	}
	return entries
}

// onPrefixTransfer replaces the end of the log by the prefix of the source. The change is written as a single record
// or as a checkpoint, so that after a crash the disk holds either the old log or the complete prefix, never a mix of
// both. A wedged member ignores the transfer, because its prepare response has described its log.
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
	c.replication.prefixComplete = c.isHead()
	c.checkLogInvariants()
}

// installSnapshot restores the snapshot of a transfer and replaces the log by the entries after it.
func (c *core) installSnapshot(m PrefixTransfer) {
	c.log = chain.NewLog(m.Image.Index, m.Image.Epoch, m.Entries)
	c.restoreSnapshot(m.Image)
	c.checkpointDue = true
	c.records = nil
}

// restoreSnapshot advances the state machine to a snapshot, unless it has already applied as many commands. All
// commands in a snapshot are committed, because a snapshot covers applied commands only. If the state machine can't
// restore the snapshot, for instance because another version of it wrote the snapshot, restoreSnapshot panics,
// because this member can no longer follow the others.
func (c *core) restoreSnapshot(snapshot *chain.Snapshot) {
	applied, _ := c.state.Applied()
	if snapshot.Index <= applied {
		return
	}
	if err := c.state.Restore(*snapshot); err != nil {
		panic("replica: restore a snapshot: " + err.Error())
	}
	c.commitIndex = max(c.commitIndex, snapshot.Index)
	c.completeRestored(applied)
}

// checkLogInvariants checks that a new prefix contains all commands that are applied or committed on this member.
func (c *core) checkLogInvariants() {
	c.invariant(c.log.LastIndex() >= c.commitIndex, "log ends at %d, commit index is %d", c.log.LastIndex(), c.commitIndex)
	applied, appliedEpoch := c.state.Applied()
	if logEpoch, ok := c.log.EpochAt(applied); ok {
		c.invariant(logEpoch == appliedEpoch, "entry %d has epoch %d, but the applied command had epoch %d",
			applied, logEpoch, appliedEpoch)
	}
}
