package replica

import (
	"testing"
	"time"
)

// TestLossAfterDepartureDuringFailover makes one member depart at the moment at which it suspects a killed member. Then
// the third member loses its disk. The departed and the killed member, restarted, must have every acknowledged command.
func TestLossAfterDepartureDuringFailover(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(seed, 3, 1)
		sim.runUntil(2 * time.Second)
		sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
		staying, leaving, killed := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		killed.kill()
		sim.runWhile(time.Second, func() bool { return leaving.core.alive(killed.core.self) })
		leaving.handle(func() { leaving.core.announceDeparture(sim.now) })
		sim.runUntil(sim.now + 300*time.Millisecond)
		staying.wipe()
		leaving.kill()
		leaving.start(false)
		killed.start(false)
		sim.mustAcknowledge(t, leaving, "after", 5*time.Second)
		if view := leaving.core.view(); len(leaving.stateMachine.commands) != 2 {
			sim.failf("%d commands are applied in %v, want 2", len(leaving.stateMachine.commands), view)
		}
	}
}

// TestLossAfterUnfinishedViews creates two successive views in which only the source has the complete prefix. Then the
// source loses its disk. The other two members must have every acknowledged command.
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
		if secondSource := sim.unfinishedView(source, second); secondSource != source {
			sim.failf("the source of the second unfinished view is %s, not the source of the first", secondSource.name)
		}
		source.wipe()
		first.start(false)
		second.start(false)
		sim.mustAcknowledge(t, first, "after", 5*time.Second)
		if len(first.stateMachine.commands) != 2 {
			sim.failf("%d commands are applied, want 2", len(first.stateMachine.commands))
		}
	}
}

// unfinishedView waits until one of two members is the source of a new view, and kills the other one before it has the
// prefix. It returns the source.
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
		sim.failf("neither %s nor %s is the source of a new view within 5 s", a.name, b.name)
	}
	victim := a
	if source == a {
		victim = b
	}
	victim.kill()
	if victim.disk.shadow.synced > epoch {
		sim.failf("%s already has the prefix of the new view", victim.name)
	}
	return source
}

// TestLossAfterSpareAskedToJoin has a spare that may replace a member which is absent for long. The disk of the absent
// member is one of the two that hold the newest command. Then the other of the two is lost. The command must not be
// lost.
func TestLossAfterSpareAskedToJoin(t *testing.T) {
	for seed := uint64(0); seed < 30; seed++ {
		sim := startSimulatedCluster(seed, 4, 1)
		sim.runUntil(3 * time.Second)
		holder, absent, returning, spare := sim.nodes[0], sim.nodes[1], sim.nodes[2], sim.nodes[3]
		returning.kill()
		sim.runUntil(sim.now + time.Second)
		sim.mustAcknowledge(t, holder, "before", 3*time.Second)
		absent.kill()
		sim.runUntil(sim.now + replacementTimeout + time.Second)
		returning.start(false)
		epoch := holder.core.epoch()
		if !sim.runWhile(5*time.Second, func() bool { return holder.core.epoch() == epoch }) {
			sim.failf("%s adopts no new view within 5 s of the restart of %s", holder.name, returning.name)
		}
		holder.wipe()
		absent.start(false)
		sim.mustAcknowledge(t, spare, "after", 5*time.Second)
		if len(spare.stateMachine.commands) != 2 {
			sim.failf("%d commands are applied, want 2", len(spare.stateMachine.commands))
		}
	}
}
