package quota

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	defaultSimulations = 12 // played where SEEDS doesn't say
	faultsUntil        = 60 * second
	steadyFrom         = 80 * second // all has healed by then
	simulationLength   = 90 * second
	faultInterval      = 700 * millisecond
)

// plant is a bug of the harness that the checks must find.
type injectedBug string

// Bugs that the harness can plant.
const (
	bugNone              injectedBug = ""
	bugUnprovenLeader    injectedBug = "an allocator grants without a proof that it leads"
	bugEarlyStart        injectedBug = "a new head begins before the time of the one before has passed"
	bugNoLearning        injectedBug = "a new allocator doesn't wait out its predecessor's leases"
	bugGranteesForgotten injectedBug = "the record of who may hold leases is forgotten at a take-over"
	bugFloorsNotLowered  injectedBug = "floors that were lowered aren't recorded"
	bugLeaseFromReceipt  injectedBug = "a holder times grants from their receipt"
	bugStaleClock        injectedBug = "a thawed holder decides by a clock that it read before"
	bugLateReturn        injectedBug = "tokens are taken back however old they are"
)

// playWorld plays a world with all troubles and tells what broke. The seed says what it is like. In a hollow one only
// the rule's windows are checked.
func runSimulation(seed uint64, bug injectedBug, windowsOnly bool) (sim *simulation, violation string) {
	sim = newSimulation(seed, 3+int(seed%4)*4, typicalTenants())
	defer func() {
		if failure := recover(); failure != nil {
			violation = fmt.Sprint(failure)
		}
	}()
	sim.bug, sim.windowsOnly, sim.lossRate, sim.slowRate = bug, windowsOnly, 0.01, 0.02
	sim.overload["tenant-0"], sim.overload["tenant-3"], sim.overload["tenant-6"] = 16, 16, 8 // ten times their limit, and five times
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

// honest gives what tenants within their limits were owed, and refused.
func (sim *simulation) rejectedWithinLimits() (rejected, expected int) {
	for name, count := range sim.counts {
		if sim.overload[name] == 0 && sim.steadyLimits {
			rejected += count.expectedRejected
			expected += count.expected
		}
	}
	return rejected, expected
}

// wanted reads a number from the environment.
func envInt(name string, usual int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return usual
}

// total is what came of several worlds.
type totals struct {
	mutex                             sync.Mutex
	worst                             float64
	rejected, expected, faults, terms int
}

func (t *totals) add(sim *simulation) {
	refused, owed := sim.rejectedWithinLimits()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.worst = max(t.worst, sim.checker.worst)
	t.rejected, t.expected = t.rejected+refused, t.expected+owed
	t.faults, t.terms = t.faults+sim.faults, t.terms+len(sim.checker.terms)
}

// TestRandomWorlds plays worlds with fixed seeds; SEEDS=N plays N of them, FIRST=S starts at seed S. However
// machines die, freeze, are cut off and come, no tenant passes its bound, and calm heals all.
func TestRandomSimulations(t *testing.T) {
	first, count := envInt("FIRST", 1), envInt("SEEDS", defaultSimulations)
	var all totals
	eachSimulation(count, func(number int) {
		sim, violation := runSimulation(uint64(first+number), bugNone, false)
		if violation != "" {
			t.Errorf("replay with FIRST=%d SEEDS=1: %s", first+number, violation)
			return
		}
		all.add(sim)
	})
	refused := float64(all.rejected) / float64(max(1, all.expected))
	t.Logf("%d worlds, %d troubles, %d terms; worst window %.3f of the bound; once calm, %.5f of %d requests of honest tenants refused",
		count, all.faults, all.terms, all.worst, refused, all.expected)
	if refused > 0.005 {
		t.Errorf("once calm, %.5f of %d requests of honest tenants were refused", refused, all.expected)
	}
	if count >= defaultSimulations && all.worst < 0.6 {
		t.Errorf("no window came near its bound: %.3f", all.worst)
	}
}

// eachWorld calls play for the numbers up to count, a few at a time.
func eachSimulation(count int, run func(number int)) {
	numbers := make(chan int)
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

// foundBy tells for each bug what finds it.
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

// TestPlantedBugs shows that the worlds find each bug, by the check that is meant for it.
func TestInjectedBugs(t *testing.T) {
	const mostWorlds = 40
	for bug, reason := range detectedBy {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= mostWorlds; seed++ {
				_, violation := runSimulation(seed, bug, false)
				if strings.Contains(violation, reason) {
					t.Logf("found in world %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not found in %d worlds", mostWorlds)
		})
	}
}

// TestWindowBreaks shows that the rule itself breaks where two allocators act, with all other checks off.
func TestWindowBreaks(t *testing.T) {
	const mostWorlds = 40
	for seed := uint64(1); seed <= mostWorlds; seed++ {
		if _, violation := runSimulation(seed, bugUnprovenLeader, true); strings.Contains(violation, "in a window that allows") {
			t.Logf("world %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("no window broke in %d worlds", mostWorlds)
}

// siteTenants has a few large and some small ones, as the sites do.
func typicalTenants() []configuration.Tenant {
	var list []configuration.Tenant
	for i, rate := range []float64{76, 48, 30, 18, 12, 8, 5, 2} {
		list = append(list, configuration.Tenant{Name: fmt.Sprintf("tenant-%d", i), RatePerSec: rate, Burst: rate})
	}
	return list
}
