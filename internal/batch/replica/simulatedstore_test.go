package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/simulation"
)

// This file contains a simulated store: a process with the real write-ahead log on a simulated disk, whose operations
// take time.

// fullDiskRetry is the time between attempts to write to a full disk.
const fullDiskRetry = 200 * time.Millisecond

// simulatedStore is a store of a simulation.
type simulatedStore struct {
	sim                *storeSimulation
	node, ip           string
	zone               string
	incarnation        int
	skew               time.Duration // deviation of the store's time of day
	disk               *simulation.Disk
	corrupted          bool // bits of the store's log were inverted
	fs                 slots.FS
	processIncarnation uint64
	up                 bool
	paused             bool
	removed            bool // removed permanently
	delayedInputs      []func()
	machine            *StateMachine
	generation         int // of the process
	running            map[string]*jobRun
	idle               bool // the store runs no items
	answers            map[CallID]func(protocol.BatchAnswer)
	lastCall           CallID

	log             *wal.Log
	stepping        bool
	wakeAt          time.Duration // when the log is written next; 0 if nothing is queued
	reportedDurable uint64        // last record that was reported to the state machine as durable
	appended        []wal.Location
	lastDurable     wal.Location // location of the last durable record
	lastProven      wal.Location // location of the last record behind which a later group was synced
	stalled         bool
	slowdown        int // factor by which the duration of disk operations is multiplied
}

func newSimulatedStore(sim *storeSimulation, node, ip, zone string) *simulatedStore {
	s := &simulatedStore{sim: sim, node: node, ip: ip, zone: zone, slowdown: 1}
	s.disk = simulation.NewDisk(sim.random.Fork(node + ip))
	s.fs = sim.buggyDisk(s.disk)
	s.skew = sim.randomDuration(-maxClockSkew, maxClockSkew)
	s.newIncarnation()
	return s
}

// newIncarnation gives an empty disk a new incarnation, except with bugWipedKeepsName.
func (s *simulatedStore) newIncarnation() {
	if s.incarnation > 0 && s.sim.bug == bugWipedKeepsName {
		return
	}
	s.sim.incarnations++
	s.incarnation = s.sim.incarnations
}

// process returns the store's identity with its disk's present incarnation.
func (s *simulatedStore) process() protocol.Process {
	return protocol.Process{
		Node: s.node, Role: protocol.RoleBatch, Zone: s.zone, IP: s.ip, Incarnation: strconv.Itoa(s.incarnation),
	}
}

func (s *simulatedStore) key() placement.Key { return placement.KeyOf(s.process()) }

// start starts the process on the present content of the disk.
func (s *simulatedStore) start() {
	sim := s.sim
	s.processIncarnation++
	s.generation++
	s.up, s.paused = true, false
	s.delayedInputs = nil
	s.running = map[string]*jobRun{}
	s.answers = map[CallID]func(protocol.BatchAnswer){}
	s.stepping, s.wakeAt, s.reportedDurable, s.appended = false, 0, 0, nil
	s.lastDurable, s.lastProven = wal.Location{}, wal.Location{}
	s.machine = New(Options{
		Self: s.process(), ProcessIncarnation: s.processIncarnation,
		ReplicationFactor: sim.replicationFactor, Retention: sim.retention + 2*maxClockSkew,
	}, s)
	log, err := wal.OpenLog(s.fs, s.walOptions(), func(at wal.Location, record []byte) error {
		s.lastDurable = at
		if err := s.machine.Replay(at, record); err != nil && !s.corrupted {
			return err
		}
		return nil
	})
	switch {
	case errors.Is(err, simulation.ErrPowerLost):
		s.powerFails()
		return
	case err != nil:
		sim.fail("%s finds its own log unreadable: %v", s.node, err)
		return
	}
	sim.note("%s starts as %s, incarnation %d, with %d batch jobs",
		s.node, s.key(), s.processIncarnation, len(s.machine.jobs))
	s.log = log
	s.every(100*time.Millisecond, func() { s.machine.Tick() })
	s.every(sim.randomDuration(50*time.Millisecond, 700*time.Millisecond), s.release)
	s.poll()
}

// walOptions lets the log skip unreadable parts if the simulation has corrupted the disk. Otherwise there must be no
// such parts.
func (s *simulatedStore) walOptions() wal.Options {
	options := wal.Options{SegmentSize: s.sim.segmentSize}
	if s.corrupted {
		options.OnSkipped = func(at wal.Location) { s.sim.note("%s: %v", s.node, s.machine.ReplaySkipped(at)) }
	}
	return options
}

// corruptLog inverts some bits of the log, at places where the damage can't be mistaken for the effect of a loss of
// power. It reports whether there is such a place.
func (s *simulatedStore) corruptLog() bool {
	parts := s.provenParts()
	if len(parts) == 0 {
		return false
	}
	for range 1 + s.sim.random.IntN(3) {
		part := parts[s.sim.random.IntN(len(parts))]
		offset := s.sim.random.Int64N(part.size)
		s.sim.note("%s: byte %d of %s of %d is corrupt", s.node, offset, part.name, part.size)
		s.disk.FlipBit(part.name, offset, s.sim.random.IntN(8))
	}
	s.corrupted = true
	return true
}

