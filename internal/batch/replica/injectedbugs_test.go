package replica

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sprucelane.example/sprucelane/coord/slots"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains bugs that are injected into a simulation, to show that it detects them. Each bug is in the test
// code, not in the code under test.

const (
	bugCopyOverResults        = "a copy record over results that are not durable"
	bugAckEarly               = "acknowledged before the second disk"
	bugShowEarly              = "shown before all replicas"
	bugIgnoreLease            = "the lease is ignored after a pause"
	bugRetireEarly            = "a retirement completed too early"
	bugWipedKeepsName         = "a wiped store keeps its name and vote"
	bugDurableEarly           = "durable before the sync"
	bugNoTruncation           = "a torn tail is not truncated"
	bugNoSyncAtStart          = "a start does not sync what it found"
	bugReleaseNeeded          = "a segment is released that is needed"
	bugGrantBeforeAllClaims   = "capacity is granted before all stores have claimed"
	bugKeepsGrantsAcrossViews = "what was granted in an earlier view is not counted anew"
)

// buggyDisk returns a disk on whose files an operation does nothing, if the run's bug is one of the disk. Otherwise it
// returns the disk itself.
func (sim *storeSimulation) buggyDisk(disk slots.FS) slots.FS {
	switch sim.bug {
	case bugDurableEarly:
		return faultyDisk{FS: disk, created: true}
	case bugNoTruncation:
		return faultyDisk{FS: disk, truncates: true}
	case bugNoSyncAtStart:
		return faultyDisk{FS: disk, opened: true}
	}
	return disk
}

// faultyDisk is a folder on whose files Sync or Truncate does nothing.
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

// faultyFile is a file of a faultyDisk.
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

// injectAcknowledgement reports to the owner, in some cases, that the records it sent are durable before they are.
func (s *simulatedStore) injectAcknowledgement(owner protocol.Process, message any) {
	replicate, ok := message.(ReplicationRequest)
	j := s.machine.jobs[replicate.Job]
	if s.sim.bug != bugAckEarly || !ok || j == nil || j.version != replicate.Version || s.sim.random.IntN(3) > 0 {
		return // not always, because two answers to each message would multiply the messages without end
	}
	s.Send(owner, ReplicationResponse{
		Stamp: s.machine.stamp(), Job: j.id, Held: true, Version: j.version, Count: len(j.results), Ended: j.ended,
	})
}

// injectBugs corrupts the state of a state machine at random intervals, if the run's bug requires it.
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
	for _, j := range s.machine.jobsInOrder {
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

// injectCopy writes a copy with only the durable results, after results that are not durable yet.
func (s *simulatedStore) injectCopy(j *storedJob) {
	message := ReplicationRequest{}
	if s.machine.fillFullCopy(j, &message, j.durableResults) {
		record := encodeCopy(j.id, j.version, j.replicas, j.endedDurable, message.Content, message.Results)
		s.machine.write(record, false, func() {})
	}
}

// lossFailures are parts of the texts of failures in which promised data is missing.
var lossFailures = []string{
	"404", "can't be read", "is fully replicated on", "results were read", "position", "isn't answered",
}

// injectedBugs lists the bugs, with the failures that must show each, the faults that trigger it, and the first seed,
// which skips the runs that are known not to find it.
var injectedBugs = []struct {
	name      string
	failures  []string
	faults    []string
	firstSeed uint64
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
	{bugGrantBeforeAllClaims, []string{"tokens are queued"}, []string{faultKill, faultAllPower}, 0},
	{bugKeepsGrantsAcrossViews, []string{"tokens are queued"}, []string{faultWipe, faultGrow, faultRetire}, 0},
}

// maxSeedsPerBug is the maximum number of runs in which a bug must be found.
const maxSeedsPerBug = 1000

// TestInjectedBugs shows that the simulations detect bugs: each bug makes a run fail that passes without it.
func TestInjectedBugs(t *testing.T) {
	for _, bug := range injectedBugs {
		t.Run(bug.name, func(t *testing.T) {
			for seed := bug.firstSeed; seed < bug.firstSeed+maxSeedsPerBug; seed++ {
				_, err := runSeed(seed, bug.name, bug.faults...)
				if err == nil || !containsAny(err, bug.failures) {
					continue
				}
				if _, without := runSeed(seed, "", bug.faults...); without == nil {
					t.Logf("found with seed %d: %.300v", seed, err)
					return
				}
			}
			t.Error("bug not found")
		})
	}
}

// containsAny reports whether an error contains one of some texts.
func containsAny(err error, texts []string) bool {
	return slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(err.Error(), text) })
}
