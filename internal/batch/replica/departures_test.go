package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What is answered while stores are missing, and what becomes of superseded copies.

// except returns the nodes that are none of these.
func (c *cluster) except(nodes ...*clusterNode) []*clusterNode {
	var list []*clusterNode
	for _, n := range c.nodes {
		if !slices.Contains(nodes, n) {
			list = append(list, n)
		}
	}
	return list
}

// TestNotAcceptedWhileMissing submits a batch job again while all stores that hold it are away.
func TestNotAcceptedWhileMissing(t *testing.T) {
	Convey("A batch job isn't accepted again while its copies may be on stores that are missing", t, func() {
		c := newCluster(5, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0, 1)
		c.quiesce()
		rest := c.except(owner, replica)
		for _, n := range c.nodes { // all lose power, and these two come back late
			n.losePower()
		}
		for _, n := range rest {
			n.start()
		}
		c.installView(rest...)
		c.quiesce()
		rest[0].machine.Call(77, protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: "t"}, nil)
		So(rest[0].answers[77].Status, ShouldEqual, 503)      // at once
		So(rest[1].submit("new", 4).Status, ShouldEqual, 503) // it can't be told apart
		c.messages = nil
		for _, n := range rest { // whichever store asks: one may have forgotten who is missing
			n.machine.Receive(rest[0].process(), ReservationRequest{Stamp: n.machine.stamp(), Job: "job", Number: 1})
		}
		So(c.messages, ShouldBeEmpty)
		rest[0].machine.acceptances["job"] = &acceptance{
			attempt: 1, votes: map[placement.Key]ReservationResponse{}, deadline: time.Hour,
		}
		rest[0].machine.requestReservations("job", rest[0].machine.acceptances["job"])
		So(rest[0].machine.acceptances["job"].votes, ShouldBeEmpty)
		delete(rest[0].machine.acceptances, "job")
		owner.start()
		c.installView(append(rest, owner)...)
		c.quiesce()
		So(rest[0].submit("new", 4).Status, ShouldEqual, 202)
		texts, status := rest[0].readAnywhere("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0", "1"})
	})
	Convey("Nor where one of two that hold it is there and may not own it yet", t, func() {
		c := newCluster(6, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0, 1)
		c.quiesce()
		rest := c.except(owner)
		second := c.except(owner, replica)[0]
		for _, n := range c.nodes {
			n.losePower()
		}
		for _, n := range c.nodes {
			if n != owner && n != second {
				n.start()
			}
		}
		c.installView(c.except(owner, second)...)
		c.quiesce()
		for _, n := range c.except(owner, second) {
			answer := n.submit("job", 4)
			So(answer.Status, ShouldNotEqual, 202)
			So(answer.Owner, ShouldBeIn, "", replica.process().IP)
			So(n.machine.Report().Settled, ShouldBeLessThan, c.epoch) // a batch job is on one disk only
		}
		second.start()
		c.installView(rest...)
		c.quiesce()
		texts, status := rest[0].readAnywhere("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0", "1"})
		So(rest[0].machine.Report().Settled, ShouldEqual, c.epoch)
	})
}

// TestSupersededReplica has a store come back with a copy after it was replaced.
func TestSupersededReplica(t *testing.T) {
	Convey("A superseded copy is dropped once all have reconciled, and can't outlive the batch job", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		c.installView(c.except(replica)...)
		c.quiesce()
		third := c.except(owner, replica)[0]
		So(third.machine.jobs["job"].version, ShouldEqual, owner.machine.jobs["job"].version)
		So(replica.machine.jobs["job"].version, ShouldBeLessThan, owner.machine.jobs["job"].version)
		c.installView(c.nodes...)
		So(replica.machine.jobs["job"], ShouldNotBeNil) // it is there until all have reconciled
		c.quiesce()
		So(replica.machine.jobs["job"], ShouldBeNil)
		replica.kill()
		replica.start()
		So(replica.machine.jobs["job"], ShouldBeNil) // the log doesn't bring it back
		So(owner.machine.jobs["job"], ShouldNotBeNil)
		So(third.machine.jobs["job"], ShouldNotBeNil)
	})
}

