package slots_test

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// model is the expected contents of the store. The state is the concatenation of all records, and a snapshot is
// the state at that time.
type model struct {
	acknowledged string
	inFlight     string // the records of an append whose outcome is uncertain
}

// admits reports whether a recovered state is the acknowledged state, with or without the append in flight.
func (m *model) admits(state string) bool {
	return state == m.acknowledged || state == m.acknowledged+m.inFlight
}

// stateOf returns the state that results from the recovered snapshot and records.
func stateOf(recovered slots.Recovered) string {
	state := string(recovered.Snapshot)
	for _, record := range recovered.Records {
		state += string(record)
	}
	return state
}

// history is one random run of a store on a faulty disk.
type history struct {
	t       *testing.T
	seed    uint64
	random  *simulation.Rand
	disk    *simulation.Disk
	store   *slots.Store
	model   model
	next    int
	created bool // a store has been opened since the last wipe
}

// fail ends the test with a message that includes the seed.
func (h *history) fail(format string, values ...any) {
	h.t.Helper()
	h.t.Fatalf("seed %d: %s", h.seed, fmt.Sprintf(format, values...))
}

// open opens the store and checks the recovered state. The disk may lose power during that.
func (h *history) open() {
	store, recovered, err := slots.Open(h.disk, slots.Options{})
	if errors.Is(err, simulation.ErrPowerLost) {
		return
	}
	if errors.Is(err, slots.ErrDiskFull) {
		h.disk.SetCapacity(0)
		return
	}
	if err != nil {
		h.fail("open: %v", err)
	}
	if h.created && !recovered.Found {
		h.fail("open found no store, although one had been created")
	}
	state := stateOf(recovered)
	if !h.model.admits(state) {
		h.fail("recovered %q, acknowledged %q, in flight %q", state, h.model.acknowledged, h.model.inFlight)
	}
	if recovered.DataLoss() {
		h.fail("findings with data loss: %v", recovered.Findings)
	}
	h.model = model{acknowledged: state}
	h.created = true
	h.store = store
}

// append appends a few records.
func (h *history) append() {
	var records [][]byte
	var state strings.Builder
	for range 1 + h.random.IntN(3) {
		record := strconv.Itoa(h.next) + strings.Repeat("x", h.random.IntN(60)) + ";"
		h.next++
		records = append(records, []byte(record))
		state.WriteString(record)
	}
	err := h.store.Append(records...)
	switch {
	case err == nil:
		h.model.acknowledged += state.String()
	case errors.Is(err, slots.ErrDiskFull):
		h.disk.SetCapacity(0)
	case errors.Is(err, slots.ErrUncertain) || errors.Is(err, simulation.ErrPowerLost):
		if h.model.inFlight == "" {
			h.model.inFlight = state.String()
		}
	default:
		h.fail("append: %v", err)
	}
}

// compact writes a snapshot of the acknowledged state.
func (h *history) compact() {
	err := h.store.Compact([]byte(h.model.acknowledged))
	switch {
	case err == nil:
		h.model.inFlight = ""
	case errors.Is(err, slots.ErrDiskFull):
		h.disk.SetCapacity(0)
	case errors.Is(err, slots.ErrUncertain) || errors.Is(err, simulation.ErrPowerLost):
	default:
		h.fail("compact: %v", err)
	}
}

// step runs one random operation or injects a fault.
func (h *history) step() {
	if h.store == nil {
		h.recover()
		return
	}
	switch choice := h.random.IntN(100); {
	case choice < 55:
		h.append()
	case choice < 70:
		h.compact()
	case choice < 75:
		h.disk.SetCapacity(int64(200 + h.random.IntN(2000)))
	case choice < 90:
		h.disk.FailAt(1 + h.random.IntN(12))
	default:
		h.store = nil
	}
	if h.disk.PoweredOff() {
		h.store = nil
	}
}

