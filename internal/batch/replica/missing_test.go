package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests what is due to stores that left the view, and to copies that were left behind.

// others gives the nodes that are none of these.
func (c *cluster) others(nodes ...*clusterNode) []*clusterNode {
	var list []*clusterNode
	for _, n := range c.nodes {
		found := false
		for _, other := range nodes {
			found = found || other == n
		}
		if !found {
			list = append(list, n)
		}
	}
	return list
}

// TestNotAcceptedWhileMissing has a batch job sent again while all stores that hold it are away.
func TestNotAcceptedWhileMissing(t *testing.T) {
	Convey("A batch job isn't accepted again while its copies may be on stores that are missing", t, func() {
		c := newCluster(5, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0, 1)
		c.settle()
		rest := c.others(owner, replica)
		for _, n := range c.nodes { // all lose power, and these two come back late
			n.losePower()
		}
		for _, n := range rest {
			n.start()
		}
		c.view(rest...)
		c.settle()
		rest[0].machine.Call(77, protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: "t"}, nil)
		So(rest[0].answers[77].Status, ShouldEqual, 503)      // at once
		So(rest[1].submit("new", 4).Status, ShouldEqual, 503) // it can't be told apart
		c.messages = nil
		for _, n := range rest { // whoever asks: one may have forgotten who is missing
			n.machine.Message(rest[0].process(), Reserve{Stamp: n.machine.stamp(), Job: "job", Number: 1})
		}
		So(c.messages, ShouldBeEmpty)
		rest[0].machine.acceptances["job"] = &acceptance{number: 1, votes: map[placement.Key]Reserved{}, until: time.Hour}
		rest[0].machine.askArbiters("job", rest[0].machine.acceptances["job"])
		So(rest[0].machine.acceptances["job"].votes, ShouldBeEmpty)
		delete(rest[0].machine.acceptances, "job")
		owner.start()
		c.view(append(rest, owner)...)
		c.settle()
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
		c.settle()
		rest := c.others(owner)
		second := c.others(owner, replica)[0]
		for _, n := range c.nodes {
			n.losePower()
		}
		for _, n := range c.nodes {
			if n != owner && n != second {
				n.start()
			}
		}
		c.view(c.others(owner, second)...)
		c.settle()
		for _, n := range c.others(owner, second) {
			answer := n.submit("job", 4)
			So(answer.Status, ShouldNotEqual, 202)
			So(answer.Owner, ShouldBeIn, "", replica.process().IP)
			So(n.machine.Report().Settled, ShouldBeLessThan, c.epoch) // a batch job stands on one disk
		}
		second.start()
		c.view(rest...)
		c.settle()
		texts, status := rest[0].readAnywhere("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0", "1"})
		So(rest[0].machine.Report().Settled, ShouldEqual, c.epoch)
	})
}

// TestLeftBehind has a copy left behind by a store that comes back after its place was taken.
func TestLeftBehind(t *testing.T) {
	Convey("A copy that was left behind goes once all stand whole, and can't outlive the batch job", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		c.view(c.others(replica)...)
		c.settle()
		third := c.others(owner, replica)[0]
		So(third.machine.jobs["job"].version, ShouldEqual, owner.machine.jobs["job"].version)
		So(replica.machine.jobs["job"].version, ShouldBeLessThan, owner.machine.jobs["job"].version)
		c.view(c.nodes...)
		So(replica.machine.jobs["job"], ShouldNotBeNil) // it is there until all stand whole
		c.settle()
		So(replica.machine.jobs["job"], ShouldBeNil)
		replica.kill()
		replica.start()
		So(replica.machine.jobs["job"], ShouldBeNil) // it doesn't come back with the log
		So(owner.machine.jobs["job"], ShouldNotBeNil)
		So(third.machine.jobs["job"], ShouldNotBeNil)
	})
}

// TestExpiredWhileNotWhole lets a batch job expire that couldn't be made whole.
func TestExpiredWhileNotWhole(t *testing.T) {
	Convey("A store stands whole again once what wasn't whole is dropped", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 1).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.settle()
		c.now += 59 * time.Minute
		replica.kill()
		c.view(owner)
		c.settle()
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		c.now += 2 * time.Minute // it is over, who is missing is still of interest
		c.settle()
		So(owner.machine.jobs["job"], ShouldBeNil)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
	})
}
