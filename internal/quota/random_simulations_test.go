package quota

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

const (
	defaultSimulations = 12 // run unless SEEDS says otherwise
	faultsUntil        = 60 * second
	steadyFrom         = 80 * second // the system has recovered from all faults by then
	simulationLength   = 90 * second
	faultInterval      = 700 * millisecond
)

// injectedBug is a deviation of the simulation from what the package requires of its callers, or from what the
// package guarantees. The checks must detect it.
type injectedBug string

// The injected bugs.
const (
	bugNone              injectedBug = ""
	bugUnprovenLeader    injectedBug = "an allocator grants without a proof that it leads"
	bugEarlyStart        injectedBug = "a new leader starts before its predecessor's lease has ended"
	bugNoLearning        injectedBug = "a new allocator doesn't wait for its predecessor's leases to end"
	bugGranteesForgotten injectedBug = "the recorded grantees are forgotten at a take-over"
	bugFloorsNotLowered  injectedBug = "lowered floors aren't recorded"
	bugLeaseFromReceipt  injectedBug = "a holder times leases from the receipt of the reply"
	bugStaleClock        injectedBug = "a resumed holder decides by a time read before its pause"
	bugLateReturn        injectedBug = "tokens are returned however old they are"
)

// runSimulation runs a simulation with all faults and returns the first violation of an invariant, or "". The seed
// determines the whole run. With windowsOnly, only the windows of the rate-limit rule are checked.
func runSimulation(seed uint64, bug injectedBug, windowsOnly bool) (sim *simulation, violation string) {
	sim = newSimulation(seed, 3+int(seed%4)*4, typicalTenants())
	defer func() {
		if failure := recover(); failure != nil {
			violation = fmt.Sprint(failure)
		}
	}()
	sim.bug, sim.windowsOnly, sim.lossRate, sim.slowRate = bug, windowsOnly, 0.01, 0.02
	sim.overload["tenant-0"], sim.overload["tenant-3"] = 16, 16 // ten times their limit
	sim.overload["tenant-6"] = 8                                // five times its limit
	sim.steadyLimits, sim.refunds = seed%2 == 0, seed%3 != 0
	sim.start()
	sim.every(faultInterval, sim.injectFault)
	sim.runUntil(faultsUntil)
	sim.faultsStopped, sim.lossRate, sim.slowRate, sim.pauseNext = true, 0, 0, false
	sim.runUntil(steadyFrom)
	for _, count := range sim.counts {
		*count = requestCounts{}
	}
	sim.runUntil(simulationLength)
	return sim, ""
}

// rejectedWithinLimits returns the sums over the tenants that stay within their limits.
func (sim *simulation) rejectedWithinLimits() (rejected, expected int) {
	for name, count := range sim.counts {
		if sim.overload[name] == 0 && sim.steadyLimits {
			rejected += count.expectedRejected
			expected += count.expected
		}
	}
	return rejected, expected
}

// simulationTotals are the combined results of several simulations.
type simulationTotals struct {
	mutex                             sync.Mutex
	worst                             float64
	rejected, expected, faults, terms int
}

func (t *simulationTotals) add(sim *simulation) {
	rejected, expected := sim.rejectedWithinLimits()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.worst = max(t.worst, sim.checker.worst)
	t.rejected, t.expected = t.rejected+rejected, t.expected+expected
	t.faults, t.terms = t.faults+sim.faults, t.terms+len(sim.checker.terms)
}

// TestRandomSimulations runs simulations with fixed seeds; SEEDS=N runs N of them, FIRST=S starts at seed S. It
// checks that no tenant exceeds its bound under any faults, and that nearly all requests within limits are served
// again when no further faults occur.
func TestRandomSimulations(t *testing.T) {
	first, count := seeds.Range(1, defaultSimulations)
	var combined simulationTotals
	eachSimulation(count, func(number uint64) {
		sim, violation := runSimulation(first+number, bugNone, false)
		if violation != "" {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", first+number, violation)
			return
		}
		combined.add(sim)
	})
	rejected := float64(combined.rejected) / float64(max(1, combined.expected))
	t.Logf("%d simulations, %d faults, %d terms; fullest window %.3f of the bound; "+
		"without faults, %.5f of %d requests within limits rejected",
		count, combined.faults, combined.terms, combined.worst, rejected, combined.expected)
	if rejected > 0.005 {
		t.Errorf("without faults, %.5f of %d requests within limits were rejected", rejected, combined.expected)
	}
	if count >= defaultSimulations && combined.worst < 0.6 {
		t.Errorf("the fullest window used only %.3f of its bound, want at least 0.6", combined.worst)
	}
}

// eachSimulation calls run for the numbers below count, up to four at a time.
func eachSimulation(count uint64, run func(number uint64)) {
	numbers := make(chan uint64)
	var wait sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		wait.Go(func() {
			for number := range numbers {
				run(number)
			}
		})
	}
	for number := range count {
		numbers <- number
	}
	close(numbers)
	wait.Wait()
}

// detectedBy contains, for each injected bug, a part of the text of the violation that must be reported.
var detectedBy = map[injectedBug]string{
	bugUnprovenLeader:    "two allocators act",
	bugEarlyStart:        "two allocators act",
	bugNoLearning:        "committed",
	bugGranteesForgotten: "committed",
	bugFloorsNotLowered:  "tokens on record",
	bugLeaseFromReceipt:  "without a grant in force",
	bugStaleClock:        "without a grant in force",
	bugLateReturn:        "without a grant in force",
}

// TestInjectedBugs checks that the simulations detect each injected bug by the check that is meant for it.
func TestInjectedBugs(t *testing.T) {
	const maxSimulations = 40
	for bug, reason := range detectedBy {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= maxSimulations; seed++ {
				_, violation := runSimulation(seed, bug, false)
				if strings.Contains(violation, reason) {
					t.Logf("found by seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("the bug was not detected by its check in %d simulations", maxSimulations)
		})
	}
}

// TestWindowBreaks checks that two active allocators make a tenant exceed a window of the rate-limit rule: the check
// of the windows detects them alone, with all other checks off.
func TestWindowBreaks(t *testing.T) {
	const maxSimulations = 40
	for seed := uint64(1); seed <= maxSimulations; seed++ {
		_, violation := runSimulation(seed, bugUnprovenLeader, true)
		if strings.Contains(violation, "in a window that allows") {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no window was exceeded in %d simulations", maxSimulations)
}

// typicalTenants returns a few large tenants and some small ones.
func typicalTenants() []configuration.Tenant {
	var list []configuration.Tenant
	for i, rate := range []float64{76, 48, 30, 18, 12, 8, 5, 2} {
		list = append(list, configuration.Tenant{Name: fmt.Sprintf("tenant-%d", i), RatePerSec: rate, Burst: rate})
	}
	return list
}
