package operatorapi

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestMajorityLost checks what docs/operate/control.md says of a control plane that has lost more than half
// of its voters: it accepts no change and answers nothing, for good if their disks are lost, else until one
// of them is back at its address with its disk.
func TestMajorityLost(t *testing.T) {
	for _, disks := range []bool{true, false} {
		t.Run(fmt.Sprintf("disks come back %t", disks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newClusterSimulation(t, 4, 3, bugNone)
				w.commit(1, 20, w.members...)
				left := w.members[2]
				for _, lost := range w.members[:2] {
					lost.end(true)
					if !disks {
						lost.disk.Wipe()
					}
				}
				w.checkUnavailable(left, 20*time.Second)
				if disks {
					w.members[0].start(false)
					time.Sleep(3 * time.Second)
					w.commit(21, 30, left)
				} else {
					w.members[0].start(false)
					w.members[1].start(false)
					w.checkUnavailable(left, 20*time.Second)
				}
				w.stop()
				for _, failure := range w.violations {
					t.Error(failure)
				}
			})
		})
	}
}

// checkUnavailable checks that a machine neither accepts nor returns anything for a while.
func (w *clusterSimulation) checkUnavailable(m *simulatedControl, span time.Duration) {
	change := largeChange(21)
	for end := w.now() + span; w.now() < end; {
		for _, got := range []callResult{
			m.call("GET", "", "", 5*time.Second),
			m.call("PATCH", fmt.Sprint(change.IfMatch), string(change.Body), 5*time.Second),
			m.call("PATCH", "3", `{"generation":4}`, 5*time.Second),
		} {
			if got.status != 503 && got.status != 504 {
				w.failf("%s answers %d without a majority: %s", m.ip, got.status, got.body)
			}
		}
	}
}
