package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/protocol"
)

// failuresAt returns the failures of an item as a node reports them to its runner.
func failuresAt(n *clusterNode, id string, index int) Failures {
	work, ok := n.machine.Work(id)
	So(ok, ShouldBeTrue)
	for _, item := range work.Items {
		if item.Index == index {
			return item.Failures
		}
	}
	return Failures{}
}

// TestFailuresOutliveOwners records failures of items, and then changes the owner of their batch job.
func TestFailuresOutliveOwners(t *testing.T) {
	Convey("Failures that an owner has sent to its replicas", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 3).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.machine.RecordFailures("job", 1, Failures{Count: 1})
		owner.machine.RecordFailures("job", 1, Failures{Count: 2})
		owner.machine.RecordFailures("job", 2, Failures{Unprocessable: true})
		owner.finish("job", 0)
		c.quiesce()
		check := func(n *clusterNode) {
			So(failuresAt(n, "job", 0), ShouldResemble, Failures{}) // it is finished
			So(failuresAt(n, "job", 1), ShouldResemble, Failures{Count: 2})
			So(failuresAt(n, "job", 2), ShouldResemble, Failures{Unprocessable: true})
		}

		Convey("are known to the next owner, and to the one after it", func() {
			owner.kill()
			c.installView(c.except(owner)...)
			c.quiesce()
			So(c.owner("job"), ShouldEqual, replica)
			check(replica)
			next := c.replicaOf("job")
			replica.wipe()
			c.installView(c.except(owner, replica)...)
			c.quiesce()
			So(c.owner("job"), ShouldEqual, next)
			check(next)
		})
		Convey("are known to the owner after a restart of its process", func() {
			owner.kill()
			owner.start()
			c.rejoin(owner)
			c.quiesce()
			So(c.owner("job"), ShouldEqual, owner)
			check(owner)
		})
		Convey("are handed over with the batch job", func() {
			owner.state = protocol.StoreRetiring
			c.installView(c.nodes...)
			c.quiesce()
			So(c.owner("job"), ShouldNotEqual, owner)
			check(c.owner("job"))
		})
		Convey("never decrease, even if a lower count is recorded later", func() {
			owner.machine.RecordFailures("job", 1, Failures{Count: 1})
			c.quiesce()
			check(owner)
		})
	})
}
