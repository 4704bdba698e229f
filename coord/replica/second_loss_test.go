package replica

import (
	"testing"
	"time"
)

// TestLossAfterALeaveAtACrash has a member leave in the moment in which the others find another one silent,
// and then takes the disk of the one that goes on: the two that are left hold every acknowledged order.
func TestLossAfterALeaveAtACrash(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		w := startedWorld(seed, 3, 1)
		w.runUntil(2 * time.Second)
		w.acknowledged(t, w.nodes[0], "before", time.Second)
		stays, leaves, dies := w.nodes[0], w.nodes[1], w.nodes[2]
		dies.kill()
		w.runWhile(time.Second, func() bool { return leaves.core.alive(dies.core.self) })
		leaves.handle(func() { leaves.core.announceDeparture(w.now) })
		w.runUntil(w.now + 300*time.Millisecond)
		stays.wipe()
		leaves.kill()
		leaves.start(false)
		dies.start(false)
		w.acknowledged(t, leaves, "after", 5*time.Second)
		if view := leaves.core.view(); len(leaves.machine.orders) != 2 {
			w.failf("%d orders in %v", len(leaves.machine.orders), view)
		}
	}
}

// TestLossAfterUnfinishedViews has two views follow each other of which only the source has the prefix, and
// then takes the source's disk: the two that are left hold every acknowledged order.
func TestLossAfterUnfinishedViews(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		w := startedWorld(seed, 3, 1)
		w.runUntil(2 * time.Second)
		w.acknowledged(t, w.nodes[0], "before", time.Second)
		w.nodes[2].kill()
		source := w.unfinishedView(w.nodes[0], w.nodes[1])
		first, second := w.nodes[1], w.nodes[2]
		if source == first {
			first = w.nodes[0]
		}
		second.start(false)
		if again := w.unfinishedView(source, second); again != source {
			w.failf("the source of an unfinished view isn't that of the next, but %s", again.name)
		}
		source.wipe()
		first.start(false)
		second.start(false)
		w.acknowledged(t, first, "after", 5*time.Second)
		if len(first.machine.orders) != 2 {
			w.failf("%d orders are left", len(first.machine.orders))
		}
	}
}

// unfinishedView waits until two members stand in a new view and ends the one that isn't its source before it
// has the prefix.
func (w *world) unfinishedView(a, b *simulatedNode) (source *simulatedNode) {
	epoch := max(a.core.epoch(), b.core.epoch())
	stands := func() bool {
		for _, n := range []*simulatedNode{a, b} {
			v := n.core.view()
			if v.Epoch > epoch && v.Source.Same(n.core.self) && !n.syncing {
				source = n
			}
		}
		return source != nil
	}
	if !w.runWhile(5*time.Second, func() bool { return !stands() }) {
		w.failf("no view of %s and %s", a.name, b.name)
	}
	ends := a
	if source == a {
		ends = b
	}
	ends.kill()
	if ends.disk.shadow.synced > epoch {
		w.failf("%s has the prefix", ends.name)
	}
	return source
}

// TestLossAfterASpareAskedForAPlace has a spare ask for the place of a member that is absent for long, while
// the disk of that one is one of the two that hold the newest order, and then takes the other disk.
func TestLossAfterASpareAskedForAPlace(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		w := startedWorld(seed, 4, 1)
		w.runUntil(3 * time.Second)
		holds, absent, returns, spare := w.nodes[0], w.nodes[1], w.nodes[2], w.nodes[3]
		returns.kill()
		w.runUntil(w.now + time.Second)
		w.acknowledged(t, holds, "before", 3*time.Second)
		absent.kill()
		w.runUntil(w.now + replacementTimeout + time.Second)
		returns.start(false)
		epoch := holds.core.epoch()
		if !w.runWhile(5*time.Second, func() bool { return holds.core.epoch() == epoch }) {
			w.failf("no view of %s and %s", holds.name, returns.name)
		}
		holds.wipe()
		absent.start(false)
		w.acknowledged(t, spare, "after", 5*time.Second)
		if len(spare.machine.orders) != 2 {
			w.failf("%d orders are left", len(spare.machine.orders))
		}
	}
}
