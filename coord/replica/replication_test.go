package replica

import (
	"fmt"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// mustAcknowledge proposes a command through a node and returns the time until the acknowledgement. If it takes longer
// than limit, the run fails.
func (sim *simulatedCluster) mustAcknowledge(
	t *testing.T, n *simulatedNode, id string, limit time.Duration,
) time.Duration {
	t.Helper()
	start := sim.now
	done := false
	n.propose(id, func(chain.Outcome) { done = true })
	if !sim.runWhile(limit, func() bool { return !done }) {
		sim.failf("command %s isn't acknowledged within %v", id, limit)
	}
	return sim.now - start
}

// TestAcknowledgementsWithoutFaults bounds the latency of commands and the staleness of nodes while nothing
// fails.
func TestAcknowledgementsWithoutFaults(t *testing.T) {
	sim := startSimulatedCluster(1, 3, 1)
	learner := sim.addNode(false)
	sim.after(100*time.Millisecond, func() { learner.start(true) })
	sim.runUntil(time.Second)
	for i := 0; i < 20; i++ {
		for j, n := range sim.nodes {
			took := sim.mustAcknowledge(t, n, fmt.Sprintf("%d-%d", i, j), time.Second)
			if took > 30*time.Millisecond {
				t.Errorf("command %d through %s took %v, want at most 30 ms", i, n.name, took)
			}
			n.read()
		}
	}
	sim.runUntil(sim.now + time.Second)
	sim.checkStaleness()
	for _, n := range sim.nodes {
		if len(n.stateMachine.commands) != 80 {
			t.Errorf("%s applied %d commands, want 80", n.name, len(n.stateMachine.commands))
		}
		asOf, proven := n.core.currentAsOf()
		if !proven || sim.now-asOf > 900*time.Millisecond {
			t.Errorf("%s is current as of %v at %v (%v)", n.name, asOf, sim.now, proven)
		}
	}
	if until, ok := sim.nodes[0].core.leaderLease(); !ok {
		t.Errorf("the head doesn't hold the leader lease (expiry %v)", until)
	}
}

// TestLossOfAnyMember kills each member of a chain in turn. The others must acknowledge the next command, and the
// killed member must return to the chain after its restart.
func TestLossOfAnyMember(t *testing.T) {
	for victim := 0; victim < 3; victim++ {
		sim := startSimulatedCluster(uint64(10+victim), 3, 1)
		sim.runUntil(2 * time.Second)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		sim.nodes[victim].kill()
		took := sim.mustAcknowledge(t, sim.nodes[(victim+1)%3], "after", 3*time.Second)
		if took > 1500*time.Millisecond {
			t.Errorf("member %d killed: next command after %v", victim, took)
		}
		t.Logf("member %d killed: next command after %v", victim, took)
		sim.nodes[victim].start(false)
		restartedAt := sim.now
		n := sim.nodes[victim]
		if !sim.runWhile(2*time.Second, func() bool { return !n.core.serving() || len(n.core.view().Chain) != 3 }) {
			sim.failf("the killed member isn't back in the chain within 2 s of its restart")
		}
		t.Logf("back in the chain after %v", sim.now-restartedAt)
	}
}

// TestCommandRelayedAroundPartitionedLink partitions the link between the tail and the head in one or both
// directions. The chain doesn't use this link, so the view must not change, and commands proposed at the tail must be
// relayed by the member between them.
func TestCommandRelayedAroundPartitionedLink(t *testing.T) {
	for _, ways := range [][]int{{0, 2}, {2, 0}, {0, 2, 2, 0}} {
		sim := startSimulatedCluster(20, 3, 1)
		sim.runUntil(2 * time.Second)
		for i := 0; i < len(ways); i += 2 {
			sim.partition(sim.nodes[ways[i]], sim.nodes[ways[i+1]])
		}
		sim.runUntil(5 * time.Second)
		if chain := sim.nodes[1].core.view(); chain.Epoch != 1 {
			t.Errorf("partition %v: the view changed from epoch 1 to %d, %v", ways, chain.Epoch, chain)
		}
		took := sim.mustAcknowledge(t, sim.nodes[2], "around", time.Second)
		t.Logf("partition %v: acknowledged after %v", ways, took)
	}
}

// TestCommandOfMemberOutsideChain partitions the link between the head and the second member, so that the next view
// excludes one of them. Commands proposed through either of them must still be acknowledged.
func TestCommandOfMemberOutsideChain(t *testing.T) {
	sim := startSimulatedCluster(21, 3, 1)
	sim.runUntil(2 * time.Second)
	sim.partition(sim.nodes[0], sim.nodes[1])
	sim.partition(sim.nodes[1], sim.nodes[0])
	sim.runUntil(5 * time.Second)
	for _, n := range sim.nodes {
		took := sim.mustAcknowledge(t, n, "through "+n.name, time.Second)
		t.Logf("through %s: acknowledged after %v", n.name, took)
	}
}