// logPart is the first part of a segment.
type logPart struct {
	name string
	size int64
}

// provenParts returns the parts of the log that have certainly been synced, as the log itself shows: all except for the
// last group of the newest segment.
func (s *simulatedStore) provenParts() []logPart {
	names, _ := s.disk.List()
	var parts []logPart
	for i, name := range names {
		size, _ := s.disk.Size(name)
		if i == len(names)-1 {
			size = 0
			if name == fmt.Sprintf("segment-%08d", s.lastProven.Segment) {
				size = int64(s.lastProven.Offset + s.lastProven.Length)
			}
		}
		if size > 0 {
			parts = append(parts, logPart{name: name, size: size})
		}
	}
	return parts
}

// do runs a function in the process: at once if the process runs, when it resumes if it is paused, or never if it has
// ended.
func (s *simulatedStore) do(run func()) {
	if !s.up {
		return
	}
	if s.paused {
		s.delayedInputs = append(s.delayedInputs, run)
		return
	}
	run()
}

// later runs a function in the process after a delay, unless the process ends before.
func (s *simulatedStore) later(delay time.Duration, run func()) {
	generation := s.generation
	s.sim.schedule(delay, func() {
		if s.generation == generation {
			s.do(run)
		}
	})
}

// every runs a function in the process periodically.
func (s *simulatedStore) every(period time.Duration, run func()) {
	s.later(period, func() {
		run()
		s.every(period, run)
	})
}

// restart starts the process unless it runs or the store has been removed.
func (s *simulatedStore) restart() {
	if !s.up && !s.removed {
		s.start()
	}
}

// stop ends the process. Its pending calls get an empty answer.
func (s *simulatedStore) stop() {
	if !s.up {
		return
	}
	s.up = false
	s.generation++
	answers := s.answers
	s.answers = nil
	for _, callID := range slices.Sorted(maps.Keys(answers)) {
		answers[callID](protocol.BatchAnswer{})
	}
}

// kill ends the process. All that it wrote stays in its files.
func (s *simulatedStore) kill() {
	s.sim.note("%s is killed", s.node)
	s.stop()
	s.disk.Kill()
}

// losePower ends the process and loses some or all of the data that was not synced.
func (s *simulatedStore) losePower() {
	s.sim.note("%s loses power", s.node)
	s.stop()
	s.disk.LosePower()
}

// powerFails simulates a loss of power in the middle of a disk operation. The process starts again after a while.
func (s *simulatedStore) powerFails() {
	s.losePower()
	s.sim.schedule(s.sim.randomDuration(100*time.Millisecond, 2*time.Second), s.restart)
}

// wipe ends the process and loses its disk.
func (s *simulatedStore) wipe() {
	s.sim.note("%s loses its disk", s.node)
	s.stop()
	s.disk.Wipe()
	s.corrupted = false
	s.newIncarnation()
}

// remove removes the store permanently.
func (s *simulatedStore) remove() {
	s.wipe()
	s.removed = true
}

// pause stops scheduling the process for a duration.
func (s *simulatedStore) pause(duration time.Duration) {
	if !s.up || s.paused {
		return
	}
	s.sim.note("%s is paused", s.node)
	s.paused = true
	generation := s.generation
	s.sim.schedule(duration, func() {
		if s.generation == generation {
			s.resume()
		}
	})
}

// resume continues a paused process. Inputs that arrived during the pause are handled in a random order.
func (s *simulatedStore) resume() {
	if !s.paused {
		return
	}
	s.sim.note("%s resumes", s.node)
	s.paused = false
	if s.sim.bug == bugIgnoreLease {
		s.machine.leaseUntil = s.sim.now + time.Hour
	}
	inputs := s.delayedInputs
	s.delayedInputs = nil
	s.sim.random.Shuffle(len(inputs), func(i, j int) { inputs[i], inputs[j] = inputs[j], inputs[i] })
	generation := s.generation
	for _, run := range inputs {
		if s.generation == generation {
			s.do(run)
		}
	}
}

// The log.

// Write appends a record to the log. The log is written after a delay, which is shorter if the record is urgent.
func (s *simulatedStore) Write(record []byte, urgent bool) (uint64, wal.Location) {
	sequence, at := s.log.Append(record)
	s.appended = append(s.appended, at)
	delay := s.sim.randomDuration(0, time.Millisecond)
	if !urgent {
		delay += s.sim.randomDuration(0, wal.DefaultLinger)
	}
	s.wake(delay)
	return sequence, at
}

// wake schedules a write of the log after a delay, unless an earlier one is scheduled.
func (s *simulatedStore) wake(delay time.Duration) {
	at := s.sim.now + delay
	if s.stepping || s.wakeAt > 0 && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	s.later(delay, func() {
		if !s.stepping && s.wakeAt == at {
			s.stepping = true
			s.step()
		}
	})
}

