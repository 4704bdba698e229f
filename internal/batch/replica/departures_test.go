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

// This file tests the answers to calls while stores are missing, and the release of superseded copies.

// except returns all nodes except for the given ones.
func (c *cluster) except(nodes ...*clusterNode) []*clusterNode {
	var list []*clusterNode
	for _, n := range c.nodes {
		if !slices.Contains(nodes, n) {
			list = append(list, n)
		}
	}
	return list
}

// TestNotAcceptedWhileMissing submits a batch job again while stores that hold it are absent. It guards against a
// second acceptance, after which the absent copies would return.
func TestNotAcceptedWhileMissing(t *testing.T) {
	Convey("A batch job isn't accepted again while its copies may be on stores that are missing", t, func() {
		c := newCluster(5, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0, 1)
		c.quiesce()
		rest := c.except(owner, replica)
		for _, n := range c.nodes { // all stores lose power, and the owner and the replica return late
			n.losePower()
		}
		for _, n := range rest {
			n.start()
		}
		c.installView(rest...)
		c.quiesce()
		rest[0].machine.Call(77, protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: "t"}, nil)
		So(rest[0].answers[77].Status, ShouldEqual, 503)      // at once
		So(rest[1].submit("new", 4).Status, ShouldEqual, 503) // a new batch job can't be distinguished from a missing one
		c.messages = nil
		for _, n := range rest { // also if a store requests votes because it doesn't know which stores are missing
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
	Convey("Nor while one of the two stores that hold it is present and may not own it yet", t, func() {
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
			So(n.machine.Report().Settled, ShouldBeLessThan, c.epoch) // the batch job is on one disk only
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

// TestSupersededReplica makes a store return with its copy after it was replaced.
func TestSupersededReplica(t *testing.T) {
	Convey("A superseded copy is dropped once all stores have reconciled, and can't outlive the batch job", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		c.installView(c.except(replica)...)
		c.quiesce()
		third := c.except(owner, replica)[0]
		So(third.machine.jobs["job"].version, ShouldEqual, owner.machine.jobs["job"].version)
		So(replica.machine.jobs["job"].version, ShouldBeLessThan, owner.machine.jobs["job"].version)
		c.installView(c.nodes...)
		So(replica.machine.jobs["job"], ShouldNotBeNil) // the copy is kept until all stores have reconciled
		c.quiesce()
		So(replica.machine.jobs["job"], ShouldBeNil)
		replica.kill()
		replica.start()
		So(replica.machine.jobs["job"], ShouldBeNil) // the replay of the log doesn't restore it
		So(owner.machine.jobs["job"], ShouldNotBeNil)
		So(third.machine.jobs["job"], ShouldNotBeNil)
	})
}

// TestExpiredWhileUnderReplicated lets a batch job expire that couldn't be fully replicated.
func TestExpiredWhileUnderReplicated(t *testing.T) {
	Convey("A store reconciles once the batch jobs that weren't fully replicated are dropped", t, func() {
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
		c.now += 2 * time.Minute // the batch job has expired, departed stores have not
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
	})
}

// newSupersededReplica restarts a replica that was absent while its batch job was closed. The replica has not received
// a view since.
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

// TestExpiredAtOwner keeps a superseded copy of a batch job until the owner has dropped the batch job.
func TestExpiredAtOwner(t *testing.T) {
	Convey("A superseded copy is dropped with the batch job, even if it lacks the end", t, func() {
		c, owner, replica := newSupersededReplica()
		c.drops = func(m clusterMessage) bool {
			_, isResponse := m.body.(ReplicationResponse)
			return isResponse && m.to == replica.key()
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

// TestSupersededReplicaExpires keeps a releasable copy until the batch job expires, by dropping the reports that the
// other stores have reconciled.
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

// TestEmptyDisk makes a store with an empty disk return first after a loss of power.
func TestEmptyDisk(t *testing.T) {
	Convey("A store whose disk was lost answers no 404 while as many stores are missing as there are replicas", t, func() {
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
		answersNotFound := func(n *clusterNode) bool {
			_, status := n.read("job")
			So(status, ShouldBeIn, 404, 503)
			return status == 404
		}
		So(answersNotFound(owner), ShouldBeFalse)
		So(owner.machine.tooManyDeparted(), ShouldBeTrue)
		owner.kill() // after another restart it still answers no 404
		owner.start()
		c.installView(owner)
		c.quiesce()
		So(answersNotFound(owner), ShouldBeFalse)
		rest[0].start()
		c.installView(owner, rest[0])
		c.quiesce()
		for _, n := range []*clusterNode{owner, rest[0]} { // the owner's former disk is missing as well
			So(n.machine.departures.stores, ShouldHaveLength, 3)
			So(n.machine.departures.countDeparted(), ShouldEqual, 3)
		}
		So(answersNotFound(owner) || answersNotFound(rest[0]), ShouldBeFalse)
		replica.start()
		rest[1].start()
		c.installView(c.nodes...)
		c.quiesce()
		_, status := owner.readAnywhere("job")
		So(status, ShouldEqual, 200)
		_, status = owner.read("no-such-job")
		So(status, ShouldEqual, 404)
	})
	Convey("It answers no 404 for as long as batch jobs are kept if all copies were lost", t, func() {
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

// TestMissedReconciledNotice makes one store miss the view in which all members have reconciled, immediately before the
// next loss. It guards against a store that still counts earlier departures, and so too many missing stores.
func TestMissedReconciledNotice(t *testing.T) {
	Convey("A store that missed a reconciled view doesn't count the stores that departed before it", t, func() {
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
	Convey("Nor does a store that loses power with all others right then, while two disks are lost", t, func() {
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

// TestMissedViews makes stores miss some views.
func TestMissedViews(t *testing.T) {
	Convey("Departures in views that a store didn't see count, also of stores that joined in such views", t, func() {
		for copies := 2; copies <= 3; copies++ {
			c := newCluster(2*copies, copies, 1)
			replaced := c.nodes[:copies]
			away := c.nodes[copies:]
			for _, n := range replaced { // from here on, only the nodes in away are members
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

// TestMissingStoresStopCounting makes a store wait for missing stores that may hold a newer version, until these don't
// count any more.
func TestMissingStoresStopCounting(t *testing.T) {
	// newWaitingStore returns a store with the only present copy, which waits because two machines are missing, as many
	// as there are copies.
	newWaitingStore := func() (*cluster, *clusterNode) {
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
	Convey("It owns the batch job once they have been missing for as long as batch jobs are kept", t, func() {
		c, replica := newWaitingStore()
		c.now += time.Hour + time.Minute
		c.quiesce()
		So(replica.machine.Status().Reconciled(), ShouldBeTrue)
		So(replica.machine.jobs["job"].owned, ShouldBeTrue)
	})
	Convey("And once control has agreed that all members have reconciled without them", t, func() {
		c, replica := newWaitingStore()
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
	Convey("A machine that lost its disk, and whose next disk has an incomplete log, is counted once", t, func() {
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

// TestRetirementWaitsForFullReplication restarts a store of the new set immediately after it has confirmed its copy.
func TestRetirementWaitsForFullReplication(t *testing.T) {
	Convey("A set with a restarted store isn't fully replicated before that store reports its copy", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, leaving := c.owner("job"), c.replicaOf("job")
		leaving.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		c.quiesce()
		So(leaving.machine.drained(), ShouldBeTrue)
		successor := c.replicaOf("job")
		So(successor == leaving, ShouldBeFalse)
		successor.injectRecords(encodeDropped("job")) // its copy is lost
		c.rejoin(successor)
		confirms := func() bool {
			c.messages = nil
			owner.machine.Receive(leaving.process(), ReplicationRequest{Stamp: leaving.machine.stamp(), Job: "job"})
			So(c.messages, ShouldHaveLength, 1)
			return c.messages[0].body.(ReplicationResponse).Whole
		}
		So(confirms(), ShouldBeTrue) // the successor hasn't sent anything since its restart
		owner.machine.Receive(successor.process(), InventoryRequest{Stamp: successor.machine.stamp()})
		So(confirms(), ShouldBeFalse)
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		c.quiesce()
		So(confirms(), ShouldBeTrue)
		So(successor.machine.jobs["job"], ShouldNotBeNil)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
		owner.wipe() // a disk is lost immediately afterwards
		c.installView(c.except(owner)...)
		c.quiesce()
		_, status := successor.read("job")
		So(status, ShouldEqual, 200)
	})
}

// TestDrainedStoreIsNotMissing drains a store while others are absent.
func TestDrainedStoreIsNotMissing(t *testing.T) {
	Convey("A store is drained once all others have reported that they reconciled, and then isn't missing", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		leaving := c.except(c.owner("job"), c.replicaOf("job"))[0]
		other := c.except(leaving)[0]
		c.drops = func(m clusterMessage) bool { return m.to == other.key() }
		leaving.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		c.quiesce()
		So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // it isn't known which batch jobs the other store holds
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
	Convey("For a store that was absent, only lost stores are missing", t, func() {
		c := newCluster(4, 2, 1)
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner, away := c.owner("job"), c.replicaOf("job")
		leaving, rest := c.except(owner, away)[0], c.except(owner, away)[1]
		away.kill()
		leaving.state = protocol.StoreRetiring
		c.installView(owner, leaving, rest)
		owner.machine.disown(owner.machine.jobs["job"]) // so that it isn't replicated again before the disk is lost
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

// TestLossWhileLeaving loses a disk while another store is being drained, so that fewer active stores than copies
// remain.
func TestLossWhileLeaving(t *testing.T) {
	Convey("A retiring store stays in replica sets for which too few other stores remain", t, func() {
		for lost := range 2 {
			c := newCluster(3, 2, 1)
			So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
			owner, replica := c.owner("job"), c.replicaOf("job")
			owner.finish("job", 0)
			c.quiesce()
			leaving := c.except(owner, replica)[0]
			wiped, stays := owner, replica
			if lost == 1 {
				wiped, stays = replica, owner
			}
			leaving.state = protocol.StoreRetiring
			c.installView(c.nodes...)
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			wiped.wipe()
			c.installView(leaving, stays)
			c.quiesce()
			texts, status := stays.readAnywhere("job")
			So(status, ShouldEqual, 200)
			So(texts, ShouldResemble, []string{"0"})
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // it is needed again
			So(stays.machine.Report().Settled, ShouldEqual, c.epoch)
			wiped.start()
			c.installView(c.nodes...)
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			c.installView(c.nodes...)
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse) // reports of the last epoch don't count any more
			c.drops = func(m clusterMessage) bool {
				_, notice := m.body.(ReconciledNotice)
				return notice && m.to == leaving.key()
			}
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeFalse)
			c.drops = nil
			c.quiesce()
			So(leaving.machine.Report().DrainedDown, ShouldBeTrue)
			So(wiped.machine.jobs["job"].durableResults, ShouldEqual, 1)
			So(stays.machine.jobs["job"].durableResults, ShouldEqual, 1)
		}
	})
}
