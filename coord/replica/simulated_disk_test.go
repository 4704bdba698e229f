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

// historyStateMachine keeps the commands that it has applied: all of them, or the last ones if retained is set.
type historyStateMachine struct {
	commands []string
	retained int // number of commands to keep; 0: all
}

func (m *historyStateMachine) Apply(index uint64, command []byte) []byte {
	m.commands = append(m.commands, string(command))
	if m.retained > 0 && len(m.commands) > m.retained {
		m.commands = append(m.commands[:0], m.commands[1:]...)
	}
	return []byte(fmt.Sprint(len(m.commands)))
}

func (m *historyStateMachine) Snapshot() []byte { return []byte(strings.Join(m.commands, "\n")) }

func (m *historyStateMachine) Restore(snapshot []byte) error {
	m.commands = nil
	if len(snapshot) > 0 {
		m.commands = strings.Split(string(snapshot), "\n")
	}
	return nil
}

// simulatedDisk is a machine's disk with the real store on it. When a process ends, the write in progress is complete
// or torn. A power loss drops or tears the data that wasn't synced.
type simulatedDisk struct {
	files   *simulation.Disk
	random  *simulation.Rand
	store   durableStore
	syncs   int
	written int             // bytes passed to the store
	shadow  *recoveredState // the state that a start must recover; nil: the disk is empty
}

// newSimulatedDisk returns an empty disk.
func newSimulatedDisk(seed uint64) *simulatedDisk {
	random := simulation.NewRand(seed)
	return &simulatedDisk{files: simulation.NewDisk(random), random: random}
}

// empty reports whether the disk holds nothing.
func (d *simulatedDisk) empty() bool { return d.shadow == nil }

// open opens the store, as a starting process does, and returns the recovered state.
func (d *simulatedDisk) open() *recoveredState {
	store, recovered, err := openStore(d.files)
	if err != nil {
		panic(fmt.Sprintf("a disk that had no other fault than a power loss can't be read: %v", err))
	}
	d.store = store
	return recovered
}

// diskWrite is one write of a process: either records, or a snapshot with the state that it encodes.
type diskWrite struct {
	records  [][]byte
	snapshot []byte
	state    *recoveredState
}

func (write diskWrite) empty() bool { return len(write.records) == 0 && write.snapshot == nil }

// write makes a write durable and applies it to the shadow.
func (d *simulatedDisk) write(pending diskWrite) error {
	d.syncs++
	if err := d.persist(pending); err != nil {
		return err
	}
	d.updateShadow(pending)
	return nil
}

// persist passes a write to the store.
func (d *simulatedDisk) persist(write diskWrite) error {
	if write.snapshot != nil {
		d.written += len(write.snapshot)
		return d.store.Compact(write.snapshot)
	}
	for _, record := range write.records {
		d.written += len(record)
	}
	return d.store.Append(write.records...)
}

// updateShadow applies a write to the shadow.
func (d *simulatedDisk) updateShadow(write diskWrite) {
	if write.snapshot != nil {
		d.shadow = write.state
		return
	}
	for _, record := range write.records {
		if err := d.shadow.replay(record); err != nil {
			panic(err)
		}
	}
}

// end ends the process, by a kill or by a power loss, during the given write unless it is empty. It checks that the
// disk then holds either the state before or the state after the write, and no partial state.
func (d *simulatedDisk) end(write diskWrite, powerLoss bool) {
	allowed := []string{d.shadow.summary()}
	if !write.empty() {
		d.files.FailAt(1 + d.random.IntN(8))
		err := d.persist(write)
		if err != nil && !errors.Is(err, simulation.ErrPowerLost) && !errors.Is(err, slots.ErrDiskFull) {
			panic(err)
		}
		d.updateShadow(write)
		allowed = append(allowed, d.shadow.summary())
	}
	if powerLoss {
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
	panic(failure(fmt.Sprintf("a disk holds %s, want one of %v", d.shadow.summary(), allowed)))
}

// fill limits the capacity of the disk to its current size and at most 200 more bytes.
func (d *simulatedDisk) fill() {
	names, _ := d.files.List()
	used := int64(d.random.IntN(200))
	for _, name := range names {
		size, _ := d.files.Size(name)
		used += size
	}
	d.files.SetCapacity(used + 1)
}

// summary describes the state on a disk.
func (s *recoveredState) summary() string {
	if s == nil {
		return "nothing"
	}
	epoch, _ := s.log.EpochAt(s.log.LastIndex())
	return fmt.Sprintf("view %d promised %v accepted %v synced %d, log to %d of epoch %d",
		s.durable.View.Epoch, s.durable.Promised, s.durable.AcceptedBallot, s.synced, s.log.LastIndex(), epoch)
}

// durableState returns the state that a start must recover after a checkpoint of the core.
func (c *core) durableState() *recoveredState {
	baseIndex, baseEpoch := c.log.Base()
	entries := c.log.After(baseIndex, math.MaxInt)
	return &recoveredState{
		self:    c.self,
		durable: c.acceptor.DurableState,
		synced:  c.syncedEpoch,
		log:     chain.NewLog(baseIndex, baseEpoch, entries),
	}
}

var _ slots.FS = (*simulation.Disk)(nil)