// step does the log's next disk operation, which takes a random time, and continues until there is none.
func (s *simulatedStore) step() {
	if s.stalled {
		s.later(20*time.Millisecond, s.step)
		return
	}
	more, err := s.log.Step()
	switch {
	case errors.Is(err, wal.ErrDiskFull):
		s.later(fullDiskRetry, s.step)
		return
	case errors.Is(err, simulation.ErrPowerLost):
		s.powerFails()
		return
	case err != nil:
		s.sim.fail("%s: the log fails: %v", s.node, err)
		return
	}
	if !more {
		s.stepping, s.wakeAt = false, 0
		return
	}
	took := s.sim.randomDuration(100*time.Microsecond, 3*time.Millisecond) * time.Duration(s.slowdown)
	s.later(took, func() {
		s.reportDurable()
		s.step()
	})
}

// sync makes all appended records durable at once.
func (s *simulatedStore) sync() {
	for more := true; more; {
		var err error
		if more, err = s.log.Step(); err != nil {
			s.sim.fail("%s: the log fails: %v", s.node, err)
			return
		}
	}
	s.reportDurable()
}

// reportDurable reports to the state machine which records are durable.
func (s *simulatedStore) reportDurable() {
	durable := s.log.Durable()
	if durable == s.reportedDurable {
		return
	}
	s.lastProven, s.lastDurable = s.lastDurable, s.appended[durable-s.reportedDurable-1]
	s.appended = s.appended[durable-s.reportedDurable:]
	s.reportedDurable = durable
	s.machine.Synced(durable)
}

// release removes segments of the log that are not needed any more.
func (s *simulatedStore) release() {
	oldest, current := s.log.SegmentRange()
	needed := s.machine.OldestSegment(current)
	if s.sim.bug == bugReleaseNeeded {
		needed = current
	}
	for ; oldest < needed; oldest++ {
		switch err := s.log.RemoveSegment(oldest); {
		case errors.Is(err, simulation.ErrPowerLost):
			s.powerFails()
			return
		case err != nil:
			s.sim.fail("%s: segment %d can't be removed: %v", s.node, oldest, err)
			return
		}
		s.sim.note("%s releases segment %d", s.node, oldest)
	}
}

// Read reads from the log. Only durable records may be read.
func (s *simulatedStore) Read(at wal.Location) ([]byte, error) {
	if isAfter(at, s.lastDurable) {
		s.sim.fail("%s reads %v, but only records up to %v are durable", s.node, at, s.lastDurable)
	}
	return s.log.Read(at)
}

// isAfter reports whether a location ends after another.
func isAfter(at, frontier wal.Location) bool {
	return at.Segment > frontier.Segment ||
		at.Segment == frontier.Segment && at.Offset+at.Length > frontier.Offset+frontier.Length
}

// FreeBytes returns the number of free bytes on the disk.
func (s *simulatedStore) FreeBytes() int64 {
	if s.log.DiskFull() {
		return 0
	}
	return 1<<30 - s.log.Size()
}

// fill limits the free space on the disk to a number of bytes for a duration.
func (s *simulatedStore) fill(free int64, duration time.Duration) {
	s.sim.note("the disk of %s has %d bytes free", s.node, free)
	used := int64(0)
	names, _ := s.disk.List()
	for _, name := range names {
		size, _ := s.disk.Size(name)
		used += size
	}
	s.disk.SetCapacity(used + free)
	s.sim.schedule(duration, func() { s.disk.SetCapacity(0) })
}

// The rest of the state machine's environment.

// QueueLimit returns the same limit at all stores.
func (s *simulatedStore) QueueLimit(string) (int64, bool) { return s.sim.tokenLimit, true }

// ItemLifetime returns a time that takes into account stores whose clocks differ, and a run that starts at the end of
// the lifetime.
func (s *simulatedStore) ItemLifetime(string) (time.Duration, bool) {
	return s.sim.itemLifetime + 4*maxClockSkew, true
}

// Now returns the time of the simulation's monotonic clock.
func (s *simulatedStore) Now() time.Duration { return s.sim.now }

// WallClock returns the store's time of day.
func (s *simulatedStore) WallClock() int64 { return (s.sim.now + s.skew + time.Hour).Milliseconds() }

// Send sends a message to another store.
func (s *simulatedStore) Send(to protocol.Process, message any) {
	sim := s.sim
	target := sim.storeOf(placement.KeyOf(to))
	if target == nil || target.removed {
		return
	}
	sender := s.process()
	incarnation := target.incarnation
	sim.transmit(s.node, target.node, func() {
		if target.incarnation != incarnation {
			return
		}
		target.do(func() {
			target.machine.Receive(sender, message)
			target.injectAcknowledgement(sender, message)
		})
	})
}

// Answer answers a call, as the server does: it gives a definite answer only while the store may act.
func (s *simulatedStore) Answer(callID CallID, answer protocol.BatchAnswer) {
	answered := s.answers[callID]
	if answered == nil {
		return
	}
	delete(s.answers, callID)
	if answer.Status != 503 && answer.Status != 504 && answer.Owner == "" && !s.machine.MayAct() {
		answer = protocol.BatchAnswer{Status: 504}
	}
	answered(answer)
}
