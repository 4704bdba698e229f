package operatorapi

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestMajorityLost checks the behavior that docs/operate/control.md describes for a control plane that has lost more
// than half of its voters: it accepts no change and answers no read. If the voters' disks are lost this is permanent;
// otherwise it lasts until one of the voters is back at its address with its disk.
func TestMajorityLost(t *testing.T) {
	for _, disks := range []bool{true, false} {
		t.Run(fmt.Sprintf("disks come back %t", disks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newClusterSimulation(t, 4, 3, bugNone)
				w.commit(1, 20, w.members...)
				remaining := w.members[2]
				for _, lost := range w.members[:2] {
					lost.end(true)
					if !disks {
						lost.disk.Wipe()
					}
				}
				w.checkUnavailable(remaining, 20*time.Second)
				if disks {
					w.members[0].start(false)
					time.Sleep(3 * time.Second)
					w.commit(21, 30, remaining)
				} else {
					w.members[0].start(false)
					w.members[1].start(false)
					w.checkUnavailable(remaining, 20*time.Second)
				}
				w.stop()
				for _, failure := range w.violations {
					t.Error(failure)
				}
			})
		})
	}
}

// checkUnavailable checks that a machine answers all requests with 503 or 504 for the given time.
func (w *clusterSimulation) checkUnavailable(m *simulatedControl, span time.Duration) {
	change := largeChange(21)
	for end := w.now() + span; w.now() < end; {
		for _, got := range []callResult{
			m.call("GET", "", "", 5*time.Second),
			m.call("PATCH", fmt.Sprint(change.IfMatch), string(change.Body), 5*time.Second),
			m.call("PATCH", "3", `{"generation":4}`, 5*time.Second),
		} {
			if got.status != 503 && got.status != 504 {
				w.failf("%s answered %d without a majority, expected 503 or 504: %s", m.ip, got.status, got.body)
			}
		}
	}
}