// TestExpiredWhileUnderReplicated lets a batch job expire that couldn't be fully replicated.
func TestExpiredWhileUnderReplicated(t *testing.T) {
	Convey("A store reconciles once what wasn't fully replicated is dropped", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.quiesce()
		c.now += 59 * time.Minute
		replica.kill()
		c.installView(owner)
		c.quiesce()
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		c.now += 2 * time.Minute // it has expired, departed stores have not
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
	})
}

// newSupersededReplica restarts a store that was away while its batch job was closed without it; it has seen
// no view yet.
func newSupersededReplica() (c *cluster, owner, replica *clusterNode) {
	c = newCluster(3, 2, 1)
	So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
	owner, replica = c.owner("job"), c.replicaOf("job")
	replica.kill()
	c.installView(c.except(replica)...)
	c.quiesce()
	owner.finish("job", 0)
	c.quiesce()
	replica.start()
	return c, owner, replica
}

// TestExpiredAtOwner has a superseded copy of a batch job that its owner has dropped since.
func TestExpiredAtOwner(t *testing.T) {
	Convey("A superseded copy is dropped with the batch job, also if it doesn't know that it was closed", t, func() {
		c, owner, replica := newSupersededReplica()
		c.drops = func(m clusterMessage) bool {
			_, told := m.body.(ReplicationResponse)
			return told && m.to == replica.key()
		}
		c.installView(c.nodes...)
		c.quiesce()
		So(replica.machine.jobs["job"].awaitsRelease(), ShouldBeTrue)
		So(replica.machine.Status().Reconciled(), ShouldBeFalse)
		So(replica.machine.Status().Superseded, ShouldEqual, 1)
		c.now += time.Hour
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(replica.machine.jobs["job"], ShouldNotBeNil)
		c.drops = nil
		c.quiesce()
		So(replica.machine.jobs["job"], ShouldBeNil)
		So(replica.machine.Status().Reconciled(), ShouldBeTrue)
	})
}

// TestSupersededReplicaExpires has a releasable copy stay, as not all have reported that they reconciled,
// until the batch job expires.
func TestSupersededReplicaExpires(t *testing.T) {
	Convey("A superseded copy doesn't outlive the batch job", t, func() {
		c, owner, replica := newSupersededReplica()
		c.drops = func(m clusterMessage) bool {
			_, notice := m.body.(ReconciledNotice)
			return notice && m.to == replica.key()
		}
		c.installView(c.nodes...)
		c.quiesce()
		So(replica.machine.jobs["job"].releasable, ShouldBeTrue)
		c.now += time.Hour
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(replica.machine.jobs["job"], ShouldBeNil)
	})
}

// TestEmptyDisk has a store with an empty disk be the first to come back.
func TestEmptyDisk(t *testing.T) {
	Convey("A store whose disk was lost denies nothing while as many are missing as there are replicas", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		rest := c.except(owner, replica)
		for _, n := range c.nodes {
			n.losePower()
		}
		owner.wipe()
		owner.start()
		c.installView(owner)
		c.quiesce()
		denies := func(n *clusterNode) bool {
			_, status := n.read("job")
			So(status, ShouldBeIn, 404, 503)
			return status == 404
		}
		So(denies(owner), ShouldBeFalse)
		So(owner.machine.tooManyDeparted(), ShouldBeTrue)
		owner.kill() // nor after another restart
		owner.start()
		c.installView(owner)
		c.quiesce()
		So(denies(owner), ShouldBeFalse)
		rest[0].start()
		c.installView(owner, rest[0])
		c.quiesce()
		for _, n := range []*clusterNode{owner, rest[0]} { // its former disk is missing, too
			So(n.machine.departures.stores, ShouldHaveLength, 3)
			So(n.machine.departures.countDeparted(), ShouldEqual, 3)
		}
		So(denies(owner) || denies(rest[0]), ShouldBeFalse)
		replica.start()
		rest[1].start()
		c.installView(c.nodes...)
		c.quiesce()
		_, status := owner.readAnywhere("job")
		So(status, ShouldEqual, 200)
		_, status = owner.read("no-such-job")
		So(status, ShouldEqual, 404)
	})
	Convey("It denies nothing for as long as batch jobs are kept where all copies were lost", t, func() {
		c := newCluster(1, 1, 1)
		n := c.nodes[0]
		n.wipe()
		n.start()
		c.installView(n)
		c.quiesce()
		_, status := n.read("no-such-job")
		So(status, ShouldEqual, 503)
		c.now += time.Hour
		c.quiesce()
		_, status = n.read("no-such-job")
		So(status, ShouldEqual, 404)
	})
}

