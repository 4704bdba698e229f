package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// This file runs the model with faults before each of its steps, in pairs, and at random.

// modelFault is a fault that is injected before a step.
type modelFault struct {
	kind  modelFaultKind
	store int
	step  int
}

// modelFaultKind is a kind of fault.
type modelFaultKind int

// The kinds of faults.
const (
	modelWipe             modelFaultKind = iota // a disk is lost, and the machine returns with an empty disk at once
	modelWipeLong                               // as modelWipe, but it returns after the others have evicted it
	modelReplace                                // a disk is lost, the machine never returns, and another one joins
	modelKill                                   // a process ends; all that it wrote stays
	modelCrash                                  // a machine loses power and returns at once
	modelCrashLong                              // as modelCrash, but it returns after the others have evicted it
	modelPause                                  // a process is paused until after the others have evicted it
	modelRetire                                 // a store retires
	modelPowerLoss                              // all machines lose power
	modelPowerLossAndWipe                       // all machines lose power, and one of them its disk
	modelDropMessage                            // the next message is lost
	modelDelayMessage                           // the next message is delivered after all that are waiting now
	modelDuplicateMessage                       // the next message is delivered a second time later
	modelAddStore                               // another store joins
	modelFaultKinds
	modelFirstWithoutStore = modelDropMessage // from this kind on, faults don't affect a certain store
)

var modelFaultNames = [modelFaultKinds]string{
	"wiped", "wiped for long", "replaced", "killed", "loses power", "loses power for long", "paused", "retires",
	"all lose power", "all lose power, and its disk is lost", "message lost", "message late", "message twice",
	"a store is added",
}

const modelLongAbsence = 2*modelTimeout + modelRound

// losesDisk reports whether a fault loses a disk with its content.
func (k modelFaultKind) losesDisk() bool {
	return k == modelWipe || k == modelWipeLong || k == modelReplace || k == modelPowerLossAndWipe
}

// String returns the step, the store and the kind of the fault.
func (f modelFault) String() string {
	if f.kind >= modelFirstWithoutStore {
		return fmt.Sprintf("%d:%s", f.step, modelFaultNames[f.kind])
	}
	return fmt.Sprintf("%d:s%d %s", f.step, f.store+1, modelFaultNames[f.kind])
}

// inject injects a fault, and reports whether it did. It doesn't inject faults that lose more disks than must be
// tolerated, or that are impossible in the present state.
func (sim *modelCluster) inject(fault modelFault) bool {
	s := sim.stores[fault.store]
	lost := fault.kind.losesDisk()
	if lost && sim.allowedLosses == 0 || s.removed || fault.kind < modelFirstWithoutStore && !s.up {
		return false
	}
	if lost {
		sim.allowedLosses--
	}
	switch fault.kind {
	case modelWipe:
		s.wipe(0)
	case modelWipeLong:
		s.wipe(modelLongAbsence)
	case modelReplace:
		s.wipe(0)
		s.removed = true
		sim.add()
	case modelKill:
		s.stop(true, 0)
	case modelCrash:
		s.stop(false, 0)
	case modelCrashLong:
		s.stop(false, modelLongAbsence)
	case modelPause:
		s.paused, s.resumeAt = true, sim.now+modelLongAbsence
	case modelRetire:
		if !sim.retire(s) {
			return false
		}
	case modelPowerLoss, modelPowerLossAndWipe:
		sim.messages = nil
		for _, other := range sim.stores {
			if other.up {
				other.stop(false, 0)
			}
		}
		if fault.kind == modelPowerLossAndWipe {
			s.wipe(modelRound)
		}
	case modelAddStore:
		sim.add()
	default:
		return sim.disturbMessage(fault.kind)
	}
	return true
}

// disturbMessage drops, delays or duplicates the next message. It reports whether there is one.
func (sim *modelCluster) disturbMessage(kind modelFaultKind) bool {
	if len(sim.messages) == 0 {
		return false
	}
	next := sim.messages[0]
	if kind != modelDuplicateMessage {
		sim.messages = sim.messages[1:]
	}
	if kind != modelDropMessage {
		sim.messages = append(sim.messages, next)
	}
	return true
}

