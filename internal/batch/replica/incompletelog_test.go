package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIncompleteLogAcceptsNothing restarts the owner of a batch job on a log in which the record of the batch job is
// corrupt, and submits the batch job there again before all stores have reconciled. The store must not accept it,
// although the arbiters' votes of the same epoch still name that store.
func TestIncompleteLogAcceptsNothing(t *testing.T) {
	Convey("A store that may hold a batch job without knowing doesn't accept it again", t, func() {
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
		c.drops = func(m clusterMessage) bool { // it gets no inventories of the others, and no store transfers to it
			_, inventory := m.body.(InventoryResponse)
			return inventory && m.to == owner.key()
		}
		c.rejoin(owner)
		c.round()
		So(owner.machine.incompleteLog, ShouldBeTrue) // it doesn't become complete by time alone
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
