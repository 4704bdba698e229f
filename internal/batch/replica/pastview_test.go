package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

// What a view of the past may do to a store that has just started, when a control process that lags behind
// hands it out.

// viewHistory is a cluster of three copies whose set has changed a few times, and that has lost power
// everywhere and two disks for good.
type viewHistory struct {
	*cluster
	views []protocol.StoreView // by epoch, from 1 on
	jobs  []string
}

// newViewHistory retires a store and has one come back with an empty disk, each reconciled before the next,
// then submits batch jobs; last, the first two stores lose their disks and all others lose power.
func newViewHistory(seed uint64) *viewHistory {
	stored := &viewHistory{cluster: newCluster(9, 3, seed)}
	stored.noteView()
	stored.quiesce()
	stored.changeMembers(stored.nodes[:8]...)
	stored.nodes[7].wipe()
	stored.nodes[7].start()
	stored.changeMembers(stored.nodes[:7]...)
	stored.changeMembers(stored.nodes[:8]...)
	for i := range 24 {
		id := fmt.Sprint("job-", i)
		stored.jobs = append(stored.jobs, id)
		So(stored.nodes[i%8].submit(id, 2).Status, ShouldEqual, 202)
	}
	for i, n := range stored.nodes[:8] {
		if i < 2 {
			n.wipe()
		} else {
			n.losePower()
		}
	}
	for _, n := range stored.nodes[:8] {
		n.start()
	}
	return stored
}

// noteView remembers the newest view.
func (stored *viewHistory) noteView() {
	stored.views = append(stored.views, stored.nodes[0].machine.CurrentView())
}

// changeMembers makes a set of stores the newest view, in which all reconcile.
func (stored *viewHistory) changeMembers(members ...*clusterNode) {
	stored.installView(members...)
	stored.quiesce()
	stored.noteView()
	for _, n := range members {
		So(n.machine.Status().Reconciled(), ShouldBeTrue)
	}
}

// installOldView hands a store a view that was in force once.
func (stored *viewHistory) installOldView(n *clusterNode, epoch uint64) {
	n.machine.InstallView(stored.views[epoch-1])
}

// rejoinAll tells all that ran before of the view that they are in, and then all of the one that the empty
// disks join.
func (stored *viewHistory) rejoinAll() {
	for _, n := range stored.nodes[2:8] {
		stored.installOldView(n, stored.epoch)
	}
	stored.quiesce()
	stored.installView(stored.nodes[:8]...)
	stored.quiesce()
}

// check checks that all batch jobs are there and all stores have reconciled.
func (stored *viewHistory) check() {
	for _, n := range stored.nodes[:8] {
		So(n.machine.Status(), ShouldResemble, Status{Epoch: stored.epoch, ReconciledEpoch: stored.epoch})
	}
	for _, id := range stored.jobs {
		_, status := stored.nodes[3].readAnywhere(id)
		So(status, ShouldEqual, 200)
	}
}

// TestPastViewIsIgnored hands stores that lost power a view that ended before they did.
func TestPastViewIsIgnored(t *testing.T) {
	Convey("All batch jobs are there after a loss of power with two disks", t, func() {
		stored := newViewHistory(1)
		stored.rejoinAll()
		stored.check()
	})
	for ended := uint64(1); ended <= 3; ended++ {
		Convey(fmt.Sprintf("So they are if stores get the view of epoch %d first, which ended long ago", ended), t, func() {
			for _, stores := range [][]int{{3}, {2, 3, 4}, {2, 3, 4, 5, 6, 7}} {
				stored := newViewHistory(1)
				for _, number := range stores {
					stored.installOldView(stored.nodes[number], ended)
				}
				stored.deliverAll()
				stored.rejoinAll()
				stored.check()
			}
		})
	}
	Convey("Nor does a store act in it, nor forget which one it acted in", t, func() {
		stored := newViewHistory(1)
		n := stored.nodes[3]
		stored.installOldView(n, 3)
		stored.deliverAll()
		So(n.machine.Epoch(), ShouldEqual, 0)
		So(n.machine.ActedIn(), ShouldEqual, stored.epoch)
		n.kill()
		n.start()
		So(n.machine.ActedIn(), ShouldEqual, stored.epoch)
	})
}

// TestGrantOfALaterView grants a lease to a store that was out of the set before it hears of the view that it
// is in again.
func TestGrantOfALaterView(t *testing.T) {
	Convey("A lease of a later view than the one known here gives no right to act", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
		owner := c.owner("job")
		rest := c.except(owner)
		owner.machine.GrantLease(c.epoch, false, 0)
		c.drops = func(m clusterMessage) bool { return m.to == owner.key() || m.from.Node == owner.process().Node }
		c.installView(rest...)
		c.quiesce()
		now := rest[0]
		if !now.machine.jobs["job"].owned {
			now = rest[1]
		}
		end := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "job", Tenant: "t"}
		So(now.call(end, nil).Status, ShouldEqual, 200)
		owner.machine.GrantLease(c.epoch+1, true, c.now+time.Second)
		So(owner.machine.MayAct(), ShouldBeFalse)
		So(owner.machine.MayRun("job", 0), ShouldBeFalse)
		c.drops = nil
		c.installView(c.nodes...)
		So(owner.machine.MayAct(), ShouldBeTrue)
		So(owner.machine.MayRun("job", 0), ShouldBeFalse)
	})
}