// recover simulates a kill of the process or a loss of power, and opens the store again.
func (h *history) recover() {
	if h.random.Chance(0.7) {
		h.disk.LosePower()
	} else {
		h.disk.Kill()
	}
	if h.random.Chance(0.3) {
		h.disk.FailAt(1 + h.random.IntN(15))
	}
	h.open()
	if h.disk.PoweredOff() {
		h.store = nil
	}
}

// seeds returns the number of random runs of a test: the value of the environment variable SIMULATION_SEEDS, or
// defaultCount if it isn't set.
func seeds(t testing.TB, defaultCount int) int {
	text := os.Getenv("SIMULATION_SEEDS")
	if text == "" {
		return defaultCount
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestRandomHistories runs stores on disks that fill up, lose power during any operation, and tear, lose and
// reorder writes that were not synced. The recovered state must be the acknowledged state, with or without the
// append in flight.
func TestRandomHistories(t *testing.T) {
	for seed := range seeds(t, 1200) {
		random := simulation.NewRand(uint64(seed))
		h := &history{t: t, seed: uint64(seed), random: random, disk: simulation.NewDisk(random.Fork("disk"))}
		h.open()
		for range 120 {
			h.step()
		}
	}
}

// TestPowerLossAtEveryStepOfACompaction simulates a loss of power during each disk operation of a compaction, with
// many outcomes for the writes that were not synced.
func TestPowerLossAtEveryStepOfACompaction(t *testing.T) {
	powerLosses := 0
	for step := 1; ; step++ {
		completed := false
		for seed := range uint64(60) {
			disk := simulation.NewDisk(simulation.NewRand(seed))
			store, _ := mustOpen(t, disk)
			failure := errors.Join(
				store.Append(texts("a")...),
				store.Compact([]byte("a")),
				store.Append(texts("b", "c")...),
			)
			if failure != nil {
				t.Fatal(failure)
			}
			disk.FailAt(step)
			completed = store.Compact([]byte("abc")) == nil
			if completed {
				break
			}
			powerLosses++
			disk.LosePower()
			store, recovered := mustOpen(t, disk)
			if stateOf(recovered) != "abc" {
				t.Fatalf("step %d, seed %d: recovered %s; want the state abc", step, seed, contentsOf(recovered))
			}
			if err := store.Append(texts("d")...); err != nil {
				t.Fatal(err)
			}
			_, recovered = mustOpen(t, disk)
			if stateOf(recovered) != "abcd" {
				t.Fatalf("step %d, seed %d: recovered %s after an append; want the state abcd", step, seed, contentsOf(recovered))
			}
		}
		if completed {
			break
		}
	}
	if powerLosses < 200 {
		t.Fatalf("%d losses of power; want at least 200", powerLosses)
	}
}

// TestPowerLossDuringWipeNeverRestoresAnOlderState simulates a loss of power during each disk operation of Wipe.
func TestPowerLossDuringWipeNeverRestoresAnOlderState(t *testing.T) {
	for step := 1; step < 40; step++ {
		for seed := range uint64(30) {
			disk := simulation.NewDisk(simulation.NewRand(seed))
			store, _ := mustOpen(t, disk)
			failure := errors.Join(store.Compact([]byte("a")), store.Compact([]byte("b")), store.Append(texts("c")...))
			if failure != nil {
				t.Fatal(failure)
			}
			if seed%2 == 0 {
				disk.FlipBit("slot-0", 12, 1)
			}
			disk.FailAt(step)
			_ = slots.Wipe(disk, slots.Options{})
			disk.LosePower()
			_, recovered, err := slots.Open(disk, slots.Options{})
			switch {
			case errors.Is(err, slots.ErrCorrupt):
			case err != nil:
				t.Fatalf("step %d, seed %d: %v", step, seed, err)
			case recovered.Found && contentsOf(recovered) != "b|c":
				t.Fatalf("step %d, seed %d: recovered %s; want b|c", step, seed, contentsOf(recovered))
			}
		}
	}
}