// runFaults runs the model with faults, which are in the order of their steps, until the run is done. It returns the
// number of injected faults.
func (sim *modelCluster) runFaults(faults []modelFault) (injected int) {
	sim.rounds = 0
	for sim.failure == "" && (len(faults) > 0 || !sim.done()) && sim.rounds < modelMaxRounds {
		for len(faults) > 0 && faults[0].step == sim.steps {
			if sim.inject(faults[0]) {
				injected++
				sim.rounds = 0
				sim.note("%v", faults[0])
				sim.check()
			}
			faults = faults[1:]
		}
		sim.step()
		if sim.done() && len(faults) > 0 && sim.rounds > 20 {
			break
		}
	}
	if sim.failure == "" {
		sim.checkEnd()
	}
	return injected
}

// newReconciledModel returns a model in which all stores are members and have reconciled.
func newReconciledModel(count, copies int, bugs modelBugs) *modelCluster {
	sim := newModelCluster(count, copies, bugs)
	for sim.failure == "" && (len(sim.view.Members) < count || !sim.toleratesLoss()) {
		sim.step()
	}
	sim.steps, sim.rounds, sim.clientStarted = 0, 0, true
	return sim
}

// modelLength returns the number of steps of a run without faults.
func modelLength(t testing.TB, count, copies int) int {
	sim := newReconciledModel(count, copies, modelBugs{})
	sim.runFaults(nil)
	if sim.failure != "" {
		t.Fatalf("without faults: %s\n%s", sim.failure, strings.Join(sim.events, "\n"))
	}
	return sim.steps
}

// runModel runs a new model with faults. It returns the model and the number of injected faults.
func runModel(count, copies int, bugs modelBugs, faults ...modelFault) (sim *modelCluster, injected int) {
	sim = newReconciledModel(count, copies, bugs)
	injected = sim.runFaults(faults)
	return sim, injected
}

func describeModelFailure(sim *modelCluster, faults []modelFault) string {
	return fmt.Sprintf("%v: %s\n%s", faults, sim.failure, strings.Join(sim.events, "\n"))
}

var modelSizes = [][2]int{{3, 2}, {4, 2}, {4, 3}} // stores, copies

// TestSetModel injects each kind of fault before each step of a run, into each store.
func TestSetModel(t *testing.T) {
	for _, size := range modelSizes {
		runs, steps := 0, 0
		length := modelLength(t, size[0], size[1])
		for step := range length {
			for kind := range modelFaultKinds {
				for store := range size[0] {
					if kind >= modelFirstWithoutStore && store > 0 {
						break
					}
					faults := []modelFault{{kind: kind, store: store, step: step}}
					sim, injected := runModel(size[0], size[1], modelBugs{}, faults...)
					runs += injected
					steps += sim.steps
					if sim.failure != "" {
						t.Fatal(describeModelFailure(sim, faults))
					}
				}
			}
		}
		t.Logf("%d stores, %d copies: %d runs with a fault before each of %d steps, %d steps",
			size[0], size[1], runs, length, steps)
	}
}

// TestSetModelSecondLoss injects pairs of faults. The first is a loss, a replacement, a retirement or an addition, at
// each step of a run; the second is the loss of a disk, if one may be lost, or of a message, at each of the following
// steps. MODEL=full runs all pairs.
func TestSetModelSecondLoss(t *testing.T) {
	every := 61 // one of this many pairs is run
	if os.Getenv("MODEL") == "full" {
		every = 1
	}
	const stores, copies, after = 4, 2, 60
	length := modelLength(t, stores, copies)
	pairs, runs, bothInjected := 0, 0, 0
	for first := range length * stores * len(modelFirstFaults) {
		for second := range after * stores * len(modelSecondFaults) {
			if pairs++; pairs%every != 0 {
				continue
			}
			step := first / (stores * len(modelFirstFaults))
			faults := []modelFault{
				{step: step, store: first % stores, kind: modelFirstFaults[first/stores%len(modelFirstFaults)]},
				{
					step: step + second/(stores*len(modelSecondFaults)), store: second % stores,
					kind: modelSecondFaults[second/stores%len(modelSecondFaults)],
				},
			}
			sim, injected := runModel(stores, copies, modelBugs{}, faults...)
			if sim.failure != "" {
				t.Fatal(describeModelFailure(sim, faults))
			}
			runs++
			bothInjected += injected / 2
		}
	}
	t.Logf("%d of %d pairs were run, both faults were injected in %d runs", runs, pairs, bothInjected)
}

