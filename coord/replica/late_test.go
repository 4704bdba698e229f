package replica

import (
	"fmt"
	"testing"
	"time"
)

// busyWorld is three machines whose logs are compacted at once, with some orders acknowledged.
func busyWorld(t *testing.T, seed uint64) *world {
	w := startedWorld(seed, 3, 1)
	w.limits.retainedLogBytes = 0
	w.runUntil(2 * time.Second)
	for i := range 12 {
		w.acknowledged(t, w.nodes[0], fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range w.nodes {
		n.handle(func() { n.core.checkpointDue = true })
	}
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[0], "last", time.Second)
	return w
}

// TestLateFetch asks the source for its prefix once more, long after the asker had it and the log was compacted.
func TestLateFetch(t *testing.T) {
	w := busyWorld(t, 30)
	source, asker := w.nodes[0], w.nodes[1].core.self
	source.handle(func() { source.core.step(w.now, asker, PrefixRequest{Epoch: source.core.epoch()}) })
	w.acknowledged(t, w.nodes[1], "after", time.Second)
}

// TestLateAck brings the head an Ack from long ago, whose sender lacked what the head has compacted since.
func TestLateAck(t *testing.T) {
	w := busyWorld(t, 31)
	head, after := w.nodes[0], w.nodes[1].core.self
	head.handle(func() { head.core.step(w.now, after, Ack{Epoch: head.core.epoch(), End: 1, Whole: true, Gap: true}) })
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[1], "after", time.Second)
}

// TestLateAckAtFirst brings a head that knows nothing of its successor's end, as after a disk that took no bytes, an Ack from long ago.
func TestLateAckAtFirst(t *testing.T) {
	w := busyWorld(t, 36)
	head, after := w.nodes[0], w.nodes[1].core.self
	head.handle(func() {
		head.core.enterChain()
		head.core.step(w.now, after, Ack{Epoch: head.core.epoch(), End: 1, Whole: true})
	})
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[1], "after", time.Second)
}

// TestOrderFromEarlierView brings the head an order that was sent before its view: the machine that it was proposed at sends it again
// if anybody still waits for it.
func TestOrderFromEarlierView(t *testing.T) {
	w := startedWorld(32, 3, 1)
	w.runUntil(2 * time.Second)
	w.nodes[2].kill()
	w.runUntil(4 * time.Second)
	head := w.nodes[0]
	if head.core.epoch() != 2 {
		t.Fatalf("epoch %d", head.core.epoch())
	}
	sender := w.nodes[1].core.self
	head.handle(func() { head.core.step(w.now, sender, Forward{ID: "late", Order: []byte("late"), Epoch: 1}) })
	w.acknowledged(t, w.nodes[1], "after", time.Second)
	for _, command := range head.machine.orders {
		if command == "late" {
			t.Error("an order from before the view was taken")
		}
	}
}

// TestOrderHeldByFrozenHead has orders wait for a head that stands still in the midst of a change of the view, until their callers have
// given up: it passes none of them on to the head after it.
func TestOrderHeldByFrozenHead(t *testing.T) {
	w := startedWorld(35, 3, 1)
	w.runUntil(2 * time.Second)
	head, sender := w.nodes[0], w.nodes[1].core.self
	head.handle(func() { head.core.proposeView("test") })
	w.runUntil(w.now + time.Millisecond/4)
	head.freeze()
	forward := Forward{ID: "held", Order: []byte("held"), Epoch: head.core.epoch()}
	head.handle(func() { head.core.step(w.now, sender, forward) })
	w.runUntil(w.now + 3*time.Second)
	w.acknowledged(t, w.nodes[1], "meanwhile", time.Second)
	head.thaw()
	w.runUntil(w.now + 2*time.Second)
	for _, command := range w.nodes[1].machine.orders {
		if command == "held" {
			t.Error("an order was taken that a frozen head held")
		}
	}
}

