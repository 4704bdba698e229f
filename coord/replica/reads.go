package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// pendingRead is a linearizable read that waits for its read index (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014, section 6.4): an index that covers all commands acknowledged before the read began. A
// chain member has one as soon as the epoch is confirmed for a moment after the beginning; a learner asks its
// upstream. The read completes once the local state machine has applied up to it.
type pendingRead struct {
	startedAt  time.Duration
	index      uint64 // the read index, once indexKnown
	indexKnown bool
	requested  bool // a round of heartbeats, or a request to the upstream, is on its way
	sentAt     time.Duration
	seq        uint64               // numbers the reads of this process
	done       func(applied uint64) // nil: the read is a learner's

	// Of a learner's read.
	requester            view.Member
	requesterSeq         uint64
	requesterIncarnation uint64
}

// read calls done once everything acknowledged before now is applied here.
func (c *core) read(now time.Duration, done func(applied uint64)) *pendingRead {
	c.now = now
	c.requests.readSeq++
	read := &pendingRead{startedAt: now, seq: c.requests.readSeq, done: done}
	c.requests.reads = append(c.requests.reads, read)
	return read
}

// cancelRead drops a read whose caller doesn't wait any more.
func (c *core) cancelRead(cancelled *pendingRead) {
	for i, read := range c.requests.reads {
		if read == cancelled {
			c.requests.reads = slices.Delete(c.requests.reads, i, i+1)
			return
		}
	}
}

// onReadIndexRequest takes in a learner's read. A repeated request is the same read.
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

// onReadIndexReply takes in the read index of a read of this node's callers.
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

// completeReads answers the reads whose read index is known and applied, or for a learner committed.
func (c *core) completeReads() {
	applied, _ := c.state.Applied()
	waiting := c.requests.reads[:0]
	for _, read := range c.requests.reads {
		if c.inChain() && !read.indexKnown && c.syncedEpoch == c.epoch() && c.epochConfirmedAt >= read.startedAt {
			read.index, read.indexKnown = c.log.LastIndex(), true
		}
		switch {
		case read.indexKnown && read.done != nil && applied >= read.index:
			read.done(applied)
		case read.indexKnown && read.done == nil && c.commitIndex >= read.index:
			c.send(read.requester, ReadIndexReply{Life: read.requesterIncarnation, Seq: read.requesterSeq, Index: read.index})
		case read.done == nil && c.now-read.startedAt > remoteReadTimeout:
		default:
			waiting = append(waiting, read)
		}
	}
	c.requests.reads = waiting
}

// requestReadIndexes starts one urgent round of heartbeats, or asks the upstream, for all reads that wait.
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
