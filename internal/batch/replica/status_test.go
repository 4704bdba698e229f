package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// TestStatus checks the stores and batch jobs for which a store reports that it waits.
func TestStatus(t *testing.T) {
	Convey("A store that hasn't reconciled names the stores and the batch jobs that it waits for", t, func() {
		c := newCluster(6, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		second := c.except(owner, replica)[0]
		So(replica.machine.Status(), ShouldResemble, Status{Epoch: 1, ReconciledEpoch: 1})
		for _, n := range c.nodes {
			n.losePower()
		}
		rest := c.except(owner, second)
		for _, n := range rest {
			n.start()
		}
		c.installView(rest...)
		status := replica.machine.Status()
		So(status.Reconciled(), ShouldBeFalse)
		So(status.AwaitedInventories, ShouldHaveLength, len(rest)-1)
		c.quiesce()
		status = replica.machine.Status()
		So(status.AwaitedInventories, ShouldBeEmpty)
		So(status.MissingStores, ShouldHaveLength, 2)
		So(status.MissingStores, ShouldContain, owner.key())
		So(status.MissingStores, ShouldContain, second.key())
		So(status.Unowned, ShouldEqual, 1)
		owner.start()
		c.installView(append([]*clusterNode{owner}, rest...)...)
		c.quiesce()
		So(replica.machine.Status(), ShouldResemble, Status{Epoch: c.epoch, ReconciledEpoch: c.epoch})
		So(owner.machine.Status().MissingStores, ShouldResemble, []placement.Key(nil))
	})
}
