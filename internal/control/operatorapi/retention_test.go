//go:build !race

package operatorapi

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"sprucelane.example/sprucelane/internal/simulation/seeds"
)

// Numbers of changes.
const (
	defaultChanges       = 5_000 // the environment variable ORDERS overrides it
	maxRememberedChanges = 4096
)

// usage returns the heap of the simulation and the usage of the fullest disk, in bytes.
func (w *clusterSimulation) usage() (heap uint64, disk int64) {
	for _, m := range w.members {
		held, _, _ := m.disk.Usage()
		disk = max(disk, held)
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, disk
}

// TestManyChanges checks that memory, disks and snapshots don't keep growing over thousands of accepted changes, once
// the maximum number of remembered changes is reached.
func TestManyChanges(t *testing.T) {
	changes := int(seeds.Number("ORDERS", defaultChanges))
	full := maxRememberedChanges + (changes-maxRememberedChanges)/4
	synctest.Test(t, func(t *testing.T) {
		w := newClusterSimulation(t, 1, 3, bugNone)
		began := w.now()
		w.commit(1, full, w.members...)
		heap, disk := w.usage()
		snapshot := len(w.members[0].state.Snapshot())
		w.commit(full+1, changes, w.members...)
		heapAfter, diskAfter := w.usage()
		snapshotAfter := len(w.members[0].state.Snapshot())
		t.Logf(
			"%d and %d changes, three members: heap %.1f then %.1f MB, disk of one %.2f then %.2f MB, snapshot of the machine %d then %d bytes, document %d bytes, %.1f ms of virtual time a change",
			full,
			changes,
			float64(heap)/1e6,
			float64(heapAfter)/1e6,
			float64(disk)/1e6,
			float64(diskAfter)/1e6,
			snapshot,
			snapshotAfter,
			len(largeChange(1).Body),
			float64((w.now()-began).Microseconds())/1e3/float64(changes),
		)
		if heapAfter > heap+heap/4+4<<20 {
			t.Errorf("the heap grew from %d to %d bytes", heap, heapAfter)
		}
		if diskAfter > 12<<20 {
			t.Errorf("%d bytes on the fullest disk, expected at most 12 MiB", diskAfter)
		}
		if snapshotAfter > snapshot+snapshot/10 {
			t.Errorf("the snapshot grew from %d to %d bytes", snapshot, snapshotAfter)
		}
		w.checkRemembered(changes)
		w.stop()
		for _, failure := range w.violations {
			t.Error(failure)
		}
	})
}

// checkRemembered checks the responses to changes of any age that are sent again: 200 for those that are remembered,
// 503 for older ones, and 412 for one that was never accepted and builds on a version recent enough to know that.
func (w *clusterSimulation) checkRemembered(changes int) {
	for version := 1; version <= changes; version += 499 {
		change := largeChange(version)
		method := "PUT"
		if change.Patch {
			method = "PATCH"
		}
		got := w.members[version%3].call(method, fmt.Sprint(change.IfMatch), string(change.Body), 2*time.Second).status
		expected := 200
		if version <= changes-maxRememberedChanges {
			expected = 503
		}
		if got != expected {
			w.failf("the change to version %d of %d got status %d, expected %d", version, changes, got, expected)
		}
	}
	if got := w.members[0].call("PATCH", fmt.Sprint(changes-10), `{"generation":1}`, 2*time.Second).status; got != 412 {
		w.failf("a stale change got status %d, expected 412", got)
	}
}
