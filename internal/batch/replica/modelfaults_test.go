package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// The model with faults before each of its steps, in pairs, and at random.

// modelFault is one fault, injected before a step.
type modelFault struct {
	kind  modelFaultKind
	store int
	step  int
}

// modelFaultKind is what happens.
type modelFaultKind int

// The kinds of faults.
const (
	modelWipe             modelFaultKind = iota // a disk is lost, the machine comes back empty at once
	modelWipeLong                               // ... after the others have gone on without it
	modelReplace                                // ... or never, and another machine comes
	modelKill                                   // a process ends; what it wrote stays
	modelCrash                                  // a machine loses power
	modelCrashLong                              // ... until the others have gone on without it
	modelPause                                  // a process is paused until the others have gone on without it
	modelRetire                                 // a store retires
	modelPowerLoss                              // all lose power
	modelPowerLossAndWipe                       // ... and one its disk
	modelDropMessage                            // the next message is lost
	modelDelayMessage                           // the next message comes after the others that are on their way
	modelDuplicateMessage                       // the next message comes again later
	modelAddStore                               // another store joins
	modelFaultKinds
	modelFirstWithoutStore = modelDropMessage // from here on no store is named
)

var modelFaultNames = [modelFaultKinds]string{
	"wiped", "wiped for long", "replaced", "killed", "loses power", "loses power for long", "paused", "retires",
	"all lose power", "all lose power, and its disk is lost", "message lost", "message late", "message twice",
	"a store is added",
}

const modelLongAbsence = 2*modelTimeout + modelRound

// losesDisk reports whether a disk is lost with its content.
func (k modelFaultKind) losesDisk() bool {
	return k == modelWipe || k == modelWipeLong || k == modelReplace || k == modelPowerLossAndWipe
}

// String names the step, the store and the fault.
func (f modelFault) String() string {
	if f.kind >= modelFirstWithoutStore {
		return fmt.Sprintf("%d:%s", f.step, modelFaultNames[f.kind])
	}
	return fmt.Sprintf("%d:s%d %s", f.step, f.store+1, modelFaultNames[f.kind])
}

// inject injects a fault. It reports whether it could: no more disks are lost than must be tolerated.
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

// disturbMessage loses, delays or duplicates the next message.
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

