package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIncompleteLogAcceptsNothing restarts the owner of a batch job on a log whose record of it is corrupt, and
// submits the batch job again there before all have reconciled: in the same epoch the arbiters' votes still name
// that store.
func TestIncompleteLogAcceptsNothing(t *testing.T) {
	Convey("A store that may hold a batch job without knowing doesn't accept it anew", t, func() {
		c := newCluster(6, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.finish("job", 0, 1)
		c.quiesce()
		owner.kill()
		So(owner.disk.FlipBit("segment-00000001", 60, 0), ShouldBeTrue)
		owner.start()
		So(owner.machine.incompleteLog, ShouldBeTrue)
		So(owner.machine.jobs["job"], ShouldBeNil)
		c.drops = func(m clusterMessage) bool { // it stays without the others' inventories, and nobody transfers to it
			_, inventory := m.body.(InventoryResponse)
			return inventory && m.to == owner.key()
		}
		c.rejoin(owner)
		c.round()
		So(owner.machine.incompleteLog, ShouldBeTrue) // time alone doesn't complete it
		answer := owner.submit("job", 2)
		So(answer.Status, ShouldNotEqual, 202)
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(owner.machine.acceptances, ShouldBeEmpty)
		c.drops = nil
		c.quiesce()
		texts, status := owner.readAnywhere("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0", "1"})
	})
}
