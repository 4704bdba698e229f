package replica

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
)

// A CPU share may be enforced as a quota per period: in each period of 100 ms, a process runs at full speed until its
// quota is used up, and is then stopped for the rest of the period.
const (
	quotaPeriod   = 100 * time.Millisecond
	quotaSpan     = 20 * time.Second
	quotaCommands = 100 // maximum for each seed; each command is proposed after the previous one was acknowledged
	// maxQuotaLatency is far below the duration of a view change (maxFailoverTime): a command passes through three
	// processes and back, each of which may be stopped for most of a period.
	maxQuotaLatency = 10 * quotaPeriod
)

// limitCPU lets a node run only for a part of each period. The periods start at a random moment.
func (sim *simulatedCluster) limitCPU(n *simulatedNode, runs time.Duration) {
	var period func()
	period = func() {
		n.resume()
		n.handle(func() { n.core.tick(sim.now) }) // a time.Ticker keeps one tick that was due during the stop
		sim.after(runs, func() {
			n.pause()
			sim.after(quotaPeriod-runs, period)
		})
	}
	sim.after(time.Duration(sim.random.Int64N(int64(quotaPeriod))), period)
}

// TestCPUQuota runs all members under CPU quotas. The stops at the end of each period must not cause suspicions: the
// view doesn't change, so that the head keeps its lease, and commands are acknowledged within maxQuotaLatency.
func TestCPUQuota(t *testing.T) {
	for _, runs := range []time.Duration{50 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond} {
		var latencies []time.Duration
		for seed := uint64(0); seed < 10; seed++ {
			sim := startSimulatedCluster(seed, 3, 1)
			sim.runUntil(2 * time.Second)
			sim.mustAcknowledge(t, sim.nodes[0], "before", time.Second)
			epoch := sim.newestView().core.view().Epoch
			for _, n := range sim.nodes {
				sim.limitCPU(n, runs)
			}
			end := sim.now + quotaSpan
			for number := 0; sim.now < end && number < quotaCommands; number++ {
				began, done := sim.now, false
				sim.nodes[number%len(sim.nodes)].propose(fmt.Sprint(number), func(chain.Outcome) { done = true })
				if !sim.runWhile(5*time.Second, func() bool { return !done }) {
					t.Fatalf("runs for %v, seed %d: a command isn't acknowledged within 5 s", runs, seed)
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
			t.Errorf("runs for %v: a command took %v, more than maxQuotaLatency", runs, worst)
		}
	}
}
