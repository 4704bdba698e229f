package replica

import (
	"fmt"
	"testing"
	"time"
)

// compactedCluster returns three machines with some acknowledged commands, whose logs were compacted
// completely.
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

// TestLatePrefixRequest repeats a request for the prefix long after the member got it and the source's log
// was compacted.
func TestLatePrefixRequest(t *testing.T) {
	sim := compactedCluster(t, 30)
	source, requester := sim.nodes[0], sim.nodes[1].core.self
	source.handle(func() { source.core.step(sim.now, requester, PrefixRequest{Epoch: source.core.epoch()}) })
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAck delivers an old Ack to the head, whose sender lacked then what the head has compacted since.
func TestLateAck(t *testing.T) {
	sim := compactedCluster(t, 31)
	head, successor := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() {
		head.core.step(sim.now, successor, Ack{Epoch: head.core.epoch(), End: 1, Whole: true, Gap: true})
	})
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAckBeforeAnyOther delivers an old Ack to a head that doesn't know its successor's last index, as
// after its disk refused writes.
func TestLateAckBeforeAnyOther(t *testing.T) {
	sim := compactedCluster(t, 36)
	head, successor := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() {
		head.core.enterChain()
		head.core.step(sim.now, successor, Ack{Epoch: head.core.epoch(), End: 1, Whole: true})
	})
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestCommandFromEarlierView delivers a command to the head that was forwarded before its view. The head
// drops it: the node where it was proposed forwards it again if its caller still waits.
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
			t.Error("a command from before the view was appended")
		}
	}
}

// TestCommandDeferredByPausedHead has a command wait at a head that is paused during a change of the view,
// until its caller has given up: the head must not forward it to the next head.
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
			t.Error("a command was appended that a paused head had deferred")
		}
	}
}

// TestCommandBeyondDeduplicationWindow delivers a command again whose first outcome has left the
// deduplication window.
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
			forward := Forward{ID: "order-1", Order: []byte("order-1"), Epoch: head.core.epoch(), Since: since}
			head.core.step(sim.now, sender, forward)
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
		t.Errorf("the command was applied %d times", times)
	}
}

// TestPendingProposalMissedBySnapshot has a member wait for a command whose outcome is missing in the
// snapshot that it is sent, because the deduplication window has moved on: the command must not be appended
// again.
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
		t.Errorf("the command was applied %d times", times)
	}
}

// TestChainStaysLongEnough has a member depart while another one was paused shortly before, and the third
// lose its disk. Had the view left one member in the chain, no remaining log would show what that one had
// committed.
func TestChainStaysLongEnough(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		sim := startSimulatedCluster(40+seed, 3, 1)
		sim.runUntil(2*time.Second + time.Duration(seed)*20*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		kept, leaving, paused := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		paused.pause()
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
		paused.resume()
		sim.runUntil(sim.now + 3*time.Second)
		sim.mustAcknowledge(t, paused, "after", 2*time.Second)
	}
}

// TestLeavingMemberIsReplaced has a member depart for good while a spare waits: once it is out, the loss of
// another disk is tolerated.
func TestLeavingMemberIsReplaced(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(60+seed, 4, 1)
		sim.runUntil(4*time.Second + time.Duration(seed)*17*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		leaving, lost := sim.nodes[seed%3], sim.nodes[(seed+1)%3]
		left := false
		leaving.handle(func() { leaving.core.leave(sim.now, func() { left = true }) })
		if !sim.runWhile(time.Second, func() bool { return !left }) {
			t.Fatalf("seed %d: the departing member isn't out after a second", seed)
		}
		v := leaving.core.view()
		if v.IsVoter(leaving.core.self) {
			t.Errorf("seed %d: the departed member votes", seed)
		}
		complete := 0
		for _, n := range sim.nodes {
			if v.InChain(n.core.self) && n.disk.shadow.synced == v.Epoch {
				complete++
			}
		}
		if complete != len(v.Chain) || complete != 3 {
			t.Errorf("seed %d: %d of %d members are complete when the other one leaves", seed, complete, len(v.Chain))
		}
		leaving.kill()
		leaving.removed = true
		lost.wipe()
		sim.mustAcknowledge(t, sim.nodes[3], "after", 3*time.Second)
	}
}