// TestMissedReconciledNotice has one store miss that all have reconciled, right before the next loss.
func TestMissedReconciledNotice(t *testing.T) {
	Convey("A store that missed a reconciled view misses no store that departed before it", t, func() {
		c := newCluster(5, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		first := c.except(owner, replica)[0]
		first.kill()
		c.uninformed = func(n *clusterNode) bool { return n == replica }
		c.installView(c.except(first)...)
		replica.machine.InstallView(c.currentView)
		replica.machine.GrantLease(c.epoch, true, time.Hour)
		c.quiesce()
		So(owner.machine.departures.stores, ShouldBeEmpty)
		So(replica.machine.departures.stores, ShouldHaveLength, 1)
		c.uninformed = nil
		owner.kill() // the next loss
		c.installView(c.except(first, owner)...)
		So(replica.machine.departures.missingStores(), ShouldResemble, []placement.Key{owner.key()})
		c.quiesce()
		So(c.owner("job") == replica, ShouldBeTrue)
		_, status := replica.read("job")
		So(status, ShouldEqual, 200)
		So(replica.machine.Report().Settled, ShouldEqual, c.epoch)
	})
	Convey("Nor does one that loses power with all others right then, and two disks after it", t, func() {
		c := newCluster(9, 3, 1)
		first := c.nodes[8]
		first.wipe()
		first.start()
		c.uninformed = func(n *clusterNode) bool { return n == c.nodes[3] }
		c.installView(c.nodes...)
		c.nodes[3].machine.InstallView(c.currentView)
		c.nodes[3].machine.GrantLease(c.epoch, true, time.Hour)
		c.quiesce()
		c.uninformed = nil
		So(c.currentView.Settled, ShouldBeTrue)
		So(c.nodes[3].machine.departures.stores, ShouldHaveLength, 1)
		var ids []string
		for i := range 20 {
			ids = append(ids, fmt.Sprint("job-", i))
			So(c.nodes[i%8].submit(ids[i], 2).Status, ShouldEqual, 202)
		}
		for i, n := range c.nodes {
			n.losePower()
			if i < 2 {
				n.wipe()
			}
			n.start()
		}
		c.installView(c.nodes...)
		c.quiesce()
		for _, n := range c.nodes {
			So(n.machine.Status(), ShouldResemble, Status{Epoch: c.epoch, ReconciledEpoch: c.epoch})
		}
		for _, id := range ids {
			_, status := c.nodes[2].readAnywhere(id)
			So(status, ShouldEqual, 200)
		}
	})
}

// TestMissedViews has a store miss some views.
func TestMissedViews(t *testing.T) {
	Convey("A store misses all that departed in views that it didn't see, also those that joined in them", t, func() {
		for copies := 2; copies <= 3; copies++ {
			c := newCluster(2*copies, copies, 1)
			replaced := c.nodes[:copies]
			away := c.nodes[copies:]
			for _, n := range replaced { // until only the nodes of away are members
				n.kill()
			}
			c.installView(away...)
			c.quiesce()
			for _, n := range away[1:] {
				n.losePower()
			}
			for _, n := range replaced {
				n.wipe()
				n.start()
			}
			c.installView(append(replaced, away[0])...)
			c.quiesce()
			for _, n := range append(replaced, away[0]) {
				n.losePower()
			}
			for _, n := range away[1:] {
				n.start()
			}
			c.installView(away[1:]...)
			c.quiesce()
			for _, n := range away[1:] {
				So(n.machine.departures.countDeparted(), ShouldEqual, copies+1)
				_, status := n.read("no-such-job")
				So(status, ShouldEqual, 503)
			}
		}
	})
	Convey("Two disks of one machine count as one", t, func() {
		c := newCluster(5, 3, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		c.quiesce()
		twice := c.except(c.owner("job"))[0]
		for range 2 {
			twice.wipe()
			twice.start()
			c.installView(c.nodes...)
		}
		second := c.except(c.owner("job"), twice)[0]
		second.wipe()
		second.start()
		c.installView(c.nodes...)
		n := c.except(twice, second)[0]
		So(n.machine.departures.stores, ShouldHaveLength, 3)
		So(n.machine.departures.countDeparted(), ShouldEqual, 2)
		c.quiesce()
		for _, n := range c.nodes {
			So(n.machine.Status(), ShouldResemble, Status{Epoch: c.epoch, ReconciledEpoch: c.epoch})
		}
		_, status := n.readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestMissingNoMore has a store wait for others that may hold a newer version, until it needn't.
func TestMissingNoMore(t *testing.T) {
	// waiting has a store with the one copy that is there wait, as two machines of two copies are missing.
	waiting := func() (*cluster, *clusterNode) {
		c := newCluster(6, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		second := c.except(owner, replica)[0]
		owner.kill()
		second.kill()
		c.installView(c.except(owner, second)...)
		c.quiesce()
		So(replica.machine.Status().Unowned, ShouldEqual, 1)
		return c, replica
	}
	Convey("It owns what it has once they have been missing for as long as batch jobs are kept", t, func() {
		c, replica := waiting()
		c.now += time.Hour + time.Minute
		c.quiesce()
		So(replica.machine.Status().Reconciled(), ShouldBeTrue)
		So(replica.machine.jobs["job"].owned, ShouldBeTrue)
	})
	Convey("And once control has agreed that all have reconciled without them", t, func() {
		c, replica := waiting()
		c.currentView.Settled, c.currentView.Departed = true, nil
		for _, n := range c.nodes {
			if n.log != nil {
				n.machine.InstallView(c.currentView)
			}
		}
		c.quiesce()
		So(replica.machine.Status().Reconciled(), ShouldBeTrue)
		So(replica.machine.jobs["job"].owned, ShouldBeTrue)
	})
	Convey("A machine that lost its disk, and whose next one has an incomplete log, is missing once", t, func() {
		c := newCluster(4, 3, 1)
		n := c.nodes[0]
		n.wipe()
		n.start()
		c.installView(c.nodes...)
		other := c.nodes[1].machine
		other.departures.noteIncompleteLog(n.key(), true, c.now)
		So(other.departures.stores, ShouldHaveLength, 1)
		So(other.departures.countMissing(), ShouldEqual, 1)
		other.departures.noteIncompleteLog(c.nodes[2].key(), true, c.now)
		So(other.departures.countMissing(), ShouldEqual, 2)
	})
}

// TestRetirementWaitsForFullReplication restarts a store of the new set right after it has confirmed its
// copy.
func TestRetirementWaitsForFullReplication(t *testing.T) {
	Convey("A set with a restarted store isn't fully replicated before that reports its copy", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, leaving := c.owner("job"), c.replicaOf("job")
		leaving.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		c.quiesce()
		So(leaving.machine.drained(), ShouldBeTrue)
		successor := c.replicaOf("job")
		So(successor == leaving, ShouldBeFalse)
		successor.injectRecords(encodeDropped("job")) // what it had is gone
		c.rejoin(successor)
		confirms := func() bool {
			c.messages = nil
			owner.machine.Receive(leaving.process(), ReplicationRequest{Stamp: leaving.machine.stamp(), Job: "job"})
			So(c.messages, ShouldHaveLength, 1)
			return c.messages[0].body.(ReplicationResponse).Whole
		}
		So(confirms(), ShouldBeTrue) // it hasn't sent anything yet
		owner.machine.Receive(successor.process(), InventoryRequest{Stamp: successor.machine.stamp()})
		So(confirms(), ShouldBeFalse)
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		c.quiesce()
		So(confirms(), ShouldBeTrue)
		So(successor.machine.jobs["job"], ShouldNotBeNil)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
		owner.wipe() // a disk is lost right after
		c.installView(c.except(owner)...)
		c.quiesce()
		_, status := successor.read("job")
		So(status, ShouldEqual, 200)
	})
}

// TestDrainedStoreIsNotMissed drains a store while others are away.
func TestDrainedStoreIsNotMissed(t *testing.T) {
	Convey("A store counts as drained once all others have reported that they reconciled, and isn't missed", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		leaving := c.except(c.owner("job"), c.replicaOf("job"))[0]
		other := c.except(leaving)[0]
		c.drops = func(m clusterMessage) bool { return m.to == other.key() }
		leaving.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		c.quiesce()
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // nothing is known of what the other holds
		c.drops = nil
		c.quiesce()
		So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
		leaving.state = protocol.StoreRetired
		c.installView(c.nodes...)
		leaving.wipe()
		c.installView(c.except(leaving)...)
		for _, n := range c.except(leaving) {
			n.losePower()
			n.start()
			c.rejoin(n)
			So(n.machine.departures.stores, ShouldBeEmpty)
		}
	})
	Convey("One that was away misses only what was lost", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner, away := c.owner("job"), c.replicaOf("job")
		leaving, rest := c.except(owner, away)[0], c.except(owner, away)[1]
		away.kill()
		leaving.state = protocol.StoreRetiring
		c.installView(owner, leaving, rest)
		owner.machine.disown(owner.machine.jobs["job"]) // it is not replicated again before the disk is lost
		owner.wipe()
		c.installView(leaving, rest)
		c.quiesce()
		So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
		leaving.state = protocol.StoreRetired
		c.installView(leaving, rest)
		away.start() // with the only copy
		c.installView(away, rest)
		So(away.machine.departures.stores, ShouldHaveLength, 1)
		So(rest.machine.departures.stores, ShouldHaveLength, 1)
		c.quiesce()
		_, status := away.readAnywhere("job")
		So(status, ShouldEqual, 200)
	})
}

// TestLossWhileLeaving loses a disk while another store is being drained, so that fewer active ones than
// copies are left.
func TestLossWhileLeaving(t *testing.T) {
	Convey("A retiring store stays in sets that too few others are left for", t, func() {
		for lost := range 2 {
			c := newCluster(3, 2, 1)
			So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
			owner, replica := c.owner("job"), c.replicaOf("job")
			owner.finish("job", 0)
			c.quiesce()
			leaving := c.except(owner, replica)[0]
			gone, stays := owner, replica
			if lost == 1 {
				gone, stays = replica, owner
			}
			leaving.state = protocol.StoreRetiring
			c.installView(c.nodes...)
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			gone.wipe()
			c.installView(leaving, stays)
			c.quiesce()
			texts, status := stays.readAnywhere("job")
			So(status, ShouldEqual, 200)
			So(texts, ShouldResemble, []string{"0"})
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // it is needed again
			So(stays.machine.Report().Settled, ShouldEqual, c.epoch)
			gone.start()
			c.installView(c.nodes...)
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			c.installView(c.nodes...)
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // reports of the last epoch count no more
			c.drops = func(m clusterMessage) bool {
				_, notice := m.body.(ReconciledNotice)
				return notice && m.to == leaving.key()
			}
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
			c.drops = nil
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			So(gone.machine.jobs["job"].durableResults, ShouldEqual, 1)
			So(stays.machine.jobs["job"].durableResults, ShouldEqual, 1)
		}
	})
}
