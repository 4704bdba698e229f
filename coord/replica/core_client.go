package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// pendingOrder is an order that was proposed here and whose outcome isn't known yet.
type pendingOrder struct {
	id     string
	order  []byte
	sent   bool // it left this node, or was given a place: it may be applied
	sentAt time.Duration
	since  uint64 // the order wasn't applied at or below this index
	unsure bool   // it may have been applied above since, and be forgotten
	waits  []*waiter
}

// waiter is one call that waits for an order's outcome, which comes at most once.
type waiter struct{ outcomes chan chain.Outcome }

// pendingRead waits for a proof that is younger than its start.
type pendingRead struct {
	startedAt time.Duration
	asked     bool
	index     uint64 // all orders acknowledged before the start are at or below it
	known     bool
	seq       uint64
	sentAt    time.Duration
	done      func(index uint64)
	remote    view.Member // asker, when the read is another node's
	remoteSeq uint64
	life      uint64
}

// clientWork is what this node's callers wait for.
type clientWork struct {
	orders  map[string]*pendingOrder
	reads   []*pendingRead
	resend  bool
	readSeq uint64
	held    []heldOrder
}

// heldOrder came to the head at a moment at which it may not order: it waits for the end of the
// change of the view, or for the prefix.
type heldOrder struct {
	Forward
	heldAt time.Duration
}

// maxHeld bounds the orders that wait at the head.
const maxHeld = 1024

func (w *clientWork) init() { w.orders = make(map[string]*pendingOrder) }

func (w *clientWork) settle(id string, outcome chain.Outcome) {
	order := w.orders[id]
	if order == nil || id == "" {
		return
	}
	delete(w.orders, id)
	for _, wait := range order.waits {
		wait.outcomes <- outcome
	}
}

// settleRestored settles orders whose outcomes came with an image, where the machine had applied orders to an index before.
func (w *clientWork) settleRestored(c *core, before uint64) {
	applied, _ := c.state.Applied()
	for _, id := range sortedKeys(w.orders) {
		if outcome, known := c.state.Outcome(id); known {
			w.settle(id, outcome)
			continue
		}
		order := w.orders[id]
		order.unsure = order.unsure || order.sent && applied-before > uint64(c.limits.remembered)
	}
}

// submit takes an order from a caller of this node, whose outcome is told when it is applied here.
func (c *core) submit(now time.Duration, id string, order []byte, wait *waiter) {
	c.now = now
	if outcome, known := c.state.Outcome(id); known {
		wait.outcomes <- outcome
		return
	}
	pending := c.work.orders[id]
	if pending == nil {
		pending = &pendingOrder{id: id, order: order}
		c.work.orders[id] = pending
	}
	pending.waits = append(pending.waits, wait)
	c.dispatch(pending)
}

// withdraw forgets a caller's order and tells whether it may have been taken.
func (c *core) withdraw(id string, wait *waiter) (sent bool) {
	order := c.work.orders[id]
	if order == nil {
		return true
	}
	order.waits = slices.DeleteFunc(order.waits, func(other *waiter) bool { return other == wait })
	if len(order.waits) == 0 {
		delete(c.work.orders, id)
	}
	return order.sent
}

// dispatch gives an order a place, or sends it towards the head.
func (c *core) dispatch(order *pendingOrder) {
	order.sentAt = c.now
	if !order.unsure {
		order.since, _ = c.state.Applied()
	}
	head := c.acceptor.View.Head()
	switch {
	case c.epoch() == 0:
	case head.Same(c.self) && c.disk:
		if c.take(order.id, order.order, order.since) {
			order.sent = true
		}
	case c.isVoter():
		if next := c.towards(head); !next.IsZero() {
			order.sent = true
			c.forward(next, order)
		}
	case c.feed.alive(c.now):
		order.sent = true
		c.forward(c.feed.feeder, order)
	}
}

func (c *core) forward(to view.Member, order *pendingOrder) {
	c.send(to, Forward{ID: order.id, Order: order.order, Epoch: c.epoch(), Since: order.since})
}

// towards returns the member to which a voter sends its orders: the head, or where the link to it is broken a member of the chain
// that is in touch with both.
func (c *core) towards(head view.Member) view.Member {
	if c.heard(head) {
		return head
	}
	for _, m := range c.acceptor.View.Chain {
		if m.Same(c.self) || !c.inTouch(m) {
			continue
		}
		if c.peers[m.ID()].heard[head.ID()] {
			return m
		}
	}
	return view.Member{}
}

// take gives an order a place at the head, once. An order that may have been applied so long ago that its outcome is forgotten gets none.
func (c *core) take(id string, order []byte, since uint64) bool {
	if !c.serving() || !c.enough() || c.leaving {
		return false
	}
	if _, known := c.state.Outcome(id); known {
		return true
	}
	applied, _ := c.state.Applied()
	if c.log.End()-applied >= uint64(c.limits.uncommitted) {
		return false
	}
	for index := c.log.End(); index > applied; index-- {
		if id != "" && c.log.Entry(index).ID == id {
			return true
		}
	}
	if since < c.log.End() && c.log.End()-since >= uint64(c.limits.remembered) {
		return false
	}
	c.orderEntry(id, order)
	return true
}

