package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// resourceUsage is what a member keeps in memory and on its disk.
type resourceUsage struct {
	logBytes  int // of the commands in its log
	outcomes  int // in its deduplication window
	pending   int // proposals, reads, deferred commands, learners and peers
	diskBytes int64
}

// maximum returns the larger of each value.
func (u resourceUsage) maximum(other resourceUsage) resourceUsage {
	return resourceUsage{
		logBytes:  max(u.logBytes, other.logBytes),
		outcomes:  max(u.outcomes, other.outcomes),
		pending:   max(u.pending, other.pending),
		diskBytes: max(u.diskBytes, other.diskBytes),
	}
}

// resourceUsage measures a node.
func (n *simulatedNode) resourceUsage() resourceUsage {
	c := n.core
	base, _ := c.log.Base()
	var usage resourceUsage
	for _, entry := range c.log.After(base, 1<<30) {
		usage.logBytes += len(entry.ID) + len(entry.Order)
	}
	usage.outcomes = len(c.state.Snapshot().Outcomes)
	usage.pending = len(c.requests.proposals) + len(c.requests.reads) + len(c.requests.deferred) +
		len(c.learners) + len(c.peers)
	names, _ := n.disk.files.List()
	for _, name := range names {
		size, _ := n.disk.files.Size(name)
		usage.diskBytes += size
	}
	return usage
}

// proposeMany proposes count commands of about 100 bytes, eight at a time, and calls sample at every
// hundredth.
func (sim *simulatedCluster) proposeMany(t *testing.T, name string, count int, sample func()) {
	t.Helper()
	text := strings.Repeat("x", 100)
	finished, begun := 0, 0
	var next func()
	next = func() {
		if begun == count {
			return
		}
		begun++
		sim.nodes[begun%2].propose(fmt.Sprintf("%s-%d-%s", name, begun, text), func(chain.Outcome) {
			finished++
			if finished%100 == 0 {
				sample()
			}
			next()
		})
	}
	for range 8 {
		next()
	}
	if !sim.runWhile(5*time.Minute, func() bool { return finished < count }) {
		t.Fatalf("%d of %d commands are acknowledged", finished, count)
	}
}

// TestResourceUsageIsBounded proposes 10,000 commands: what a member keeps doesn't grow over the last half of
// them, in memory or on disk.
func TestResourceUsageIsBounded(t *testing.T) {
	sim := startSimulatedCluster(80, 3, 1)
	sim.retainedCommands = 16
	sim.checkpointAt = 64 << 10
	sim.limits.retainedLogBytes = 32 << 10
	sim.limits.deduplicationWindow = 1024
	sim.runUntil(2 * time.Second)
	learner := sim.addNode(false)
	learner.start(true)
	sim.runUntil(3 * time.Second)
	measure := func(name string, count int) resourceUsage {
		var most resourceUsage
		sim.proposeMany(t, name, count, func() {
			for _, n := range sim.members() {
				most = most.maximum(n.resourceUsage())
			}
		})
		return most
	}
	measure("first", 5000)
	early := measure("early", 2500)
	late := measure("late", 2500)
	t.Logf("commands 5,000 to 7,500: %+v; 7,500 to 10,000: %+v", early, late)
	if late.outcomes != sim.limits.deduplicationWindow {
		t.Errorf("%d outcomes are remembered, of %d", late.outcomes, sim.limits.deduplicationWindow)
	}
	if late.logBytes > early.logBytes*11/10 || late.pending > early.pending+8 || late.diskBytes > early.diskBytes*11/10 {
		t.Errorf("grown from %+v to %+v", early, late)
	}
}

// TestRejoinAfterLongAbsence has a member miss over 500 commands, with an old snapshot and a log torn by a
// loss of power. It is complete soon after its return, for about the bytes of one snapshot and the commands
// after it.
func TestRejoinAfterLongAbsence(t *testing.T) {
	for seed := uint64(0); seed < 10; seed++ {
		sim := startSimulatedCluster(90+seed, 3, 1)
		sim.retainedCommands = 16
		sim.limits.retainedLogBytes = 4 << 10
		sim.checkpointAt = 16 << 10
		sim.runUntil(2 * time.Second)
		sim.proposeMany(t, "before", 50, func() {})
		away := sim.nodes[2]
		away.propose("torn", nil)
		sim.runUntil(sim.now + 3*time.Millisecond)
		away.losePower()
		sim.proposeMany(t, "missed", 600, func() {})
		copied, back := sim.transferredBytes, sim.now
		away.start(false)
		outside := sim.nodes[0].core.epoch()
		if !sim.runWhile(2*time.Second, func() bool { return away.core.epoch() <= outside || !away.core.serving() }) {
			t.Fatalf("seed %d: not complete after %v", seed, sim.now-back)
		}
		snapshot := sim.nodes[0].core.state.Snapshot()
		most := 2*transferBytes(PrefixTransfer{Image: &snapshot}) + sim.limits.retainedLogBytes
		if copied = sim.transferredBytes - copied; copied > most {
			t.Errorf("seed %d: %d bytes were transferred, of at most %d", seed, copied, most)
		}
		t.Logf("complete %v after its return, for %d bytes", sim.now-back, copied)
	}
}
