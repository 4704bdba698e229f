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
	bugCopyOverResults        = "a copy record over results that are not durable"
	bugAckEarly               = "acknowledged before the second disk"
	bugShowEarly              = "shown before all replicas"
	bugIgnoreLease            = "the lease is ignored after a thaw"
	bugRetireEarly            = "a retirement completed too early"
	bugWipedKeepsName         = "a wiped store keeps its name and vote"
	bugDurableEarly           = "durable before the sync"
	bugNoTruncation           = "a torn tail is not cut"
	bugNoSyncAtStart          = "a start does not sync what it found"
	bugReleaseNeeded          = "a segment is released that is needed"
	bugGrantBeforeAllClaims   = "room is given before all stores were heard"
	bugKeepsGrantsAcrossViews = "what was given in an earlier view is not counted anew"
)

// plantedDisk gives a disk that doesn't do all that it is told, where that is the bug.
func (w *storeSimulation) buggyDisk(disk slots.FS) slots.FS {
	switch w.bug {
	case bugDurableEarly:
		return faultyDisk{FS: disk, created: true}
	case bugNoTruncation:
		return faultyDisk{FS: disk, truncates: true}
	case bugNoSyncAtStart:
		return faultyDisk{FS: disk, opened: true}
	}
	return disk
}

// lyingDisk is a folder on whose files Sync or Truncate does nothing.
type faultyDisk struct {
	slots.FS
	opened, created, truncates bool
}

// Open implements slots.FS.
func (l faultyDisk) Open(name string) (slots.File, error) {
	file, err := l.FS.Open(name)
	return faultyFile{File: file, noSync: l.opened, noTruncate: l.truncates}, err
}

// Create implements slots.FS.
func (l faultyDisk) Create(name string) (slots.File, error) {
	file, err := l.FS.Create(name)
	return faultyFile{File: file, noSync: l.created}, err
}

type faultyFile struct {
	slots.File
	noSync, noTruncate bool
}

// Sync implements slots.File.
func (f faultyFile) Sync() error {
	if f.noSync {
		return nil
	}
	return f.File.Sync()
}

// Truncate implements slots.File.
func (f faultyFile) Truncate(size int64) error {
	if f.noTruncate {
		return nil
	}
	return f.File.Truncate(size)
}

// plantAcknowledgement tells the owner, now and then, at once that what it sent is on the disk.
func (s *simulatedStore) injectAcknowledgement(owner protocol.Process, message any) {
	replicate, ok := message.(ReplicationRequest)
	j := s.machine.jobs[replicate.Job]
	if s.sim.bug != bugAckEarly || !ok || j == nil || j.version != replicate.Version || s.sim.random.IntN(3) > 0 {
		return // not always: two answers to each message would be a storm
	}
	s.Send(owner, ReplicationResponse{
		Stamp: s.machine.stamp(), Job: j.id, Held: true, Version: j.version, Count: len(j.results), Ended: j.ended,
	})
}

// plantAtRandom breaks, now and then, what a machine does.
func (c *campaign) injectBugs() {
	if c.bug == bugGrantBeforeAllClaims || c.bug == bugKeepsGrantsAcrossViews {
		c.injectCounterBugs()
		return
	}
	if c.bug != bugCopyOverResults && c.bug != bugShowEarly {
		return
	}
	c.schedule(c.randomDuration(time.Millisecond, 20*time.Millisecond), c.injectBugs)
	s := c.anyStore()
	if !s.up || s.paused {
		return
	}
	for _, j := range s.machine.order {
		switch {
		case !j.owned || !j.replicated || j.ended:
		case c.bug == bugShowEarly:
			j.committedResults = max(j.committedResults, j.durableResults)
			s.machine.answerReads(j)
		case j.durableResults < len(j.results):
			s.injectCopy(j)
		}
	}
}

// plantCopy writes a copy with the durable results only, behind those that are on their way.
func (s *simulatedStore) injectCopy(j *storedJob) {
	message := ReplicationRequest{}
	if s.machine.fillFullCopy(j, &message, j.durableResults) {
		record := encodeCopy(j.id, j.version, j.replicas, j.endedDurable, message.Content, message.Results)
		s.machine.write(record, false, func() {})
	}
}

// lost is what is told where something that was promised isn't there.
var lossFailures = []string{
	"404", "can't be read", "is whole on", "results were read", "position", "isn't answered",
}

// plants lists the planted bugs, with what the worlds are to tell of each, the troubles that bring it about, and the first seed,
// which saves the worlds that are known not to find it.
var injectedBugs = []struct {
	name  string
	told  []string
	focus []string
	from  uint64
}{
	{bugCopyOverResults, []string{"unreadable: job: corrupt encoding: result at position"}, []string{faultPower}, 0},
	{bugAckEarly, lossFailures, []string{faultAllPower, faultAllPowerDisks}, 255},
	{bugShowEarly, lossFailures, []string{faultWipe, faultAllPowerDisks}, 140},
	{bugIgnoreLease, append([]string{"owns it, too", "after the end"}, lossFailures...), []string{faultPause}, 0},
	{bugRetireEarly, lossFailures, []string{faultRetire}, 5},
	{bugWipedKeepsName, lossFailures, []string{faultAllPowerDisks}, 0},
	{bugDurableEarly, append([]string{"unreadable"}, lossFailures...), []string{faultAllPower}, 0},
	{bugNoTruncation, []string{"unreadable"}, []string{faultPower, faultKillThenPower}, 230},
	{bugNoSyncAtStart, append([]string{"unreadable"}, lossFailures...), []string{faultKill, faultKillThenPower}, 130},
	{bugReleaseNeeded, lossFailures, []string{faultKill}, 0},
	{bugGrantBeforeAllClaims, []string{"tokens wait"}, []string{faultKill, faultAllPower}, 0},
	{bugKeepsGrantsAcrossViews, []string{"tokens wait"}, []string{faultWipe, faultGrow, faultRetire}, 0},
}

// mostPlanted is how many worlds are searched for a planted bug.
const maxSeedsPerBug = 1000

// TestPlantedBugs shows that the worlds find what they are for: each bug breaks a world that keeps the rules without it.
func TestInjectedBugs(t *testing.T) {
	for _, plant := range injectedBugs {
		t.Run(plant.name, func(t *testing.T) {
			for seed := plant.from; seed < plant.from+maxSeedsPerBug; seed++ {
				_, err := runSeed(seed, plant.name, plant.focus...)
				if err == nil || !tells(err, plant.told) {
					continue
				}
				if _, without := runSeed(seed, "", plant.focus...); without == nil {
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