var (
	modelFirstFaults  = []modelFaultKind{modelWipe, modelReplace, modelRetire, modelAddStore}
	modelSecondFaults = []modelFaultKind{modelWipeLong, modelPowerLossAndWipe, modelDropMessage}
)

// TestSetModelVersionAfterAbsence guards against an owner that returns to a set that needs no change, and continues
// under its old version, while an absent store has chosen a higher version that was never fully replicated. A random
// run found this failure.
func TestSetModelVersionAfterAbsence(t *testing.T) {
	checkTrace(t, 3, 2, modelFault{modelPause, 1, 17}, modelFault{modelCrashLong, 0, 30},
		modelFault{modelCrashLong, 2, 49}, modelFault{modelCrashLong, 1, 72})
	faults := []modelFault{{modelPause, 1, 15}, {modelCrashLong, 2, 28}, {modelCrashLong, 0, 41}, {modelCrashLong, 1, 51}}
	checkTrace(t, 3, 2, faults...)
	if sim, _ := runModel(3, 2, modelBugs{keepsVersion: true}, faults...); !strings.Contains(sim.failure, modelDataLost) {
		t.Errorf("bug of an owner that keeps its version not found, failure %q", sim.failure)
	}
}

// TestSetModelDrainedWhileAway drains a store while others are out of the view, and loses a disk meanwhile. It guards
// against a store that returns with the only copy and counts the drained store as departed, as if it had been lost.
// Random runs found these failures.
func TestSetModelDrainedWhileAway(t *testing.T) {
	checkTrace(t, 3, 2, modelFault{modelKill, 0, 17}, modelFault{modelPause, 2, 34}, modelFault{modelRetire, 0, 41},
		modelFault{modelReplace, 1, 52})
	checkTrace(t, 4, 2, modelFault{modelRetire, 2, 2}, modelFault{modelRetire, 0, 13}, modelFault{modelWipeLong, 3, 23},
		modelFault{modelPause, 1, 26})
	checkTrace(t, 4, 3, modelFault{modelPause, 2, 23}, modelFault{modelPause, 1, 23}, modelFault{modelRetire, 0, 24},
		modelFault{modelWipe, 3, 64}, modelFault{modelPowerLossAndWipe, 2, 76})
	// The lost message reports that another store has reconciled.
	checkTrace(t, 4, 2, modelFault{modelRetire, 0, 0}, modelFault{modelDropMessage, 0, 30})
}

// TestSetModelRestartWhileLeaving retires a store, restarts another one during the handover, and loses the successor's
// disk.
func TestSetModelRestartWhileLeaving(t *testing.T) {
	checkTrace(t, 4, 2, modelFault{modelRetire, 1, 35}, modelFault{modelCrash, 2, 66}, modelFault{modelWipe, 3, 98})
}

// TestSetModelDense injects several faults in quick succession, in which only one machine loses its disk. SEEDS=N runs
// N seeds of each size, FIRST=S starts at seed S.
func TestSetModelDense(t *testing.T) {
	seeds, first := modelSeeds(2000)
	for _, size := range [][2]int{{4, 2}, {4, 3}} {
		injected := 0
		for seed := first; seed < first+seeds; seed++ {
			faults := denseFaults(seed, size[0])
			sim, count := runModel(size[0], size[1], modelBugs{}, faults...)
			injected += count
			if sim.failure != "" {
				t.Errorf("%d stores, %d copies, FIRST=%d SEEDS=1: %s", size[0], size[1], seed, describeModelFailure(sim, faults))
			}
		}
		t.Logf("%d stores, %d copies: %d runs, %d faults", size[0], size[1], seeds, injected)
	}
}

var modelDenseFaults = []modelFaultKind{
	modelWipe, modelWipe, modelWipeLong, modelKill, modelCrash, modelPowerLoss, modelDropMessage, modelDelayMessage,
	modelCrashLong, modelRetire,
}

