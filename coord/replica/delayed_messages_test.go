package replica

import (
	"fmt"
	"testing"
	"time"
)

// compactedCluster returns a cluster of three machines with acknowledged commands. All but the last command are
// compacted away from their logs.
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

// TestLatePrefixRequest delivers a duplicate prefix request long after the requester received the prefix, when the
// source's log has been compacted.
func TestLatePrefixRequest(t *testing.T) {
	sim := compactedCluster(t, 30)
	source, requester := sim.nodes[0], sim.nodes[1].core.self
	source.handle(func() { source.core.step(sim.now, requester, PrefixRequest{Epoch: source.core.epoch()}) })
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAck delivers a delayed Ack to the head. It reports an index beyond which the head's log has been compacted
// since.
func TestLateAck(t *testing.T) {
	sim := compactedCluster(t, 31)
	head, successor := sim.nodes[0], sim.nodes[1].core.self
	head.handle(func() {
		head.core.step(sim.now, successor, Ack{Epoch: head.core.epoch(), End: 1, Whole: true, Gap: true})
	})
	sim.runUntil(sim.now + 100*time.Millisecond)
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
}

// TestLateAckBeforeAnyOther delivers a delayed Ack to a head that doesn't know its successor's last index, as is the
// case after its disk was reopened.
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

// TestCommandFromEarlierView delivers to the head a command that was forwarded in an earlier view. The head must drop
// it: the node where it was proposed forwards it again if its caller still waits.
func TestCommandFromEarlierView(t *testing.T) {
	sim := startSimulatedCluster(32, 3, 1)
	sim.runUntil(2 * time.Second)
	sim.nodes[2].kill()
	sim.runUntil(4 * time.Second)
	head := sim.nodes[0]
	if head.core.epoch() != 2 {
		t.Fatalf("the head is in epoch %d, want 2", head.core.epoch())
	}
	sender := sim.nodes[1].core.self
	head.handle(func() { head.core.step(sim.now, sender, Forward{ID: "late", Order: []byte("late"), Epoch: 1}) })
	sim.mustAcknowledge(t, sim.nodes[1], "after", time.Second)
	for _, command := range head.stateMachine.commands {
		if command == "late" {
			t.Error("a command that was forwarded in an earlier view was appended")
		}
	}
}

// TestCommandDeferredByPausedHead delivers a command to a head that is paused during a change of the view until the
// command's caller has given up. After it resumes, the head must not forward the command to the next head.
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
			t.Error("a command that a paused head had deferred was appended")
		}
	}
}

// TestCommandBeyondDeduplicationWindow delivers a command again after its outcome has left the deduplication window.
// The command must not be applied a second time.
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
		t.Errorf("the command was applied %d times, want once", times)
	}
}

// TestPendingProposalMissedBySnapshot pauses a member that has a pending proposal. When it resumes, it is sent a
// snapshot without the outcome of the command, because the outcome has left the deduplication window. The member must
// not cause the command to be appended again.
func TestPendingProposalMissedBySnapshot(t *testing.T) {
	sim := startSimulatedCluster(34, 3, 1)
	sim.limits.deduplicationWindow = 8
	sim.limits.retainedLogBytes = 0
	sim.runUntil(2 * time.Second)
	absent, head := sim.nodes[2], sim.nodes[0]
	absent.propose("missed", nil)
	sim.runUntil(sim.now + 2*time.Millisecond)
	absent.pause()
	sim.runUntil(sim.now + 3*time.Second)
	for i := range 30 {
		sim.mustAcknowledge(t, head, fmt.Sprint("order-", i), time.Second)
	}
	for _, n := range sim.nodes {
		n.handle(func() { n.core.checkpointDue = true })
	}
	sim.runUntil(sim.now + 100*time.Millisecond)
	absent.resume()
	sim.runUntil(sim.now + 5*time.Second)
	times := 0
	for _, command := range head.stateMachine.commands {
		if command == "missed" {
			times++
		}
	}
	if times != 1 {
		t.Errorf("the command was applied %d times, want once", times)
	}
}

// TestChainStaysLongEnough makes one member depart shortly after another one was paused; the third member then loses
// its disk. The view must not reduce the chain to one member, because no remaining log would contain the commands that
// this member had committed alone.
func TestChainStaysLongEnough(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		sim := startSimulatedCluster(40+seed, 3, 1)
		sim.runUntil(2*time.Second + time.Duration(seed)*20*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		staying, leaving, paused := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		paused.pause()
		sim.runUntil(sim.now + time.Duration(seed)*50*time.Millisecond)
		leaving.handle(func() { leaving.core.leave(sim.now, func() {}) })
		sim.runUntil(sim.now + 1500*time.Millisecond)
		if length := len(staying.core.view().Chain); length < 2 {
			t.Errorf("seed %d: the chain of epoch %d has %d members, want at least 2", seed, staying.core.epoch(), length)
		}
		leaving.kill()
		staying.wipe()
		sim.runUntil(sim.now + 500*time.Millisecond)
		leaving.start(false)
		staying.start(false)
		paused.resume()
		sim.runUntil(sim.now + 3*time.Second)
		sim.mustAcknowledge(t, paused, "after", 2*time.Second)
	}
}

// TestLeavingMemberIsReplaced makes a member depart permanently while a spare is available. Once the member has left
// the chain, the loss of another disk must be tolerated.
func TestLeavingMemberIsReplaced(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(60+seed, 4, 1)
		sim.runUntil(4*time.Second + time.Duration(seed)*17*time.Millisecond)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		leaving, lost := sim.nodes[seed%3], sim.nodes[(seed+1)%3]
		left := false
		leaving.handle(func() { leaving.core.leave(sim.now, func() { left = true }) })
		if !sim.runWhile(time.Second, func() bool { return !left }) {
			t.Fatalf("seed %d: the departing member hasn't left within a second", seed)
		}
		v := leaving.core.view()
		if v.IsVoter(leaving.core.self) {
			t.Errorf("seed %d: the departed member is still a voter", seed)
		}
		complete := 0
		for _, n := range sim.nodes {
			if v.InChain(n.core.self) && n.disk.shadow.synced == v.Epoch {
				complete++
			}
		}
		if complete != len(v.Chain) || complete != 3 {
			t.Errorf("seed %d: %d of %d members have the prefix after the departure, want 3", seed, complete, len(v.Chain))
		}
		leaving.kill()
		leaving.removed = true
		lost.wipe()
		sim.mustAcknowledge(t, sim.nodes[3], "after", 3*time.Second)
	}
}