// play runs the model with faults, in the order of their steps, until the client is done. It returns how many
// were injected.
func (sim *modelCluster) play(faults []modelFault) (happened int) {
	sim.rounds = 0
	for sim.failure == "" && (len(faults) > 0 || !sim.done()) && sim.rounds < modelMaxRounds {
		for len(faults) > 0 && faults[0].step == sim.steps {
			if sim.inject(faults[0]) {
				happened++
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
	return happened
}

// newReconciledModel returns a model in which all stores are members and have reconciled.
func newReconciledModel(count, copies int, bugs modelBugs) *modelCluster {
	sim := newModelCluster(count, copies, bugs)
	for sim.failure == "" && (len(sim.view.Members) < count || !sim.toleratesLoss()) {
		sim.step()
	}
	sim.steps, sim.rounds, sim.begun = 0, 0, true
	return sim
}

// modelLength is the number of steps that a run without faults takes.
func modelLength(t testing.TB, count, copies int) int {
	sim := newReconciledModel(count, copies, modelBugs{})
	sim.play(nil)
	if sim.failure != "" {
		t.Fatalf("without faults: %s\n%s", sim.failure, strings.Join(sim.events, "\n"))
	}
	return sim.steps
}

// runModel runs the model with faults.
func runModel(count, copies int, bugs modelBugs, faults ...modelFault) (sim *modelCluster, happened int) {
	sim = newReconciledModel(count, copies, bugs)
	happened = sim.play(faults)
	return sim, happened
}

func describeModelFailure(sim *modelCluster, faults []modelFault) string {
	return fmt.Sprintf("%v: %s\n%s", faults, sim.failure, strings.Join(sim.events, "\n"))
}

var modelSizes = [][2]int{{3, 2}, {4, 2}, {4, 3}} // stores, copies

// TestSetModel injects each fault before each step of a batch job's life.
func TestSetModel(t *testing.T) {
	for _, size := range modelSizes {
		played, steps := 0, 0
		length := modelLength(t, size[0], size[1])
		for step := range length {
			for kind := range modelFaultKinds {
				for store := range size[0] {
					if kind >= modelFirstWithoutStore && store > 0 {
						break
					}
					faults := []modelFault{{kind: kind, store: store, step: step}}
					sim, happened := runModel(size[0], size[1], modelBugs{}, faults...)
					played += happened
					steps += sim.steps
					if sim.failure != "" {
						t.Fatal(describeModelFailure(sim, faults))
					}
				}
			}
		}
		t.Logf("%d stores, %d copies: %d runs with a fault before each of %d steps, %d steps",
			size[0], size[1], played, length, steps)
	}
}

// TestSetModelSecondLoss loses a disk, where one may be lost, or a message at each step after a loss, a
// replacement, a retirement or an addition that began at each step. MODEL=full runs all pairs.
func TestSetModelSecondLoss(t *testing.T) {
	every := 61 // of the pairs is played
	if os.Getenv("MODEL") == "full" {
		every = 1
	}
	const stores, copies, after = 4, 2, 60
	length := modelLength(t, stores, copies)
	pairs, played, both := 0, 0, 0
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
			sim, happened := runModel(stores, copies, modelBugs{}, faults...)
			if sim.failure != "" {
				t.Fatal(describeModelFailure(sim, faults))
			}
			played++
			both += happened / 2
		}
	}
	t.Logf("%d of %d pairs played, both came about in %d", played, pairs, both)
}

var (
	modelFirstFaults  = []modelFaultKind{modelWipe, modelReplace, modelRetire, modelAddStore}
	modelSecondFaults = []modelFaultKind{modelWipeLong, modelPowerLossAndWipe, modelDropMessage}
)

// TestSetModelVersionAfterAbsence has an owner come back to a set that needs no change, while another store,
// which is away, has chosen a higher version that was never fully replicated. A random run found it.
func TestSetModelVersionAfterAbsence(t *testing.T) {
	playTrace(t, 3, 2, modelFault{modelPause, 1, 17}, modelFault{modelCrashLong, 0, 30}, modelFault{modelCrashLong, 2, 49},
		modelFault{modelCrashLong, 1, 72})
	faults := []modelFault{{modelPause, 1, 15}, {modelCrashLong, 2, 28}, {modelCrashLong, 0, 41}, {modelCrashLong, 1, 51}}
	playTrace(t, 3, 2, faults...)
	if sim, _ := runModel(3, 2, modelBugs{keepsVersion: true}, faults...); !strings.Contains(sim.failure, modelDataLost) {
		t.Errorf("not found where an owner keeps its version: %q", sim.failure)
	}
}

// TestSetModelDrainedWhileAway drains a store while others are out of the view, and loses a disk meanwhile.
// Random runs found these: a store that came back with the only copy missed the drained one as if it had been
// lost.
func TestSetModelDrainedWhileAway(t *testing.T) {
	playTrace(t, 3, 2, modelFault{modelKill, 0, 17}, modelFault{modelPause, 2, 34}, modelFault{modelRetire, 0, 41},
		modelFault{modelReplace, 1, 52})
	playTrace(t, 4, 2, modelFault{modelRetire, 2, 2}, modelFault{modelRetire, 0, 13}, modelFault{modelWipeLong, 3, 23},
		modelFault{modelPause, 1, 26})
	playTrace(t, 4, 3, modelFault{modelPause, 2, 23}, modelFault{modelPause, 1, 23}, modelFault{modelRetire, 0, 24},
		modelFault{modelWipe, 3, 64}, modelFault{modelPowerLossAndWipe, 2, 76})
	// The message says that another one has reconciled.
	playTrace(t, 4, 2, modelFault{modelRetire, 0, 0}, modelFault{modelDropMessage, 0, 30})
}

// TestSetModelRestartWhileLeaving restarts a store while it hands over, and loses the successor's disk.
func TestSetModelRestartWhileLeaving(t *testing.T) {
	playTrace(t, 4, 2, modelFault{modelRetire, 1, 35}, modelFault{modelCrash, 2, 66}, modelFault{modelWipe, 3, 98})
}

// TestSetModelDense injects several faults in quick succession, with the disk of one and the same machine
// lost; SEEDS=N runs N of each size, FIRST=S starts at seed S.
func TestSetModelDense(t *testing.T) {
	seeds, first := modelSeeds(2000)
	for _, size := range [][2]int{{4, 2}, {4, 3}} {
		happened := 0
		for seed := first; seed < first+seeds; seed++ {
			faults := denseFaults(seed, size[0])
			sim, count := runModel(size[0], size[1], modelBugs{}, faults...)
			happened += count
			if sim.failure != "" {
				t.Errorf("%d stores, %d copies, FIRST=%d SEEDS=1: %s", size[0], size[1], seed, describeModelFailure(sim, faults))
			}
		}
		t.Logf("%d stores, %d copies: %d runs, %d faults", size[0], size[1], seeds, happened)
	}
}

var modelDenseFaults = []modelFaultKind{
	modelWipe, modelWipe, modelWipeLong, modelKill, modelCrash, modelPowerLoss, modelDropMessage, modelDelayMessage,
	modelCrashLong, modelRetire,
}

// denseFaults draws faults that are at most 39 steps apart.
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

// playTrace injects faults that were found to break something once.
func playTrace(t *testing.T, stores, copies int, faults ...modelFault) {
	t.Helper()
	sim, happened := runModel(stores, copies, modelBugs{}, faults...)
	if sim.failure != "" {
		t.Error(describeModelFailure(sim, faults))
	}
	if happened != len(faults) {
		t.Errorf("%v: only %d of them came about", faults, happened)
	}
}

// TestSetModelRandom injects several faults in one run; SEEDS=N runs N of each size, FIRST=S starts at seed
// S.
func TestSetModelRandom(t *testing.T) {
	seeds, first := modelSeeds(600)
	for _, size := range modelSizes {
		length := modelLength(t, size[0], size[1])
		happened := 0
		for seed := first; seed < first+seeds; seed++ {
			faults := randomFaults(seed, size[0], length)
			sim, count := runModel(size[0], size[1], modelBugs{}, faults...)
			happened += count
			if sim.failure != "" {
				t.Errorf("%d stores, %d copies, FIRST=%d SEEDS=1: %s", size[0], size[1], seed, describeModelFailure(sim, faults))
			}
		}
		t.Logf("%d stores, %d copies: %d runs, %d faults", size[0], size[1], seeds, happened)
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

// TestSetModelFindsInjectedBugs checks that the faults find what they are for.
func TestSetModelFindsInjectedBugs(t *testing.T) {
	injected := []struct {
		name   string
		copies int
		bugs   modelBugs
		broken string // what it breaks
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
			t.Fatal("not found in 5000 runs")
		})
	}
}