// denseFaults returns random faults that are at most 39 steps apart.
func denseFaults(seed uint64, stores int) []modelFault {
	random := rand.New(rand.NewPCG(seed, 99))
	var faults []modelFault
	step, wiped := 0, random.IntN(stores)
	for range 3 + random.IntN(4) {
		step += random.IntN(40)
		one := modelFault{kind: modelDenseFaults[random.IntN(len(modelDenseFaults))], store: random.IntN(stores), step: step}
		if one.kind == modelWipe || one.kind == modelWipeLong {
			one.store = wiped
		}
		faults = append(faults, one)
	}
	return faults
}

// modelSeeds returns the number of seeds to run, and the first.
func modelSeeds(fallback uint64) (seeds, first uint64) {
	seeds = fallback
	if number, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		seeds = number
	}
	if number, err := strconv.ParseUint(os.Getenv("FIRST"), 10, 64); err == nil {
		first = number
	}
	return seeds, first
}

// checkTrace runs the model with faults that once led to a failure.
func checkTrace(t *testing.T, stores, copies int, faults ...modelFault) {
	t.Helper()
	sim, injected := runModel(stores, copies, modelBugs{}, faults...)
	if sim.failure != "" {
		t.Error(describeModelFailure(sim, faults))
	}
	if injected != len(faults) {
		t.Errorf("%v: only %d of them were injected", faults, injected)
	}
}

// TestSetModelRandom injects several random faults in each run. SEEDS=N runs N seeds of each size, FIRST=S starts at
// seed S.
func TestSetModelRandom(t *testing.T) {
	seeds, first := modelSeeds(600)
	for _, size := range modelSizes {
		length := modelLength(t, size[0], size[1])
		injected := 0
		for seed := first; seed < first+seeds; seed++ {
			faults := randomFaults(seed, size[0], length)
			sim, count := runModel(size[0], size[1], modelBugs{}, faults...)
			injected += count
			if sim.failure != "" {
				t.Errorf("%d stores, %d copies, FIRST=%d SEEDS=1: %s", size[0], size[1], seed, describeModelFailure(sim, faults))
			}
		}
		t.Logf("%d stores, %d copies: %d runs, %d faults", size[0], size[1], seeds, injected)
	}
}

func randomFaults(seed uint64, stores, length int) []modelFault {
	random := rand.New(rand.NewPCG(seed, 17))
	var faults []modelFault
	step := 0
	for range 2 + random.IntN(4) {
		step += random.IntN(length)
		faults = append(faults, modelFault{kind: modelFaultKind(random.IntN(int(modelFaultKinds))), store: random.IntN(stores), step: step})
	}
	return faults
}

// TestSetModelFindsInjectedBugs checks that runs with random faults detect injected bugs.
func TestSetModelFindsInjectedBugs(t *testing.T) {
	injected := []struct {
		name   string
		copies int
		bugs   modelBugs
		broken string // part of the failure that shows the bug
	}{
		{"a lost disk isn't noticed", 2, modelBugs{keepsIncarnation: true}, modelDataLost},
		{"records count as durable when written", 2, modelBugs{earlyDurable: true}, modelDataLost},
		{"a batch job is on as many disks as may be lost", 2, modelBugs{underReplicated: true}, modelDataLost},
		{"replicas count as complete before they are", 2, modelBugs{earlyReplicated: true}, modelDataLost},
		{"inventories list nothing", 3, modelBugs{emptyInventories: true}, "steps without end"},
		{"a store counts as drained when it is asked to be", 2, modelBugs{retireEarly: true}, modelDataLost},
		{"a lease never ends", 2, modelBugs{endlessLease: true}, "shows"},
	}
	for _, bug := range injected {
		t.Run(bug.name, func(t *testing.T) {
			length := modelLength(t, 4, bug.copies)
			for seed := range uint64(5000) {
				faults := randomFaults(seed, 4, length)
				if sim, _ := runModel(4, bug.copies, bug.bugs, faults...); strings.Contains(sim.failure, bug.broken) {
					t.Logf("found by seed %d: %s", seed, describeModelFailure(sim, faults))
					return
				}
			}
			t.Fatal("bug not found in 5000 runs")
		})
	}
}
