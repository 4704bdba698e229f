package replica

import (
	"fmt"
	"testing"
	"time"
)

// busyWorld is three machines whose logs are compacted at once, with some orders acknowledged.
func busyWorld(t *testing.T, seed uint64) *world {
	w := startedWorld(seed, 3, 1)
	w.limits.keptLog = 0
	w.runUntil(2 * time.Second)
	for i := range 12 {
		w.acknowledged(t, w.nodes[0], fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range w.nodes {
		n.handle(func() { n.core.rewrite = true })
	}
	w.runUntil(w.now + 100*time.Millisecond)
	w.acknowledged(t, w.nodes[0], "last", time.Second)
	return w
}

// TestLateFetch asks the source for its prefix once more, long after the asker had it and the log was compacted.
func TestLateFetch(t *testing.T) {
	w := busyWorld(t, 30)
	source, asker := w.nodes[0], w.nodes[1].core.self
	source.handle(func() { source.core.step(w.now, asker, Fetch{Epoch: source.core.epoch()}) })
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
	for _, order := range head.machine.orders {
		if order == "late" {
			t.Error("an order from before the view was taken")
		}
	}
}

// TestOrderBeyondMemory brings the head an order again whose first outcome is forgotten.
func TestOrderBeyondMemory(t *testing.T) {
	w := startedWorld(33, 3, 1)
	w.limits.remembered = 8
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
	for _, order := range head.machine.orders {
		if order == "order-1" {
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
	w.limits.remembered = 8
	w.limits.keptLog = 0
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
		n.handle(func() { n.core.rewrite = true })
	}
	w.runUntil(w.now + 100*time.Millisecond)
	away.thaw()
	w.runUntil(w.now + 5*time.Second)
	times := 0
	for _, order := range head.machine.orders {
		if order == "missed" {
			times++
		}
	}
	if times != 1 {
		t.Errorf("the order was applied %d times", times)
	}
}
