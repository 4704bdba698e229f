package replica

import (
	"fmt"
	"testing"
	"time"
)

// busyWorld is three machines whose logs are compacted at once, with some orders acknowledged.
func compactedCluster(t *testing.T, seed uint64) *simulatedCluster {
	sim := startSimulatedCluster(seed, 3, 1)
	sim.limits.retainedLogBytes = 0
	sim.runUntil(2 * time.Second)
	for i := range 12 {
		sim.mustAcknowledge(t, sim.nodes[0], fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range sim.nodes {
		n.handle(func() { n.core.checkpointDue = true })
	}
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[0], "last", time.Second)
	return sim
}

// TestLateFetch asks the source for its prefix once more, long after the asker had it and the log was compacted.
func TestLatePrefixRequest(t *testing.T) {
	sim := compactedCluster(t, 30)
	source, asker := sim.nodes[0], sim.nodes[1].core.self
	source.handle(func() { source.core.step(sim.now, asker, PrefixRequest{Epoch: source.core.epoch()}) })
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAck brings the head an Ack from long ago, whose sender lacked what the head has compacted since.
func TestLateAck(t *testing.T) {
	sim := compactedCluster(t, 31)
	head, after := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() { head.core.step(sim.now, after, Ack{Epoch: head.core.epoch(), End: 1, Whole: true, Gap: true}) })
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAckAtFirst brings a head that knows nothing of its successor's end, as after a disk that took no bytes, an Ack from long ago.
func TestLateAckBeforeAnyOther(t *testing.T) {
	sim := compactedCluster(t, 36)
	head, after := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() {
		head.core.enterChain()
		head.core.step(sim.now, after, Ack{Epoch: head.core.epoch(), End: 1, Whole: true})
	})
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestOrderFromEarlierView brings the head an order that was sent before its view: the machine that it was proposed at sends it again
// if anybody still waits for it.
func TestCommandFromEarlierView(t *testing.T) {
	sim := startSimulatedCluster(32, 3, 1)
	sim.runUntil(2 * time.Second)
	sim.nodes[2].kill()
	sim.runUntil(4 * time.Second)
	head := sim.nodes[0]
	if head.core.epoch() != 2 {
		t.Fatalf("epoch %d", head.core.epoch())
	}
	sender := sim.nodes[1].core.self
	head.handle(func() { head.core.step(sim.now, sender, Forward{ID: "late", Order: []byte("late"), Epoch: 1}) })
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
	for _, command := range head.stateMachine.commands {
		if command == "late" {
			t.Error("an order from before the view was taken")
		}
	}
}

// TestOrderHeldByFrozenHead has orders wait for a head that stands still in the midst of a change of the view, until their callers have
// given up: it passes none of them on to the head after it.
func TestCommandDeferredByPausedHead(t *testing.T) {
	sim := startSimulatedCluster(35, 3, 1)
	sim.runUntil(2 * time.Second)
	head, sender := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() { head.core.proposeView("test") })
	sim.runUntil(sim.now + time.Millisecond/4)
	head.pause()
	forward := Forward{ID: "held", Order: []byte("held"), Epoch: head.core.epoch()}
	head.handle(func() { head.core.step(sim.now, sender, forward) })
	sim.runUntil(sim.now + 3*time.Second)
	sim.mustAcknowledge(t, sim.nodes[1], "meanwhile", time.Second)
	head.resume()
	sim.runUntil(sim.now + 2*time.Second)
	for _, command := range sim.nodes[1].stateMachine.commands {
		if command == "held" {
			t.Error("an order was taken that a frozen head held")
		}
	}
}

// TestOrderBeyondMemory brings the head an order again whose first outcome is forgotten.
func TestCommandBeyondDeduplicationWindow(t *testing.T) {
	sim := startSimulatedCluster(33, 3, 1)
	sim.limits.deduplicationWindow = 8
	sim.runUntil(2 * time.Second)
	for i := range 20 {
		sim.mustAcknowledge(t, sim.nodes[i%3], fmt.Sprint("order-", i), time.Second)
	}
	head, sender := sim.nodes[0], sim.nodes[1].core.self
	for _, since := range []uint64{0, 1, 11} {
		head.handle(func() {
			head.core.step(sim.now, sender, Forward{ID: "order-1", Order: []byte("order-1"), Epoch: head.core.epoch(), Since: since})
		})
		sim.mustAcknowledge(t, sim.nodes[1], fmt.Sprint("after-", since), time.Second)
	}
	times := 0
	for _, command := range head.stateMachine.commands {
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
func TestPendingProposalMissedBySnapshot(t *testing.T) {
	sim := startSimulatedCluster(34, 3, 1)
	sim.limits.deduplicationWindow = 8
	sim.limits.retainedLogBytes = 0
	sim.runUntil(2 * time.Second)
	away, head := sim.nodes[2], sim.nodes[0]
	away.propose("missed", nil)
	sim.runUntil(sim.now + 2*time.Millisecond)
	away.pause()
	sim.runUntil(sim.now + 3*time.Second)
	for i := range 30 {
		sim.mustAcknowledge(t, head, fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range sim.nodes {
		n.handle(func() { n.core.checkpointDue = true })
	}
	sim.runUntil(sim.now + 100*time.Millisecond)
	away.resume()
	sim.runUntil(sim.now + 5*time.Second)
	times := 0
	for _, command := range head.stateMachine.commands {
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
		sim := startSimulatedCluster(40+seed, 3, 1)
		sim.runUntil(2*time.Second + time.Duration(seed)*20*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		kept, leaving, silent := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		silent.pause()
		sim.runUntil(sim.now + time.Duration(seed)*50*time.Millisecond)
		leaving.handle(func() { leaving.core.leave(sim.now, func() {}) })
		sim.runUntil(sim.now + 1500*time.Millisecond)
		if length := len(kept.core.view().Chain); length < 2 {
			t.Errorf("seed %d: the chain of epoch %d has %d members", seed, kept.core.epoch(), length)
		}
		leaving.kill()
		kept.wipe()
		sim.runUntil(sim.now + 500*time.Millisecond)
		leaving.start(false)
		kept.start(false)
		silent.resume()
		sim.runUntil(sim.now + 3*time.Second)
		sim.mustAcknowledge(t, silent, "after", 2*time.Second)
	}
}

// TestLeavingMemberIsReplaced has a member leave for good where a spare machine waits: once it is out, the loss of another disk is borne.
func TestLeavingMemberIsReplaced(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(60+seed, 4, 1)
		sim.runUntil(4*time.Second + time.Duration(seed)*17*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		leaving, lost := sim.nodes[seed%3], sim.nodes[(seed+1)%3]
		left := false
		leaving.handle(func() { leaving.core.leave(sim.now, func() { left = true }) })
		if !sim.runWhile(time.Second, func() bool { return !left }) {
			t.Fatalf("seed %d: the member isn't out after a second", seed)
		}
		v := leaving.core.view()
		if v.IsVoter(leaving.core.self) {
			t.Errorf("seed %d: the member that has left votes", seed)
		}
		whole := 0
		for _, n := range sim.nodes {
			if v.InChain(n.core.self) && n.disk.shadow.synced == v.Epoch {
				whole++
			}
		}
		if whole != len(v.Chain) || whole != 3 {
			t.Errorf("seed %d: %d of %d members are whole when the other one leaves", seed, whole, len(v.Chain))
		}
		leaving.kill()
		leaving.removed = true
		lost.wipe()
		sim.mustAcknowledge(t, sim.nodes[3], "after", 3*time.Second)
	}
}
