package replica

import (
	"testing"
	"time"
)

// TestLossAfterDepartureDuringFailover has a member depart at the moment at which the others suspect another
// one, and then takes the disk of the one that goes on: the two that are left have every acknowledged
// command.
func TestLossAfterDepartureDuringFailover(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(seed, 3, 1)
		sim.runUntil(2 * time.Second)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		stays, leaves, dies := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		dies.kill()
		sim.runWhile(time.Second, func() bool { return leaves.core.alive(dies.core.self) })
		leaves.handle(func() { leaves.core.announceDeparture(sim.now) })
		sim.runUntil(sim.now + 300*time.Millisecond)
		stays.wipe()
		leaves.kill()
		leaves.start(false)
		dies.start(false)
		sim.mustAcknowledge(t, leaves, "after", 5*time.Second)
		if view := leaves.core.view(); len(leaves.stateMachine.commands) != 2 {
			sim.failf("%d commands in %v", len(leaves.stateMachine.commands), view)
		}
	}
}

// TestLossAfterUnfinishedViews has two views follow each other in which only the source has the complete
// prefix, and then takes the source's disk: the two that are left have every acknowledged command.
func TestLossAfterUnfinishedViews(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(seed, 3, 1)
		sim.runUntil(2 * time.Second)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		sim.nodes[2].kill()
		source := sim.unfinishedView(sim.nodes[0], sim.nodes[1])
		first, second := sim.nodes[1], sim.nodes[2]
		if source == first {
			first = sim.nodes[0]
		}
		second.start(false)
		if again := sim.unfinishedView(source, second); again != source {
			sim.failf("the source of an unfinished view isn't that of the next, but %s", again.name)
		}
		source.wipe()
		first.start(false)
		second.start(false)
		sim.mustAcknowledge(t, first, "after", 5*time.Second)
		if len(first.stateMachine.commands) != 2 {
			sim.failf("%d commands are left", len(first.stateMachine.commands))
		}
	}
}

// unfinishedView waits until two members are in a new view, and kills the one that isn't its source before it
// has the prefix.
func (sim *simulatedCluster) unfinishedView(a, b *simulatedNode) (source *simulatedNode) {
	epoch := max(a.core.epoch(), b.core.epoch())
	hasSource := func() bool {
		for _, n := range []*simulatedNode{a, b} {
			v := n.core.view()
			if v.Epoch > epoch && v.Source.Same(n.core.self) && !n.syncing {
				source = n
			}
		}
		return source != nil
	}
	if !sim.runWhile(5*time.Second, func() bool { return !hasSource() }) {
		sim.failf("no view of %s and %s", a.name, b.name)
	}
	victim := a
	if source == a {
		victim = b
	}
	victim.kill()
	if victim.disk.shadow.synced > epoch {
		sim.failf("%s has the prefix", victim.name)
	}
	return source
}

// TestLossAfterSpareAskedToJoin has a spare ask for the place of a member that is absent for long, while the
// disk of that one is one of the two that hold the newest command, and then takes the other disk.
func TestLossAfterSpareAskedToJoin(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(seed, 4, 1)
		sim.runUntil(3 * time.Second)
		holds, absent, returns, spare := sim.nodes[0], sim.nodes[1], sim.nodes[2], sim.nodes[3]
		returns.kill()
		sim.runUntil(sim.now + time.Second)
		sim.mustAcknowledge(t, holds, "before", 3*time.Second)
		absent.kill()
		sim.runUntil(sim.now + replacementTimeout + time.Second)
		returns.start(false)
		epoch := holds.core.epoch()
		if !sim.runWhile(5*time.Second, func() bool { return holds.core.epoch() == epoch }) {
			sim.failf("no view of %s and %s", holds.name, returns.name)
		}
		holds.wipe()
		absent.start(false)
		sim.mustAcknowledge(t, spare, "after", 5*time.Second)
		if len(spare.stateMachine.commands) != 2 {
			sim.failf("%d commands are left", len(spare.stateMachine.commands))
		}
	}
}