// TestOrderBeyondMemory brings the head an order again whose first outcome is forgotten.
func TestOrderBeyondMemory(t *testing.T) {
	w := startedWorld(33, 3, 1)
	w.limits.deduplicationWindow = 8
	w.runUntil(2 * time.Second)
	for i := range 20 {
		w.acknowledged(t, w.nodes[i%3], fmt.Sprint("order-", i), time.Second)
	}
	head, sender := w.nodes[0], w.nodes[1].core.self
	for _, since := range []uint64{0, 1, 11} {
		head.handle(func() {
			head.core.step(w.now, sender, Forward{ID: "order-1", Order: []byte("order-1"), Epoch: head.core.epoch(), Since: since})
		})
		w.acknowledged(t, w.nodes[1], fmt.Sprint("after-", since), time.Second)
	}
	times := 0
	for _, command := range head.machine.orders {
		if command == "order-1" {
			times++
		}
	}
	if times != 1 {
		t.Errorf("the order was applied %d times", times)
	}
}

// TestPendingOrderMissedByImage has a member wait for an order through an image that no longer tells what became of it: it must not be
// ordered again.
func TestPendingOrderMissedByImage(t *testing.T) {
	w := startedWorld(34, 3, 1)
	w.limits.deduplicationWindow = 8
	w.limits.retainedLogBytes = 0
	w.runUntil(2 * time.Second)
	away, head := w.nodes[2], w.nodes[0]
	away.propose("missed", nil)
	w.runUntil(w.now + 2*time.Millisecond)
	away.freeze()
	w.runUntil(w.now + 3*time.Second)
	for i := range 30 {
		w.acknowledged(t, head, fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range w.nodes {
		n.handle(func() { n.core.checkpointDue = true })
	}
	w.runUntil(w.now + 100*time.Millisecond)
	away.thaw()
	w.runUntil(w.now + 5*time.Second)
	times := 0
	for _, command := range head.machine.orders {
		if command == "missed" {
			times++
		}
	}
	if times != 1 {
		t.Errorf("the order was applied %d times", times)
	}
}

// TestChainStaysLongEnough has a member leave while another one has just fallen silent, and the third lose its disk: had the view left
// one member in the chain, nobody could promise what comes after it.
func TestChainStaysLongEnough(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		w := startedWorld(40+seed, 3, 1)
		w.runUntil(2*time.Second + time.Duration(seed)*20*time.Millisecond)
		w.acknowledged(t, w.nodes[0], "before", time.Second)
		kept, leaving, silent := w.nodes[0], w.nodes[1], w.nodes[2]
		silent.freeze()
		w.runUntil(w.now + time.Duration(seed)*50*time.Millisecond)
		leaving.handle(func() { leaving.core.leave(w.now, func() {}) })
		w.runUntil(w.now + 1500*time.Millisecond)
		if length := len(kept.core.view().Chain); length < 2 {
			t.Errorf("seed %d: the chain of epoch %d has %d members", seed, kept.core.epoch(), length)
		}
		leaving.kill()
		kept.wipe()
		w.runUntil(w.now + 500*time.Millisecond)
		leaving.start(false)
		kept.start(false)
		silent.thaw()
		w.runUntil(w.now + 3*time.Second)
		w.acknowledged(t, silent, "after", 2*time.Second)
	}
}

// TestLeavingMemberIsReplaced has a member leave for good where a spare machine waits: once it is out, the loss of another disk is borne.
func TestLeavingMemberIsReplaced(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		w := startedWorld(60+seed, 4, 1)
		w.runUntil(4*time.Second + time.Duration(seed)*17*time.Millisecond)
		w.acknowledged(t, w.nodes[0], "before", time.Second)
		leaving, lost := w.nodes[seed%3], w.nodes[(seed+1)%3]
		left := false
		leaving.handle(func() { leaving.core.leave(w.now, func() { left = true }) })
		if !w.runWhile(time.Second, func() bool { return !left }) {
			t.Fatalf("seed %d: the member isn't out after a second", seed)
		}
		v := leaving.core.view()
		if v.IsVoter(leaving.core.self) {
			t.Errorf("seed %d: the member that has left votes", seed)
		}
		whole := 0
		for _, n := range w.nodes {
			if v.InChain(n.core.self) && n.disk.shadow.synced == v.Epoch {
				whole++
			}
		}
		if whole != len(v.Chain) || whole != 3 {
			t.Errorf("seed %d: %d of %d members are whole when the other one leaves", seed, whole, len(v.Chain))
		}
		leaving.kill()
		leaving.gone = true
		lost.wipe()
		w.acknowledged(t, w.nodes[3], "after", 3*time.Second)
	}
}