// onForward takes in an order from elsewhere. One that was sent in an earlier epoch may be as old as a cut is long, and one that waited
// for this process as old as its standstill: its node sends it again, if its caller still waits.
func (c *core) onForward(from view.Member, m Forward) {
	if m.Epoch < c.epoch() || c.stoodStill() {
		c.tellView(from)
		return
	}
	head := c.acceptor.View.Head()
	if head.Same(c.self) {
		if !c.take(m.ID, m.Order, m.Since) && !c.serving() && len(c.work.held) < maxHeld {
			c.work.held = append(c.work.held, heldOrder{Forward: m, heldAt: c.now})
		}
		return
	}
	if m.Hops < 2 && c.disk && c.epoch() > 0 {
		m.Hops++
		c.send(head, m)
	}
}

// releaseHeld goes on, in the next view at most, with the orders that came while this head couldn't order. Their senders repeat
// them, so an old one is dropped.
func (c *core) releaseHeld() {
	if len(c.work.held) == 0 || c.acceptor.Wedged() {
		return
	}
	if c.acceptor.View.Head().Same(c.self) && !c.serving() {
		return
	}
	held := c.work.held
	c.work.held = nil
	for _, order := range held {
		if c.now-order.heldAt <= retryInterval && order.Epoch+1 >= c.epoch() {
			order.Epoch = max(order.Epoch, c.epoch())
			c.onForward(c.self, order.Forward)
		}
	}
}

// workTick repeats what may have been lost.
func (c *core) workTick() {
	for _, id := range sortedKeys(c.work.orders) {
		order := c.work.orders[id]
		if c.work.resend || c.now-order.sentAt >= retryInterval {
			c.dispatch(order)
		}
	}
	c.work.resend = false
	for _, read := range c.work.reads {
		if read.asked && c.now-read.sentAt >= retryInterval {
			read.asked = false
		}
	}
}

// read calls done once everything acknowledged before now is applied here.
func (c *core) read(now time.Duration, done func(index uint64)) *pendingRead {
	c.now = now
	c.work.readSeq++
	read := &pendingRead{startedAt: now, seq: c.work.readSeq, done: done}
	c.work.reads = append(c.work.reads, read)
	return read
}

// forgetRead drops a read whose caller has gone.
func (c *core) forgetRead(gone *pendingRead) {
	for i, read := range c.work.reads {
		if read == gone {
			c.work.reads = append(c.work.reads[:i], c.work.reads[i+1:]...)
			return
		}
	}
}

func (c *core) onReadRequest(from view.Member, m ReadRequest) {
	if !c.inChain() {
		return
	}
	for _, read := range c.work.reads {
		if read.remote.Same(from) && read.life == m.Life && read.remoteSeq == m.Seq {
			return
		}
	}
	c.work.reads = append(c.work.reads, &pendingRead{
		startedAt: c.now, remote: from, remoteSeq: m.Seq, life: m.Life,
	})
}

func (c *core) onReadReply(m ReadReply) {
	if m.Life != c.life {
		return
	}
	for _, read := range c.work.reads {
		if read.done != nil && read.seq == m.Seq {
			read.index, read.known = m.Index, true
		}
	}
}

// completeReads answers the reads that have their proofs.
func (c *core) completeReads() {
	applied, _ := c.state.Applied()
	waiting := c.work.reads[:0]
	for _, read := range c.work.reads {
		if c.inChain() && !read.known && c.synced == c.epoch() && c.fresh.epochAt >= read.startedAt {
			read.index, read.known = c.log.End(), true
		}
		switch {
		case read.known && read.done != nil && applied >= read.index:
			read.done(applied)
		case read.known && read.done == nil && c.commit >= read.index:
			c.send(read.remote, ReadReply{Life: read.life, Seq: read.remoteSeq, Index: read.index})
		case read.done == nil && c.now-read.startedAt > 2*time.Second:
		default:
			waiting = append(waiting, read)
		}
	}
	c.work.reads = waiting
}

// askForReads sends one urgent round of heartbeats for all reads that wait for one.
func (c *core) askForReads() {
	urgent := false
	for _, read := range c.work.reads {
		if read.asked || read.known {
			continue
		}
		read.asked, read.sentAt = true, c.now
		if c.inChain() {
			urgent = true
		} else if read.done != nil && c.feed.alive(c.now) {
			c.send(c.feed.feeder, ReadRequest{Life: c.life, Seq: read.seq})
		}
	}
	if urgent {
		c.beat(true)
		if len(c.acceptor.View.Voters) == 1 {
			c.proveEpoch()
		}
	}
}
