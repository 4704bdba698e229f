package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// clusterRetention is Options.Retention in a cluster.
const clusterRetention = time.Hour

// replaceReplica submits a batch job whose first replica writes its copy and is not heard, so that it is replaced
// within the epoch. Notices to it are dropped while unnotified is set.
func replaceReplica(c *cluster, unnotified *bool) (owner, replaced *clusterNode) {
	var silent placement.Key
	c.drops = func(m clusterMessage) bool {
		switch body := m.body.(type) {
		case ReplicationResponse:
			if silent == "" {
				silent = placement.KeyOf(m.from)
			}
			return placement.KeyOf(m.from) == silent && body.Held
		case ReplicationRequest:
			return *unnotified && m.to == silent && body.Content == nil
		}
		return false
	}
	So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
	for _, n := range c.nodes {
		if n.key() == silent {
			replaced = n
		}
	}
	return c.owner("job"), replaced
}

// TestReplacedWithinEpoch replaces a replica that then turns out to have a copy.
func TestReplacedWithinEpoch(t *testing.T) {
	Convey("A replica that was replaced within an epoch", t, func() {
		c := newCluster(4, 2, 1)
		unnotified := true
		owner, replaced := replaceReplica(c, &unnotified)
		So(placement.Contains(owner.machine.jobs["job"].replicas, replaced.key()), ShouldBeFalse)
		copyHere := replaced.machine.jobs["job"]
		So(copyHere, ShouldNotBeNil)
		So(copyHere.superseded, ShouldBeFalse)

		Convey("learns that its copy is superseded, and drops it", func() {
			unnotified = false
			c.quiesce()
			So(replaced.machine.jobs["job"], ShouldBeNil)
			So(owner.machine.jobs["job"].replaced, ShouldBeEmpty)
		})
		Convey("is waited for before the closed batch job is forgotten", func() {
			owner.finish("job", 0)
			c.now += clusterRetention
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldNotBeNil)
			unnotified = false
			c.quiesce()
			So(replaced.machine.jobs["job"], ShouldBeNil)
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
		Convey("isn't waited for without end", func() {
			owner.finish("job", 0)
			c.now += unansweredFactor * clusterRetention
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
		Convey("isn't waited for once it has left the view", func() {
			owner.finish("job", 0)
			replaced.kill()
			c.installView(c.except(replaced)...)
			c.now += clusterRetention
			c.quiesce()
			So(c.owner("job"), ShouldBeNil)
			c.now += expiredQueryInterval // of the other replica, which asks the owner
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
	})
}

// TestEndOutlivesItems keeps the end of a batch job for as long as a store that was away could run its items.
func TestEndOutlivesItems(t *testing.T) {
	Convey("A closed batch job is kept until no store starts its items any more", t, func() {
		c := newCluster(3, 2, 1)
		c.itemLifetime = 3 * clusterRetention
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		replica.kill() // with a copy that doesn't know of the end
		c.installView(c.except(replica)...)
		c.quiesce()
		owner.finish("job", 0)
		owner.finish("job", 1)
		c.now += 2 * clusterRetention
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldNotBeNil)
		replica.start()
		c.installView(c.nodes...)
		c.quiesce()
		So(replica.machine.jobs["job"], ShouldBeNil) // it was superseded
		c.now += clusterRetention
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
	})
	Convey("The replicas of an open batch job are kept for as long as it may run", t, func() {
		c := newCluster(3, 2, 1)
		for _, lifetime := range []time.Duration{0, 10 * clusterRetention} {
			c.itemLifetime = lifetime
			id := "job-" + lifetime.String()
			So(c.nodes[0].submit(id, 1).Status, ShouldEqual, 202)
			replica := c.replicaOf(id)
			c.now += 5 * clusterRetention
			c.quiesce()
			So(replica.machine.jobs[id], ShouldNotBeNil)
			So(c.owner(id), ShouldNotBeNil)
		}
	})
}
