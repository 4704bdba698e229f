package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// resourceUsage is the memory and disk usage of a member.
type resourceUsage struct {
	logBytes  int // size of the commands in its log
	outcomes  int // number of outcomes in its deduplication window
	pending   int // number of proposals, reads, deferred commands, learners and peers
	diskBytes int64
}

// maximum returns the maximum of each value.
func (u resourceUsage) maximum(other resourceUsage) resourceUsage {
	return resourceUsage{
		logBytes:  max(u.logBytes, other.logBytes),
		outcomes:  max(u.outcomes, other.outcomes),
		pending:   max(u.pending, other.pending),
		diskBytes: max(u.diskBytes, other.diskBytes),
	}
}

// resourceUsage returns the current resource usage of a node.
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

// proposeMany proposes count commands of about 100 bytes, eight at a time, and calls sample after every 100
// acknowledgements.
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
		t.Fatalf("%d of %d commands are acknowledged within 5 minutes", finished, count)
	}
}

// TestResourceUsageIsBounded proposes 10,000 commands. The memory and disk usage of a member must not grow over the
// second half of them.
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
		var peak resourceUsage
		sim.proposeMany(t, name, count, func() {
			for _, n := range sim.members() {
				peak = peak.maximum(n.resourceUsage())
			}
		})
		return peak
	}
	measure("first", 5000)
	early := measure("early", 2500)
	late := measure("late", 2500)
	t.Logf("commands 5,000 to 7,500: %+v; 7,500 to 10,000: %+v", early, late)
	if late.outcomes != sim.limits.deduplicationWindow {
		t.Errorf("%d outcomes are kept, want %d", late.outcomes, sim.limits.deduplicationWindow)
	}
	if late.logBytes > early.logBytes*11/10 || late.pending > early.pending+8 || late.diskBytes > early.diskBytes*11/10 {
		t.Errorf("the resource usage has grown from %+v to %+v", early, late)
	}
}

// TestRejoinAfterLongAbsence makes a member miss over 500 commands. It returns with an old snapshot and a log torn by a
// power loss. It must have the complete prefix within 2 s of its return, and the transfer must not be much larger than
// one snapshot and the commands after it.
func TestRejoinAfterLongAbsence(t *testing.T) {
	for seed := uint64(0); seed < 10; seed++ {
		sim := startSimulatedCluster(90+seed, 3, 1)
		sim.retainedCommands = 16
		sim.limits.retainedLogBytes = 4 << 10
		sim.checkpointAt = 16 << 10
		sim.runUntil(2 * time.Second)
		sim.proposeMany(t, "before", 50, func() {})
		absent := sim.nodes[2]
		absent.propose("torn", nil)
		sim.runUntil(sim.now + 3*time.Millisecond)
		absent.losePower()
		sim.proposeMany(t, "missed", 600, func() {})
		transferred, restartedAt := sim.transferredBytes, sim.now
		absent.start(false)
		oldEpoch := sim.nodes[0].core.epoch()
		if !sim.runWhile(2*time.Second, func() bool { return absent.core.epoch() <= oldEpoch || !absent.core.serving() }) {
			t.Fatalf("seed %d: the returned member lacks the prefix after %v", seed, sim.now-restartedAt)
		}
		snapshot := sim.nodes[0].core.state.Snapshot()
		maxBytes := 2*transferBytes(PrefixTransfer{Image: &snapshot}) + sim.limits.retainedLogBytes
		if transferred = sim.transferredBytes - transferred; transferred > maxBytes {
			t.Errorf("seed %d: %d bytes were transferred, want at most %d", seed, transferred, maxBytes)
		}
		t.Logf("prefix complete %v after the return, %d bytes transferred", sim.now-restartedAt, transferred)
	}
}
