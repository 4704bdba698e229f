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

// This file tests processes that restart while a set isn't fully replicated yet, followed by the loss of as many disks
// as may be lost.

// dropReplication drops the ReplicationRequests of a node.
func (c *cluster) dropReplication(n *clusterNode) {
	c.drops = func(m clusterMessage) bool {
		_, replicates := m.body.(ReplicationRequest)
		return replicates && m.from.Node == n.process().Node
	}
}

// TestRestartWhileHandingOver restarts a retiring store before its successor's set is fully replicated.
func TestRestartWhileHandingOver(t *testing.T) {
	Convey("A store that hands over keeps its copy until the new set is fully replicated, even if it restarts", t, func() {
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

// TestRestartOfAnOwner restarts an owner, which then chooses a new replica set, after all stores have reconciled.
func TestRestartOfAnOwner(t *testing.T) {
	Convey("The ReconciledNotices of an earlier incarnation don't count", t, func() {
		c := newCluster(4, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.state = protocol.StoreRetiring // it stays in the replica sets, as too few other stores remain
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

// TestIncompleteLogWhileOwnerAway has one of two copies of a batch job on a store that is absent, and the other in a
// log that can't name it any more.
func TestIncompleteLogWhileOwnerAway(t *testing.T) {
	Convey("No store answers 404 while the stores that may hold it are absent or have incomplete logs", t, func() {
		for _, noticesLost := range []bool{false, true} {
			c := newCluster(4, 2, 1)
			So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
			absent, incomplete := c.owner("job"), c.replicaOf("job")
			absent.kill()
			incomplete.kill()
			incomplete.disk.Wipe()
			incomplete.start()
			incomplete.injectRecords(job.AppendString([]byte{200}, "?"))
			So(incomplete.machine.incompleteLog, ShouldBeTrue)
			c.drops = func(m clusterMessage) bool {
				_, notice := m.body.(ReconciledNotice)
				return notice && noticesLost
			}
			c.installView(c.except(absent)...)
			c.quiesce()
			asked := c.except(absent, incomplete)[0]
			_, status := asked.readAnywhere("job")
			So(status, ShouldEqual, 503)
			absent.start()
			c.drops = nil
			c.installView(c.nodes...)
			c.quiesce()
			_, status = asked.readAnywhere("job")
			So(status, ShouldEqual, 200)
		}
	})
}

// TestReportsOfDifferentTimes sends control a successor's report from before it took over the batch job, and the
// report of the store that handed the batch job over from after that store's restart.
func TestReportsOfDifferentTimes(t *testing.T) {
	Convey("Control doesn't conclude from an outdated report that all members have reconciled", t, func() {
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
		var absent []*clusterNode // the stores of the other two copies
		for _, n := range c.nodes {
			if n != leaving && n.machine.jobs["job"] != nil {
				absent = append(absent, n)
				n.kill()
			}
		}
		leaving.state = protocol.StoreRetiring
		rest := c.except(absent...)
		c.drops = func(m clusterMessage) bool { // the copy is delivered later
			replicate, is := m.body.(ReplicationRequest)
			return is && replicate.Content != nil
		}
		c.installView(rest...)
		for range 4 {
			c.deliverAll()
			c.now += 100 * time.Millisecond
		}
		successorProcess := leaving.machine.jobs["job"].handoverReplicas[0]
		successor := c.nodes[slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.process() == successorProcess })]
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
		poll(c.except(append(absent, successor)...)) // the successor's polls are lost
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
		So(table.Reconciled(c.now, c.currentView, 2), ShouldBeFalse)
		c.drops = nil
		c.quiesce()
		So(c.currentView.Settled, ShouldBeTrue)
		So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
	})
	Convey("A store that transfers a batch job to a better copy also waits until it is fully replicated", t, func() {
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
	// pendingTransfer returns an owner that transfers a batch job to the replica, which doesn't receive the message.
	pendingTransfer := func() (owner, replica *clusterNode) {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		owner, replica = c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.quiesce()
		owner.injectRecords(resultAfterGap("job", 3, 3))
		c.drops = func(m clusterMessage) bool {
			_, isTransfer := m.body.(OwnershipTransfer)
			return isTransfer
		}
		c.rejoin(owner)
		c.quiesce()
		So(owner.machine.transfers, ShouldHaveLength, 1)
		return owner, replica
	}
	Convey("The transfer isn't rejected if the new owner has yet to write the version that it chose", t, func() {
		owner, replica := pendingTransfer()
		version := owner.machine.transfers["job"].version
		owner.machine.handleReplicationResponse(replica.key(), ReplicationResponse{Job: "job", Version: version + 1})
		So(owner.machine.transfers, ShouldHaveLength, 1)
		So(owner.machine.Report().Settled, ShouldBeLessThan, owner.machine.Epoch())
		owner.machine.handleReplicationResponse(replica.key(), ReplicationResponse{Job: "job", Version: version})
		So(owner.machine.reconciled, ShouldBeFalse) // it requests inventories again
	})
	Convey("The transfer ends if this store becomes the owner of the batch job", t, func() {
		owner, _ := pendingTransfer()
		j := owner.machine.jobs["job"]
		j.corrupt = false
		owner.machine.takeOwnership(j)
		So(owner.machine.transfers, ShouldBeEmpty)
		owner.cluster.now += time.Second
		owner.machine.Tick()
		So(j.owned, ShouldBeTrue)
	})
}
