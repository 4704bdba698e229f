package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests the effect of an earlier view on a store that has just started. A control process that lags behind
// may send such a view.

// viewHistory is a cluster with three copies of each batch job. Its set of stores has changed several times, and then
// all stores lost power, two of them their disks.
type viewHistory struct {
	*cluster
	views []protocol.StoreView // by epoch, from 1 on
	jobs  []string
}

// newViewHistory removes a store, then another one, which returns with an empty disk; all stores reconcile after each
// change. Then it submits batch jobs. Finally the first two stores lose their disks, and all others lose power.
func newViewHistory(seed uint64) *viewHistory {
	h := &viewHistory{cluster: newCluster(9, 3, seed)}
	h.noteView()
	h.quiesce()
	h.changeMembers(h.nodes[:8]...)
	h.nodes[7].wipe()
	h.nodes[7].start()
	h.changeMembers(h.nodes[:7]...)
	h.changeMembers(h.nodes[:8]...)
	for i := range 24 {
		id := fmt.Sprint("job-", i)
		h.jobs = append(h.jobs, id)
		So(h.nodes[i%8].submit(id, 2).Status, ShouldEqual, 202)
	}
	for i, n := range h.nodes[:8] {
		if i < 2 {
			n.wipe()
		} else {
			n.losePower()
		}
	}
	for _, n := range h.nodes[:8] {
		n.start()
	}
	return h
}

// noteView records the newest view.
func (h *viewHistory) noteView() {
	h.views = append(h.views, h.nodes[0].machine.CurrentView())
}

// changeMembers makes a set of stores the newest view, and waits until all of them have reconciled.
func (h *viewHistory) changeMembers(members ...*clusterNode) {
	h.installView(members...)
	h.quiesce()
	h.noteView()
	for _, n := range members {
		So(n.machine.Status().Reconciled(), ShouldBeTrue)
	}
}

// installOldView sends a store the view of an epoch of the history.
func (h *viewHistory) installOldView(n *clusterNode, epoch uint64) {
	n.machine.InstallView(h.views[epoch-1])
}

// rejoinAll installs the newest view at all stores that kept their disks, and then a view that includes those with
// empty disks at all stores.
func (h *viewHistory) rejoinAll() {
	for _, n := range h.nodes[2:8] {
		h.installOldView(n, h.epoch)
	}
	h.quiesce()
	h.installView(h.nodes[:8]...)
	h.quiesce()
}

// check checks that all stores have reconciled and all batch jobs can be read.
func (h *viewHistory) check() {
	for _, n := range h.nodes[:8] {
		So(n.machine.Status(), ShouldResemble, Status{Epoch: h.epoch, ReconciledEpoch: h.epoch})
	}
	for _, id := range h.jobs {
		_, status := h.nodes[3].readAnywhere(id)
		So(status, ShouldEqual, 200)
	}
}

// TestPastViewIsIgnored sends stores that lost power a view that had ended before the loss.
func TestPastViewIsIgnored(t *testing.T) {
	Convey("All batch jobs can be read after a loss of power and of two disks", t, func() {
		h := newViewHistory(1)
		h.rejoinAll()
		h.check()
	})
	for ended := uint64(1); ended <= 3; ended++ {
		Convey(fmt.Sprintf("Also if stores first get the view of epoch %d, which has ended", ended), t, func() {
			for _, stores := range [][]int{{3}, {2, 3, 4}, {2, 3, 4, 5, 6, 7}} {
				h := newViewHistory(1)
				for _, number := range stores {
					h.installOldView(h.nodes[number], ended)
				}
				h.deliverAll()
				h.rejoinAll()
				h.check()
			}
		})
	}
	Convey("A store doesn't act in an ended view, and doesn't forget in which view it acted", t, func() {
		h := newViewHistory(1)
		n := h.nodes[3]
		h.installOldView(n, 3)
		h.deliverAll()
		So(n.machine.Epoch(), ShouldEqual, 0)
		So(n.machine.ActedIn(), ShouldEqual, h.epoch)
		n.kill()
		n.start()
		So(n.machine.ActedIn(), ShouldEqual, h.epoch)
	})
}

// TestGrantOfALaterView grants a lease to a store that was out of the set, before the store receives the view in
// which it is a member again.
func TestGrantOfALaterView(t *testing.T) {
	Convey("A lease for a later view than the one known here doesn't allow a store to act", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
		owner := c.owner("job")
		rest := c.except(owner)
		owner.machine.GrantLease(c.epoch, false, 0)
		c.drops = func(m clusterMessage) bool { return m.to == owner.key() || m.from.Node == owner.process().Node }
		c.installView(rest...)
		c.quiesce()
		newOwner := rest[0]
		if !newOwner.machine.jobs["job"].owned {
			newOwner = rest[1]
		}
		end := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "job", Tenant: "t"}
		So(newOwner.call(end, nil).Status, ShouldEqual, 200)
		owner.machine.GrantLease(c.epoch+1, true, c.now+time.Second)
		So(owner.machine.MayAct(), ShouldBeFalse)
		So(owner.machine.MayRun("job", 0), ShouldBeFalse)
		c.drops = nil
		c.installView(c.nodes...)
		So(owner.machine.MayAct(), ShouldBeTrue)
		So(owner.machine.MayRun("job", 0), ShouldBeFalse)
	})
}
