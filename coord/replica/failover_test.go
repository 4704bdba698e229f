package replica

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// failover returns the time from the loss of the member at a position of the chain to the next acknowledgement. The
// acknowledged command is proposed through another member, up to 20 ms after the loss.
func failover(t *testing.T, seed uint64, position int, lose func(*simulatedNode)) time.Duration {
	sim := startSimulatedCluster(seed, 3, 1)
	sim.runUntil(2*time.Second + time.Duration(sim.random.Int64N(int64(time.Second))))
	sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
	chainMembers := sim.nodes[0].core.view().Chain
	var victim, other *simulatedNode
	for _, n := range sim.nodes {
		if n.address == chainMembers[position].Address {
			victim = n
		} else {
			other = n
		}
	}
	lost := sim.now
	lose(victim)
	sim.runUntil(sim.now + time.Duration(sim.random.Int64N(int64(20*time.Millisecond))))
	done := false
	other.propose("after", func(chain.Outcome) { done = true })
	if !sim.runWhile(5*time.Second, func() bool { return !done }) {
		sim.failf("no acknowledgement within 5 s after the loss")
	}
	return sim.now - lost
}

// maxFailoverTime is the maximum time from a single loss to the next acknowledgement.
const maxFailoverTime = 1500 * time.Millisecond

// TestFailover measures and bounds the unavailability after a single loss.
func TestFailover(t *testing.T) {
	losses := map[string]func(*simulatedNode){
		"kill":  (*simulatedNode).kill,
		"pause": (*simulatedNode).pause,
	}
	for name, lose := range losses {
		for position, title := range []string{"head", "middle", "tail"} {
			var times []time.Duration
			for seed := uint64(0); seed < defaultRuns; seed++ {
				times = append(times, failover(t, seed, position, lose))
			}
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			worst := times[len(times)-1]
			t.Logf("%s of the %s: p50 %v, p99 %v, worst %v", name, title,
				times[len(times)/2], times[len(times)*99/100], worst)
			if worst > maxFailoverTime {
				t.Errorf("%s of the %s: worst %v, more than maxFailoverTime", name, title, worst)
			}
		}
	}
}

// TestCommandCost measures the syncs, written bytes, messages and latency of a command without faults.
func TestCommandCost(t *testing.T) {
	for _, parallel := range []int{1, 16} {
		sim := startSimulatedCluster(5, 3, 1)
		sim.runUntil(2 * time.Second)
		sim.mustAcknowledge(t, sim.nodes[1], "first", time.Second)
		syncs, written := 0, 0
		for _, n := range sim.nodes {
			syncs -= n.disk.syncs
			written -= n.disk.written
		}
		messages := sim.messages
		began := sim.now
		const commands = 320
		var latencies []time.Duration
		finished := 0
		for stream := 0; stream < parallel; stream++ {
			var next func(number int)
			next = func(number int) {
				start := sim.now
				sim.nodes[1].propose(fmt.Sprintf("%d-%d", stream, number), func(chain.Outcome) {
					latencies = append(latencies, sim.now-start)
					finished++
					if number+parallel < commands {
						sim.after(0, func() { next(number + parallel) })
					}
				})
			}
			next(stream)
		}
		if !sim.runWhile(time.Minute, func() bool { return finished < commands }) {
			sim.failf("only %d commands finished within a minute", finished)
		}
		for _, n := range sim.nodes {
			syncs += n.disk.syncs
			written += n.disk.written
		}
		sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
		t.Logf("%d at a time: %.2f syncs, %.0f bytes written and %.1f messages a command on 3 machines; "+
			"p50 %v, p99 %v; %.0f commands/s",
			parallel, float64(syncs)/commands, float64(written)/commands, float64(sim.messages-messages)/commands,
			latencies[commands/2], latencies[commands*99/100], commands/(sim.now-began).Seconds())
	}
}
