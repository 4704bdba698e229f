package replica

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// The share of a core may be a quota: a process runs at full speed until it is spent and then stands still for the
// rest of a tenth of a second, again and again.
const (
	quotaPeriod   = 100 * time.Millisecond
	quotaSpan     = 20 * time.Second
	quotaCommands = 100 // at most, each proposed after the last was acknowledged
	// maxQuotaLatency is far below what a change of the view would cost (maxFailoverTime): a command passes through three
	// processes and back, each of which may stand still for most of a period.
	maxQuotaLatency = 10 * quotaPeriod
)

// limitCore has a node run for a part of each period only, from some moment of the period on.
func (sim *simulatedCluster) limitCore(n *simulatedNode, runs time.Duration) {
	var period func()
	period = func() {
		n.resume()
		n.handle(func() { n.core.tick(sim.now) }) // a ticker keeps the one tick that came meanwhile
		sim.after(runs, func() {
			n.pause()
			sim.after(quotaPeriod-runs, period)
		})
	}
	sim.after(time.Duration(sim.random.Int64N(int64(quotaPeriod))), period)
}

// TestCoreQuota runs all members under quotas of a core. Nobody is suspected for its own standstill: the view stays,
// the head keeps its lease, and commands are acknowledged.
func TestCoreQuota(t *testing.T) {
	for _, runs := range []time.Duration{50 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond} {
		var latencies []time.Duration
		for seed := uint64(0); seed < 10; seed++ {
			sim := startSimulatedCluster(seed, 3, 1)
			sim.runUntil(2 * time.Second)
			sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
			epoch := sim.newestView().core.view().Epoch
			for _, n := range sim.nodes {
				sim.limitCore(n, runs)
			}
			end := sim.now + quotaSpan
			for number := 0; sim.now < end && number < quotaCommands; number++ {
				began, done := sim.now, false
				sim.nodes[number%len(sim.nodes)].propose(fmt.Sprint(number), func(chain.Outcome) { done = true })
				if !sim.runWhile(5*time.Second, func() bool { return !done }) {
					t.Fatalf("runs for %v, seed %d: no acknowledgement", runs, seed)
				}
				latencies = append(latencies, sim.now-began)
			}
			if now := sim.newestView().core.view().Epoch; now != epoch {
				t.Errorf("runs for %v, seed %d: the view changed from epoch %d to %d", runs, seed, epoch, now)
			}
		}
		sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
		worst := latencies[len(latencies)-1]
		t.Logf("runs for %v of %v: %d commands, p50 %v, p99 %v, worst %v", runs, quotaPeriod, len(latencies),
			latencies[len(latencies)/2], latencies[len(latencies)*99/100], worst)
		if worst > maxQuotaLatency {
			t.Errorf("runs for %v: a command took %v", runs, worst)
		}
	}
}
