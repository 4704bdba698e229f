package replica

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns bugs that are planted into a world, to show that it finds them. Each stands in the harness.

const (
	plantCopyOverResults = "a copy record over results that are not durable"
	plantAckEarly        = "acknowledged before the second disk"
	plantShowEarly       = "shown before all replicas"
	plantIgnoreLease     = "the lease is ignored after a thaw"
	plantRetireEarly     = "a retirement completed too early"
	plantWipedKeepsName  = "a wiped store keeps its name and vote"
	plantDurableEarly    = "durable before the sync"
	plantNoCut           = "a torn tail is not cut"
	plantNoSyncAtStart   = "a start does not sync what it found"
	plantReleaseNeeded   = "a segment is released that is needed"
	plantCountUnheard    = "room is given before all stores were heard"
	plantLevelsStand     = "what was given in an earlier view is not counted anew"
)

// plantedDisk gives a disk that doesn't do all that it is told, where that is the bug.
func (w *world) plantedDisk(disk slots.FS) slots.FS {
	switch w.plant {
	case plantDurableEarly:
		return lyingDisk{FS: disk, created: true}
	case plantNoCut:
		return lyingDisk{FS: disk, truncates: true}
	case plantNoSyncAtStart:
		return lyingDisk{FS: disk, opened: true}
	}
	return disk
}

// lyingDisk is a folder on whose files Sync or Truncate does nothing.
type lyingDisk struct {
	slots.FS
	opened, created, truncates bool
}

// Open implements slots.FS.
func (l lyingDisk) Open(name string) (slots.File, error) {
	file, err := l.FS.Open(name)
	return lyingFile{File: file, noSync: l.opened, noTruncate: l.truncates}, err
}

// Create implements slots.FS.
func (l lyingDisk) Create(name string) (slots.File, error) {
	file, err := l.FS.Create(name)
	return lyingFile{File: file, noSync: l.created}, err
}

type lyingFile struct {
	slots.File
	noSync, noTruncate bool
}

// Sync implements slots.File.
func (f lyingFile) Sync() error {
	if f.noSync {
		return nil
	}
	return f.File.Sync()
}

// Truncate implements slots.File.
func (f lyingFile) Truncate(size int64) error {
	if f.noTruncate {
		return nil
	}
	return f.File.Truncate(size)
}

// plantAcknowledgement tells the owner, now and then, at once that what it sent is on the disk.
func (s *store) plantAcknowledgement(owner protocol.Process, message any) {
	replicate, ok := message.(ReplicationRequest)
	h := s.machine.jobs[replicate.Job]
	if s.world.plant != plantAckEarly || !ok || h == nil || h.version != replicate.Version || s.world.random.IntN(3) > 0 {
		return // not always: two answers to each message would be a storm
	}
	s.Send(owner, ReplicationResponse{
		Stamp: s.machine.stamp(), Job: h.id, Held: true, Version: h.version, Count: len(h.results), Ended: h.ended,
	})
}

// plantAtRandom breaks, now and then, what a machine does.
func (c *campaign) plantAtRandom() {
	if c.plant == plantCountUnheard || c.plant == plantLevelsStand {
		c.plantInCounts()
		return
	}
	if c.plant != plantCopyOverResults && c.plant != plantShowEarly {
		return
	}
	c.after(c.between(time.Millisecond, 20*time.Millisecond), c.plantAtRandom)
	s := c.anyStore()
	if !s.up || s.frozen {
		return
	}
	for _, h := range s.machine.order {
		switch {
		case !h.owned || !h.replicated || h.ended:
		case c.plant == plantShowEarly:
			h.committedResults = max(h.committedResults, h.durableResults)
			s.machine.answerReads(h)
		case h.durableResults < len(h.results):
			s.plantCopy(h)
		}
	}
}

// plantCopy writes a copy with the durable results only, behind those that are on their way.
func (s *store) plantCopy(h *storedJob) {
	message := ReplicationRequest{}
	if s.machine.fillFullCopy(h, &message, h.durableResults) {
		record := encodeCopy(h.id, h.version, h.replicas, h.endedDurable, message.Content, message.Results)
		s.machine.write(record, false, func() {})
	}
}

// lost is what is told where something that was promised isn't there.
var lost = []string{
	"404", "can't be read", "is whole on", "results were read", "position", "isn't answered",
}

// plants lists the planted bugs, with what the worlds are to tell of each, the troubles that bring it about, and the first seed,
// which saves the worlds that are known not to find it.
var plants = []struct {
	name  string
	told  []string
	focus []string
	from  uint64
}{
	{plantCopyOverResults, []string{"unreadable: job: corrupt encoding: result at position"}, []string{troublePower}, 0},
	{plantAckEarly, lost, []string{troubleAllPower, troubleAllPowerDisks}, 255},
	{plantShowEarly, lost, []string{troubleWipe, troubleAllPowerDisks}, 140},
	{plantIgnoreLease, append([]string{"owns it, too", "after the end"}, lost...), []string{troubleFreeze}, 0},
	{plantRetireEarly, lost, []string{troubleRetire}, 5},
	{plantWipedKeepsName, lost, []string{troubleAllPowerDisks}, 0},
	{plantDurableEarly, append([]string{"unreadable"}, lost...), []string{troubleAllPower}, 0},
	{plantNoCut, []string{"unreadable"}, []string{troublePower, troubleKillThenPower}, 230},
	{plantNoSyncAtStart, append([]string{"unreadable"}, lost...), []string{troubleKill, troubleKillThenPower}, 130},
	{plantReleaseNeeded, lost, []string{troubleKill}, 0},
	{plantCountUnheard, []string{"tokens wait"}, []string{troubleKill, troubleAllPower}, 0},
	{plantLevelsStand, []string{"tokens wait"}, []string{troubleWipe, troubleGrow, troubleRetire}, 0},
}

// mostPlanted is how many worlds are searched for a planted bug.
const mostPlanted = 1000

// TestPlantedBugs shows that the worlds find what they are for: each bug breaks a world that keeps the rules without it.
func TestPlantedBugs(t *testing.T) {
	for _, plant := range plants {
		t.Run(plant.name, func(t *testing.T) {
			for seed := plant.from; seed < plant.from+mostPlanted; seed++ {
				_, err := playSeed(seed, plant.name, plant.focus...)
				if err == nil || !tells(err, plant.told) {
					continue
				}
				if _, without := playSeed(seed, "", plant.focus...); without == nil {
					t.Logf("found with seed %d: %.300v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

func tells(err error, texts []string) bool {
	return slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(err.Error(), text) })
}
