package replica

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/control/liveness"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Processes that restart while a set isn't fully replicated yet, followed by as many lost disks as may be.

// dropReplication loses what a node sends to bring others up to its state.
func (c *cluster) dropReplication(n *clusterNode) {
	c.drops = func(m clusterMessage) bool {
		_, replicates := m.body.(ReplicationRequest)
		return replicates && m.from.Node == n.process().Node
	}
}

// TestRestartWhileHandingOver restarts a retiring store before its successor's set is fully replicated.
func TestRestartWhileHandingOver(t *testing.T) {
	Convey("A store that hands over keeps its copy until the new set is fully replicated, also if it restarts", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		leaving, successor := c.owner("job"), c.replicaOf("job")
		leaving.state = protocol.StoreRetiring
		c.dropReplication(successor)
		c.installView(c.nodes...)
		c.quiesce()
		So(successor.machine.jobs["job"].owned, ShouldBeTrue)
		So(successor.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		leaving.kill()
		leaving.start()
		c.rejoin(leaving)
		c.quiesce()
		So(leaving.machine.jobs["job"], ShouldNotBeNil)
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
		So(c.currentView.Settled, ShouldBeFalse)
		successor.wipe()
		successor.start()
		c.drops = nil
		c.installView(c.nodes...)
		c.quiesce()
		_, status := c.except(leaving, successor)[0].readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestRestartOfAnOwner restarts an owner, which chooses its set anew, after all have reconciled.
func TestRestartOfAnOwner(t *testing.T) {
	Convey("The ReconciledNotices of an earlier incarnation don't count", t, func() {
		c := newCluster(4, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.state = protocol.StoreRetiring // and stays in the sets, as too few others are left
		first := c.except(owner)[0]
		first.wipe()
		rest := c.except(first)
		c.installView(rest...)
		c.quiesce()
		So(c.currentView.Settled, ShouldBeTrue)
		owner.kill()
		owner.start()
		c.dropReplication(owner)
		c.rejoin(owner)
		c.quiesce()
		again := c.except(owner, first)[0]
		again.kill()
		again.start()
		c.rejoin(again)
		c.quiesce()
		last := c.except(owner, first, again)[0]
		So(last.machine.jobs["job"], ShouldNotBeNil)
		for _, n := range []*clusterNode{owner, again} {
			n.wipe()
			n.start()
		}
		owner.state = protocol.StoreActive
		c.drops = nil
		c.installView(rest...)
		c.quiesce()
		_, status := last.readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestIncompleteLogWhileOwnerAway has one of two copies on a store that is away, and the other in a log that
// can't name it any more.
func TestIncompleteLogWhileOwnerAway(t *testing.T) {
	Convey("No store denies it while the stores that may hold it are away or have incomplete logs", t, func() {
		for _, noticesLost := range []bool{false, true} {
			c := newCluster(4, 2, 1)
			So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
			off, obscured := c.owner("job"), c.replicaOf("job")
			off.kill()
			obscured.kill()
			obscured.disk.Wipe()
			obscured.start()
			obscured.injectRecords(job.AppendString([]byte{200}, "?"))
			So(obscured.machine.incompleteLog, ShouldBeTrue)
			c.drops = func(m clusterMessage) bool {
				_, notice := m.body.(ReconciledNotice)
				return notice && noticesLost
			}
			c.installView(c.except(off)...)
			c.quiesce()
			asked := c.except(off, obscured)[0]
			_, status := asked.readAnywhere("job")
			So(status, ShouldEqual, 503)
			off.start()
			c.drops = nil
			c.installView(c.nodes...)
			c.quiesce()
			_, status = asked.readAnywhere("job")
			So(status, ShouldEqual, 200)
		}
	})
}

// TestReportsOfDifferentMoments has control get a report of a successor from before it took over the batch
// job, and of the store that handed it over from after its restart.
func TestReportsOfDifferentMoments(t *testing.T) {
	Convey("All have reconciled only if nothing depends on what one of them has taken back since", t, func() {
		c := newCluster(8, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		c.quiesce()
		table := liveness.New()
		table.SetLeadership(c.now, 1, true)
		poll := func(nodes []*clusterNode) {
			for _, n := range nodes {
				report := n.machine.Report()
				table.Observe(liveness.Contact{Process: n.process(), Ready: true, Batch: &report, At: c.now})
			}
		}
		leaving := c.owner("job")
		var off []*clusterNode // the other two copies
		for _, n := range c.nodes {
			if n != leaving && n.machine.jobs["job"] != nil {
				off = append(off, n)
				n.kill()
			}
		}
		leaving.state = protocol.StoreRetiring
		rest := c.except(off...)
		c.drops = func(m clusterMessage) bool { // the copy comes later
			replicate, is := m.body.(ReplicationRequest)
			return is && replicate.Content != nil
		}
		c.installView(rest...)
		for range 4 {
			c.deliverAll()
			c.now += 100 * time.Millisecond
		}
		handing := leaving.machine.jobs["job"].handoverReplicas[0]
		successor := c.nodes[slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.process() == handing })]
		So(successor.machine.Report().Settled, ShouldEqual, c.epoch)
		poll(rest)
		c.dropReplication(successor)
		c.now += 700 * time.Millisecond
		leaving.machine.Tick()
		c.deliverAll()
		So(successor.machine.jobs["job"].owned, ShouldBeTrue)
		leaving.kill()
		leaving.start()
		c.rejoin(leaving)
		for range 3 {
			c.deliverAll()
			c.now += 300 * time.Millisecond
			for _, n := range rest {
				n.machine.Tick()
			}
		}
		poll(c.except(append(off, successor)...)) // the successor's polls don't come through
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
		So(table.Reconciled(c.now, c.currentView, 2), ShouldBeFalse)
		c.drops = nil
		c.quiesce()
		So(c.currentView.Settled, ShouldBeTrue)
		So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
	})
	Convey("A store that transfers a batch job to a better copy waits until that is fully replicated, too", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.quiesce()
		owner.injectRecords(resultAfterGap("job", 3, 3))
		c.dropReplication(replica)
		c.rejoin(owner)
		c.quiesce()
		So(replica.machine.jobs["job"].owned, ShouldBeTrue)
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		So(owner.machine.Status().Transferring, ShouldEqual, 1)
		c.drops = nil
		c.quiesce()
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
		So(owner.machine.Status().Transferring, ShouldEqual, 0)
	})
}

// TestOwnershipTransferPending transfers a batch job to a store with a better copy, whose disk is slow.
func TestOwnershipTransferPending(t *testing.T) {
	// given has the owner transfer a batch job to the replica, which doesn't get the message.
	given := func() (owner, replica *clusterNode) {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		owner, replica = c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.quiesce()
		owner.injectRecords(resultAfterGap("job", 3, 3))
		c.drops = func(m clusterMessage) bool {
			_, concede := m.body.(OwnershipTransfer)
			return concede
		}
		c.rejoin(owner)
		c.quiesce()
		So(owner.machine.transfers, ShouldHaveLength, 1)
		return owner, replica
	}
	Convey("It isn't rejected if the new owner has yet to write the version that it chose", t, func() {
		owner, replica := given()
		version := owner.machine.transfers["job"].version
		owner.machine.handleReplicationResponse(replica.key(), ReplicationResponse{Job: "job", Version: version + 1})
		So(owner.machine.transfers, ShouldHaveLength, 1)
		So(owner.machine.Report().Settled, ShouldBeLessThan, owner.machine.Epoch())
		owner.machine.handleReplicationResponse(replica.key(), ReplicationResponse{Job: "job", Version: version})
		So(owner.machine.reconciled, ShouldBeFalse) // it matches inventories anew
	})
	Convey("It ends if the batch job falls to this store again", t, func() {
		owner, _ := given()
		j := owner.machine.jobs["job"]
		j.corrupt = false
		owner.machine.takeOwnership(j)
		So(owner.machine.transfers, ShouldBeEmpty)
		owner.cluster.now += time.Second
		owner.machine.Tick()
		So(j.owned, ShouldBeTrue)
	})
}
