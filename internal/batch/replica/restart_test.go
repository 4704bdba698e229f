package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests processes that start again while a set isn't whole yet, followed by as many lost disks as may be.

// silence loses what a node sends to bring others up to its state.
func (c *cluster) silence(n *clusterNode) {
	c.lost = func(m clusterMessage) bool {
		_, replicates := m.body.(Replicate)
		return replicates && m.from.Node == n.process().Node
	}
}

// TestRestartWhileHandingOver has a store that is to be emptied start again before its successor's set is whole.
func TestRestartWhileHandingOver(t *testing.T) {
	Convey("A store that hands over keeps its copy until its successor's set is whole, also when it starts again", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		leaving, successor := c.owner("job"), c.replicaOf("job")
		leaving.state = protocol.StoreRetiring
		c.silence(successor)
		c.view(c.nodes...)
		c.settle()
		So(successor.machine.jobs["job"].owner, ShouldBeTrue)
		So(successor.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		leaving.kill()
		leaving.start()
		c.rejoin(leaving)
		c.settle()
		So(leaving.machine.jobs["job"], ShouldNotBeNil)
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
		So(c.newest.Settled, ShouldBeFalse)
		successor.wipe()
		successor.start()
		c.lost = nil
		c.view(c.nodes...)
		c.settle()
		_, status := c.others(leaving, successor)[0].readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestRestartOfAnOwner has an owner start again, and choose its set anew, after all stood whole.
func TestRestartOfAnOwner(t *testing.T) {
	Convey("What a former life told of standing whole counts no more", t, func() {
		c := newCluster(4, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.state = protocol.StoreRetiring // and stays in the sets, as too few others are left
		first := c.others(owner)[0]
		first.wipe()
		rest := c.others(first)
		c.view(rest...)
		c.settle()
		So(c.newest.Settled, ShouldBeTrue)
		owner.kill()
		owner.start()
		c.silence(owner)
		c.rejoin(owner)
		c.settle()
		again := c.others(owner, first)[0]
		again.kill()
		again.start()
		c.rejoin(again)
		c.settle()
		last := c.others(owner, first, again)[0]
		So(last.machine.jobs["job"], ShouldNotBeNil)
		for _, n := range []*clusterNode{owner, again} {
			n.wipe()
			n.start()
		}
		owner.state = protocol.StoreActive
		c.lost = nil
		c.view(rest...)
		c.settle()
		_, status := last.readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestObscuredAndAway has one of two copies on a store that is off, and the other in a log that can't name it any more.
func TestObscuredAndAway(t *testing.T) {
	Convey("Nobody says that there is none while the stores that may hold it are away or can't tell", t, func() {
		for _, noticesLost := range []bool{false, true} {
			c := newCluster(4, 2, 1)
			So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
			off, obscured := c.owner("job"), c.replicaOf("job")
			off.kill()
			obscured.kill()
			obscured.disk.Wipe()
			obscured.start()
			obscured.inject(job.AppendText([]byte{200}, "?"))
			So(obscured.machine.obscured, ShouldBeTrue)
			c.lost = func(m clusterMessage) bool {
				_, notice := m.body.(SettledNotice)
				return notice && noticesLost
			}
			c.view(c.others(off)...)
			c.settle()
			asked := c.others(off, obscured)[0]
			_, status := asked.readAnywhere("job")
			So(status, ShouldEqual, 503)
			off.start()
			c.lost = nil
			c.view(c.nodes...)
			c.settle()
			_, status = asked.readAnywhere("job")
			So(status, ShouldEqual, 200)
		}
	})
}
