package replica

import (
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// chainLink is the volatile state of the member's place in the chain of its epoch.
type chainLink struct {
	whole     bool // all predecessors' copies are whole in this epoch
	known     bool // the successor has told its end
	succWhole bool // the successor knows that its predecessors are whole
	sent      uint64
	acked     uint64 // the successor's end
	lastAcked uint64 // ... at the last beat
	ackDue    bool
	gapTold   bool
	ackedUp   uint64 // commit index last told to the predecessor
	fetchedAt time.Duration
}

// enterChain starts the member's work in the chain of a view.
func (c *core) enterChain() {
	c.link = chainLink{ackDue: true, fetchedAt: never}
	if c.inChain() && c.synced != c.epoch() {
		c.send(c.acceptor.View.Source, view.Decided{View: c.acceptor.View})
		c.fetch()
	}
	if _, after := c.acceptor.View.Adjacent(c.self); c.inChain() && !after.IsZero() {
		c.send(after, Resume{Epoch: c.epoch()})
	}
	if c.serving() && c.acceptor.View.Head().Same(c.self) {
		c.link.whole = true
	}
}

// prefixEnd returns the index of the last order from before the present epoch.
func (c *core) prefixEnd() uint64 {
	end := c.log.End()
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
func (c *core) fetch() {
	c.link.fetchedAt = c.now
	c.send(c.acceptor.View.Source, Fetch{Epoch: c.epoch(), Runs: c.log.Runs()})
}

func (c *core) onFetch(from view.Member, m Fetch) {
	if m.Epoch < c.epoch() {
		c.tellView(from)
		return
	}
	if m.Epoch != c.epoch() || !c.serving() {
		return
	}
	end := c.prefixEnd()
	if common, ok := c.log.Common(m.Runs); ok && common <= end {
		c.send(from, Copy{Epoch: m.Epoch, Common: common, Entries: c.entriesBetween(common, end)})
		return
	}
	if applied, _ := c.state.Applied(); applied > end {
		return // the chain has committed in this epoch, so all of it was whole: the asker asked before it was
	}
	image := c.state.Image()
	c.send(from, Copy{Epoch: m.Epoch, Common: image.Index, Image: &image, Entries: c.entriesBetween(image.Index, end)})
}

func (c *core) entriesBetween(after, end uint64) []chain.Entry {
	entries := c.log.After(after, int(^uint(0)>>1))
	if excess := after + uint64(len(entries)); excess > end {
		entries = entries[:end-after]
	}
	return entries
}

// onCopy takes in the source's prefix. It is one record, or a rewrite of the disk: whole or not at all.
func (c *core) onCopy(from view.Member, m Copy) {
	if m.Epoch != c.epoch() || !c.inChain() || c.synced == c.epoch() || c.acceptor.Wedged() {
		return
	}
	if !from.Same(c.acceptor.View.Source) {
		return
	}
	if m.Image != nil {
		c.installImage(m)
	} else {
		c.log.Truncate(m.Common)
		for _, entry := range m.Entries {
			c.log.Append(entry)
		}
		c.record(recordInstall, installRecord{Synced: c.epoch(), Common: m.Common, Entries: m.Entries})
	}
	c.synced = c.epoch()
	c.work.resend = true
	c.link.ackDue = true
	c.link.whole = c.acceptor.View.Head().Same(c.self)
	c.checkPrefix()
}

// checkPrefix checks that the log goes through what is applied and committed.
func (c *core) checkPrefix() {
	c.invariant(c.log.End() >= c.commit, "log ends at %d, committed to %d", c.log.End(), c.commit)
	applied, epoch := c.state.Applied()
	if held, ok := c.log.EpochAt(applied); ok {
		c.invariant(held == epoch, "entry %d is of epoch %d, applied was one of %d", applied, held, epoch)
	}
}

func (c *core) installImage(m Copy) {
	applied, _ := c.state.Applied()
	c.log = chain.NewLog(m.Image.Index, m.Image.Epoch, m.Entries)
	if m.Image.Index > applied {
		if err := c.state.Restore(*m.Image); err != nil {
			panic("replica: " + err.Error())
		}
		c.commit = max(c.commit, m.Image.Index)
		c.work.settleRestored(c, applied)
	}
	c.rewrite = true
	c.records = nil
}

// orderEntry gives an order the next place. Only the head does this.
func (c *core) orderEntry(id string, order []byte) {
	entry := chain.Entry{Index: c.log.End() + 1, Epoch: c.epoch(), ID: id, Order: order}
	c.log.Append(entry)
	c.recordAppended([]chain.Entry{entry})
}

func (c *core) recordAppended(entries []chain.Entry) {
	if !c.rewrite {
		c.records = append(c.records, encodeEntries(entries))
	}
}

func (c *core) onAppend(from view.Member, m Append) {
	if m.Epoch < c.epoch() {
		c.tellView(from)
		return
	}
	before, _ := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !c.serving() || !before.Same(from) {
		return
	}
	if m.Prev > c.log.End() {
		if !c.link.gapTold {
			c.link.gapTold = true
			c.sendAck(true)
		}
		return
	}
	if !c.link.whole {
		c.link.whole = true
		c.link.ackDue = true
	}
	c.link.gapTold = false
	if epoch, held := c.log.EpochAt(m.Prev); held {
		c.invariant(epoch == m.PrevEpoch, "entry %d is of epoch %d here, of %d before", m.Prev, epoch, m.PrevEpoch)
	}
	c.appendNew(m.Entries)
}

// appendNew appends what the log doesn't hold yet; what it holds must be the same.
func (c *core) appendNew(entries []chain.Entry) {
	for len(entries) > 0 && entries[0].Index <= c.log.End() {
		if epoch, held := c.log.EpochAt(entries[0].Index); held {
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
func (c *core) advanceChain() {
	if c.serving() {
		_, after := c.acceptor.View.Adjacent(c.self)
		if after.IsZero() {
			c.commitAtTail()
		} else if c.link.known && c.link.whole {
			c.forwardTo(after)
		}
	}
	c.applyCommitted()
	if c.serving() && (c.link.ackDue || c.commit > c.link.ackedUp) {
		c.sendAck(false)
	}
}

func (c *core) commitAtTail() {
	if c.link.whole && c.enough() {
		c.commit = max(c.commit, c.durableTo)
	}
}

func (c *core) forwardTo(after view.Member) {
	for c.link.sent < c.durableTo {
		entries := c.log.After(c.link.sent, c.limits.batchBytes)
		if len(entries) == 0 {
			c.askAgain(after)
			return
		}
		c.sendAppend(after, entries)
		c.link.sent += uint64(len(entries))
	}
}

// askAgain asks the successor for its end, where an Ack from long ago told one whose following orders are compacted away here.
func (c *core) askAgain(after view.Member) {
	c.link.known = false
	c.send(after, Resume{Epoch: c.epoch()})
}

func (c *core) sendAppend(after view.Member, entries []chain.Entry) {
	epoch, _ := c.log.EpochAt(c.link.sent)
	c.send(after, Append{Epoch: c.epoch(), Prev: c.link.sent, PrevEpoch: epoch, Entries: entries})
}

func (c *core) sendAck(gap bool) {
	before, _ := c.acceptor.View.Adjacent(c.self)
	c.link.ackDue = false
	c.link.ackedUp = c.commit
	c.send(before, Ack{
		Epoch:  c.epoch(),
		End:    c.durableTo,
		Commit: min(c.commit, c.durableTo),
		Whole:  c.link.whole,
		Gap:    gap,
	})
}

func (c *core) onAck(from view.Member, m Ack) {
	if m.Epoch < c.epoch() {
		c.tellView(from)
		return
	}
	_, after := c.acceptor.View.Adjacent(c.self)
	if m.Epoch != c.epoch() || !after.Same(from) || c.synced != c.epoch() {
		return
	}
	c.invariant(m.End <= c.log.End(), "successor holds %d, its predecessor %d", m.End, c.log.End())
	c.invariant(m.Commit <= c.log.End(), "committed %d, held %d", m.Commit, c.log.End())
	c.link.acked = max(c.link.acked, m.End)
	if !c.link.known || m.Gap || c.link.sent < c.link.acked {
		c.link.known = true
		c.link.sent = c.link.acked // an older Ack may come late, and what is acknowledged may be compacted away
	}
	c.link.succWhole = m.Whole
	c.commit = max(c.commit, m.Commit)
	if c.serving() && c.link.whole && !m.Whole && c.link.sent >= c.durableTo {
		c.sendAppend(after, nil)
	}
}

// linkBeat repeats, at each heartbeat, what a broken connection may have lost.
func (c *core) linkBeat() {
	if !c.inChain() || c.acceptor.Wedged() {
		return
	}
	if c.synced != c.epoch() {
		if c.now-c.link.fetchedAt >= retryInterval {
			c.fetch()
		}
		return
	}
	c.link.gapTold = false
	before, after := c.acceptor.View.Adjacent(c.self)
	if !before.IsZero() {
		c.link.ackDue = true
	}
	if after.IsZero() || !c.link.known {
		return
	}
	if c.link.sent > c.link.acked && c.link.acked == c.link.lastAcked {
		c.link.sent = c.link.acked
	}
	c.link.lastAcked = c.link.acked
}

// applyCommitted applies what is known to be on all disks of a chain.
func (c *core) applyCommitted() {
	applied, _ := c.state.Applied()
	base, _ := c.log.Base()
	for applied < c.commit && applied >= base && applied < c.log.End() {
		applied++
		c.applyEntry(c.log.Entry(applied))
	}
	c.settleFreshness()
}

func (c *core) applyEntry(entry chain.Entry) {
	outcome, repeated := c.state.Apply(entry)
	c.work.settle(entry.ID, outcome)
	if c.onApply != nil {
		c.onApply(entry, outcome, repeated)
	}
}
