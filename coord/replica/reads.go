package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/view"
)

// pendingRead is a linearizable read that waits for its read index (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014, section 6.4): an index that covers all commands acknowledged before the read began. A chain
// member knows the read index as soon as the epoch is confirmed for a moment after the start of the read; a learner
// requests it from its upstream. The read completes once the local state machine has applied the commands up to the
// read index.
type pendingRead struct {
	startedAt  time.Duration
	index      uint64 // the read index, valid if indexKnown
	indexKnown bool
	requested  bool // an urgent round of heartbeats or a request to the upstream was sent
	sentAt     time.Duration
	seq        uint64               // number of the read among those of this process
	done       func(applied uint64) // nil: the read was requested by a learner

	// Set for a read that was requested by a learner.
	requester            view.Member
	requesterSeq         uint64
	requesterIncarnation uint64
}

// read starts a read of a caller of this node. It calls done once all commands acknowledged before now are applied
// on this node.
func (c *core) read(now time.Duration, done func(applied uint64)) *pendingRead {
	c.now = now
	c.requests.readSeq++
	read := &pendingRead{startedAt: now, seq: c.requests.readSeq, done: done}
	c.requests.reads = append(c.requests.reads, read)
	return read
}

// cancelRead drops a read whose caller no longer waits.
func (c *core) cancelRead(cancelled *pendingRead) {
	for i, read := range c.requests.reads {
		if read == cancelled {
			c.requests.reads = slices.Delete(c.requests.reads, i, i+1)
			return
		}
	}
}

// onReadIndexRequest handles a learner's request for a read index. A repeated request doesn't start another read.
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

// onReadIndexReply sets the read index of a read of this node's callers.
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

// completeReads completes the reads of this node's callers whose read index is applied, and answers the reads of
// learners whose read index is committed. It drops reads of learners after remoteReadTimeout.
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

// requestReadIndexes requests the read indexes of all waiting reads: a chain member sends one urgent round of
// heartbeats for all of them, a learner sends requests to its upstream.
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
