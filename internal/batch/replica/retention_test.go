package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// clusterRetention is Options.Retention in a cluster.
const clusterRetention = time.Hour

// replaceReplica submits a batch job whose first replica writes its copy, while its confirmations are lost, so that
// it is replaced within the epoch. While unnotified is set, the notices that inform it are dropped.
func replaceReplica(c *cluster, unnotified *bool) (owner, replaced *clusterNode) {
	var unconfirmed placement.Key
	c.drops = func(m clusterMessage) bool {
		switch body := m.body.(type) {
		case ReplicationResponse:
			if unconfirmed == "" {
				unconfirmed = placement.KeyOf(m.from)
			}
			return placement.KeyOf(m.from) == unconfirmed && body.Held
		case ReplicationRequest:
			return *unnotified && m.to == unconfirmed && body.Content == nil
		}
		return false
	}
	So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
	for _, n := range c.nodes {
		if n.key() == unconfirmed {
			replaced = n
		}
	}
	return c.owner("job"), replaced
}

// TestReplacedWithinEpoch replaces a replica that has a copy without the owner's knowledge.
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
		Convey("must drop its copy before the owner drops the closed batch job", func() {
			owner.finish("job", 0)
			c.now += clusterRetention
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldNotBeNil)
			unnotified = false
			c.quiesce()
			So(replaced.machine.jobs["job"], ShouldBeNil)
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
		Convey("delays the owner only for a limited time", func() {
			owner.finish("job", 0)
			c.now += unansweredFactor * clusterRetention
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
		Convey("doesn't delay the owner once it has left the view", func() {
			owner.finish("job", 0)
			replaced.kill()
			c.installView(c.except(replaced)...)
			c.now += clusterRetention
			c.quiesce()
			So(c.owner("job"), ShouldBeNil)
			c.now += expiredQueryInterval // the other replica asks the owner about its copy
			c.quiesce()
			So(owner.machine.jobs["job"], ShouldBeNil)
		})
	})
}

// TestEndOutlivesItems checks that the end of a batch job is kept for as long as a store that was absent could run its
// items.
func TestEndOutlivesItems(t *testing.T) {
	Convey("A closed batch job is kept until no store starts its items any more", t, func() {
		c := newCluster(3, 2, 1)
		c.itemLifetime = 3 * clusterRetention
		So(c.nodes[0].submit("job", 2).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		replica.kill() // its copy lacks the end
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
		So(replica.machine.jobs["job"], ShouldBeNil) // its copy was superseded
		c.now += clusterRetention
		c.quiesce()
		So(owner.machine.jobs["job"], ShouldBeNil)
	})
	Convey("The replicas of an open batch job are kept for as long as its items may run", t, func() {
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
