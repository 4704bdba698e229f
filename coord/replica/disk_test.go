package replica

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/simulation"
)

// historyMachine remembers all orders that it applied, or the last ones where it keeps so many.
type historyMachine struct {
	orders []string
	keep   int
}

func (m *historyMachine) Apply(index uint64, command []byte) []byte {
	m.orders = append(m.orders, string(command))
	if m.keep > 0 && len(m.orders) > m.keep {
		m.orders = append(m.orders[:0], m.orders[1:]...)
	}
	return []byte(fmt.Sprint(len(m.orders)))
}

func (m *historyMachine) Snapshot() []byte { return []byte(strings.Join(m.orders, "\n")) }

func (m *historyMachine) Restore(snapshot []byte) error {
	m.orders = nil
	if len(snapshot) > 0 {
		m.orders = strings.Split(string(snapshot), "\n")
	}
	return nil
}

// simulatedDisk is a machine's disk with the real store on it. What a process was writing when it ended is whole or torn, and a loss
// of power takes or tears what wasn't synced.
type simulatedDisk struct {
	files   *simulation.Disk
	random  *simulation.Rand
	store   durableStore
	syncs   int
	written int
	shadow  *recoveredState // what a start would find; nil on an empty disk
}

func newSimulatedDisk(seed uint64) *simulatedDisk {
	random := simulation.NewRand(seed)
	return &simulatedDisk{files: simulation.NewDisk(random), random: random}
}

func (d *simulatedDisk) empty() bool { return d.shadow == nil }

// open is what a starting process does, and returns what it finds.
func (d *simulatedDisk) open() *recoveredState {
	store, found, err := openStore(d.files)
	if err != nil {
		panic(fmt.Sprintf("a disk can't be read that lost no more than power: %v", err))
	}
	d.store = store
	return found
}

// diskWrite is what a process decided: records, or a snapshot in place of all, which holds a state.
type diskWrite struct {
	records [][]byte
	whole   []byte
	state   *recoveredState
}

func (w diskWrite) empty() bool { return len(w.records) == 0 && w.whole == nil }

// write stores what a process decided.
func (d *simulatedDisk) write(w diskWrite) error {
	d.syncs++
	if err := d.put(w); err != nil {
		return err
	}
	d.follow(w)
	return nil
}

func (d *simulatedDisk) put(w diskWrite) error {
	if w.whole != nil {
		d.written += len(w.whole)
		return d.store.Compact(w.whole)
	}
	for _, record := range w.records {
		d.written += len(record)
	}
	return d.store.Append(w.records...)
}

// follow keeps the shadow as the disk is after a write.
func (d *simulatedDisk) follow(w diskWrite) {
	if w.whole != nil {
		d.shadow = w.state
		return
	}
	for _, record := range w.records {
		if err := d.shadow.replay(record); err != nil {
			panic(err)
		}
	}
}

// end ends the process, by a kill or by a loss of power, in the midst of a write where there is one. It checks that the disk then holds
// what it did before or after that write, and nothing between.
func (d *simulatedDisk) end(w diskWrite, power bool) {
	allowed := []string{d.shadow.summary()}
	if !w.empty() {
		d.files.FailAt(1 + d.random.IntN(8))
		if err := d.put(w); err != nil && !errors.Is(err, simulation.ErrPowerLost) && !errors.Is(err, slots.ErrDiskFull) {
			panic(err)
		}
		d.follow(w)
		allowed = append(allowed, d.shadow.summary())
	}
	if power {
		d.files.LosePower()
	} else {
		d.files.Kill()
	}
	d.shadow = d.open()
	d.files.Kill()
	for _, summary := range allowed {
		if d.shadow.summary() == summary {
			return
		}
	}
	panic(failure(fmt.Sprintf("a disk holds %s, of %v", d.shadow.summary(), allowed)))
}

// fill leaves room for a few more bytes only.
func (d *simulatedDisk) fill() {
	names, _ := d.files.List()
	used := int64(d.random.IntN(200))
	for _, name := range names {
		size, _ := d.files.Size(name)
		used += size
	}
	d.files.SetCapacity(used + 1)
}

// summary tells what a state of the disk holds.
func (s *recoveredState) summary() string {
	if s == nil {
		return "nothing"
	}
	epoch, _ := s.log.EpochAt(s.log.LastIndex())
	return fmt.Sprintf("view %d promised %v accepted %v synced %d, log to %d of epoch %d", s.durable.View.Epoch, s.durable.Promised,
		s.durable.AcceptedBallot, s.synced, s.log.LastIndex(), epoch)
}

// durableState is what a start would find that a core has just written whole.
func (c *core) durableState() *recoveredState {
	baseIndex, baseEpoch := c.log.Base()
	entries := c.log.After(baseIndex, math.MaxInt)
	return &recoveredState{self: c.self, durable: c.acceptor.DurableState, synced: c.syncedEpoch, log: chain.NewLog(baseIndex, baseEpoch, entries)}
}

var _ slots.FS = (*simulation.Disk)(nil)
