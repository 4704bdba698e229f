package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests the replay of records that can't be used, and the replacement of corrupt copies.

// TestKilledThenPowerLost guards against logs with gaps, which came about as follows: a process wrote results without
// syncing them and was killed, the next one synced further results behind them, and then power was lost.
func TestKilledThenPowerLost(t *testing.T) {
	Convey("Records that a start found and reported as durable survive a loss of power", t, func() {
		for seed := range uint64(20) {
			c := newCluster(1, 1, seed)
			n := c.nodes[0]
			So(n.submit("job", 8).Status, ShouldEqual, 202)
			n.finish("job", 0, 1, 2)
			c.quiesce()
			n.finish("job", 3, 4)
			_, err := n.log.Step() // written, but not synced
			So(err, ShouldBeNil)
			n.kill()
			n.start()
			c.installView(n)
			c.quiesce()
			So(n.machine.jobs["job"].durableResults, ShouldEqual, 5)
			n.finish("job", 5)
			c.quiesce()
			n.losePower()
			n.start()
			So(n.findings, ShouldBeEmpty)
			So(n.machine.jobs["job"].durableResults, ShouldEqual, 6)
		}
	})
}

// injectRecords writes records to the end of a node's log, and restarts the node on it.
func (n *clusterNode) injectRecords(records ...[]byte) {
	for _, record := range records {
		n.log.Append(record)
	}
	n.sync()
	n.kill()
	n.start()
}

// resultAfterGap encodes a result at a position before which other results may be missing.
func resultAfterGap(id string, position, item int) []byte {
	return encodeResult(id, position, &Result{Item: item, State: byte(job.Completed), Text: []byte("lost")})
}

// TestFindings starts a store on a log with records that can't be used.
func TestFindings(t *testing.T) {
	Convey("An unusable record is reported with its location, and affects only its own batch job", t, func() {
		c := newCluster(1, 1, 1)
		n := c.nodes[0]
		for _, id := range []string{"sound", "job"} {
			So(n.submit(id, 4).Status, ShouldEqual, 202)
			n.finish(id, 0, 1)
		}
		c.quiesce()
		j := n.machine.jobs["job"]
		replicas := encodeReplicas("job", j.version, j.replicas)
		garbled := encodeCopy("job", j.version+1, j.replicas, false, []byte("?"), nil)
		for _, test := range []struct {
			problem    Problem
			record     []byte
			incomplete bool
		}{
			{ProblemGap, resultAfterGap("job", 3, 3), false},
			{ProblemResult, resultAfterGap("job", 2, 9), false},
			{ProblemResult, resultAfterGap("job", 2, 1), false},
			{ProblemRecord, resultAfterGap("job", 2, 2)[:8], false},
			{ProblemRecord, replicas[:len(replicas)-1], true},
			{ProblemRecord, garbled[:len(garbled)-8], true},
			{ProblemContent, garbled, true},
			{ProblemKind, job.AppendString([]byte{200}, "job"), true},
		} {
			n.injectRecords(test.record, resultAfterGap("job", 2, 3)) // the second record may continue a copy that is missing
			So(n.findings, ShouldHaveLength, 1)
			finding := n.findings[0]
			So(finding.Problem, ShouldEqual, test.problem)
			So(finding.Job, ShouldEqual, "job")
			So(finding.At.Segment, ShouldBeGreaterThan, uint32(0))
			So(errors.Is(finding, job.ErrCorrupt), ShouldBeTrue)
			So(finding.Error(), ShouldContainSubstring, "job")
			So(n.machine.incompleteLog, ShouldEqual, test.incomplete)
			So(n.machine.jobs["job"].corrupt, ShouldBeTrue)
			So(n.machine.jobs["sound"].corrupt, ShouldBeFalse)
			c.installView(n)
			c.quiesce()
			for _, id := range []string{"sound", "job"} {
				texts, status := n.read(id)
				So(status, ShouldEqual, 200)
				So(texts, ShouldResemble, []string{"0", "1"})
			}
			n.kill()
			n.start()
			So(n.machine.jobs["job"].corrupt, ShouldBeFalse) // a new copy of the sound part follows the unusable record
			So(n.findings, ShouldHaveLength, 1)
			n.disk.Wipe()
			n.start()
			c.installView(n)
			for _, id := range []string{"sound", "job"} {
				So(n.submit(id, 4).Status, ShouldEqual, 202)
				n.finish(id, 0, 1)
			}
			c.quiesce()
		}
	})
	Convey("Unusable records that don't belong to a batch job are reported as well", t, func() {
		c := newCluster(1, 1, 1)
		n := c.nodes[0]
		view := n.machine.departures.encode()
		n.injectRecords(view[:len(view)-3], []byte{recordCopy})
		So(n.findings, ShouldHaveLength, 2)
		for _, finding := range n.findings {
			So(finding.Problem, ShouldEqual, ProblemRecord)
			So(finding.Job, ShouldBeEmpty)
		}
		So(n.machine.incompleteLog, ShouldBeTrue)
		So(n.machine.Replay(wal.Location{}, nil), ShouldNotBeNil)
	})
}

// TestReplayNeverPanics replays randomly altered records.
func TestReplayNeverPanics(t *testing.T) {
	c := newCluster(1, 1, 1)
	n := c.nodes[0]
	n.submit("job", 4)
	n.finish("job", 0, 1)
	n.machine.SaveProgress("job", 2, -1, 3, [][]byte{[]byte("event")})
	c.quiesce()
	j := n.machine.jobs["job"]
	content, err := n.Read(j.contentAt)
	if err != nil {
		t.Fatal(err)
	}
	records := [][]byte{
		encodeCopy("job", j.version, j.replicas, false, content, []Result{{Item: 1, State: 1, Text: []byte("x")}}),
		encodeReplicas("job", j.version, j.replicas), encodeEnded("job"), resultAfterGap("job", 2, 2),
		n.machine.departures.encode(),
		append(job.AppendString([]byte{recordProgress}, "job"), 2, 1, 6, 1, 1, 'x'), encodeDropped("job"),
	}
	random := rand.New(rand.NewPCG(1, 2))
	n.kill()
	n.start()
	for range 20_000 {
		record := append([]byte(nil), records[random.IntN(len(records))]...)
		for range 1 + random.IntN(3) {
			record[random.IntN(len(record))] = byte(random.Uint32())
		}
		_ = n.machine.Replay(wal.Location{Segment: 1}, record[:1+random.IntN(len(record))])
		_ = n.machine.Replay(wal.Location{Segment: 1}, record)
		_ = n.machine.Replay(wal.Location{Segment: 1}, records[random.IntN(len(records))])
		stored := n.machine.jobs["job"]
		if stored != nil && (stored.durableResults != len(stored.results) || len(stored.results) > len(stored.items)) {
			t.Fatalf("%d results durable of %d, %d items", stored.durableResults, len(stored.results), len(stored.items))
		}
	}
}

// TestCorruptOwner corrupts the owner's copy. The store with a sound copy must become the owner, and replace the former
// owner's copy.
func TestCorruptOwner(t *testing.T) {
	for _, test := range []struct {
		name   string
		record func(j *storedJob) []byte
	}{
		{"a gap in the results", func(*storedJob) []byte { return resultAfterGap("job", 5, 5) }},
		{"the whole batch job is gone", func(*storedJob) []byte { return encodeDropped("job") }},
		{"its copy can't be read", func(j *storedJob) []byte {
			return encodeCopy("job", j.version+1, j.replicas, false, []byte("?"), nil)
		}},
	} {
		Convey("The store with the better copy becomes the owner and replaces the corrupt one, after "+test.name, t, func() {
			for _, restart := range []string{"at once", "after it was taken out", "all at the same time"} {
				c := newCluster(3, 2, 1)
				So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
				owner := c.owner("job")
				owner.finish("job", 0, 1, 2)
				c.quiesce()
				replica := c.replicaOf("job")
				owner.injectRecords(test.record(owner.machine.jobs["job"]))
				So(owner.findings == nil, ShouldEqual, test.name == "the whole batch job is gone")
				switch restart {
				case "at once":
					c.rejoin(owner)
				case "after it was taken out":
					c.installView(replica)
					c.quiesce()
					c.installView(c.nodes...)
				default:
					for _, n := range c.nodes {
						if n != owner {
							n.kill()
							n.start()
						}
					}
					c.installView(c.nodes...)
				}
				c.quiesce()
				for _, n := range c.nodes {
					texts, status := n.readAnywhere("job")
					So(status, ShouldEqual, 200)
					So(texts, ShouldResemble, []string{"0", "1", "2"})
				}
				So(c.owner("job") == owner, ShouldBeFalse)
				for _, n := range c.nodes {
					if j := n.machine.jobs["job"]; j != nil && j.version == c.owner("job").machine.jobs["job"].version {
						So(j.corrupt, ShouldBeFalse)
						So(j.durableResults, ShouldEqual, 3)
					}
				}
				c.owner("job").wipe() // the next loss
				c.installView(c.running()...)
				c.quiesce()
				texts, status := c.running()[0].readAnywhere("job")
				So(status, ShouldEqual, 200)
				So(texts, ShouldResemble, []string{"0", "1", "2"})
			}
		})
	}
}

func (c *cluster) running() []*clusterNode {
	var alive []*clusterNode
	for _, n := range c.nodes {
		if n.log != nil {
			alive = append(alive, n)
		}
	}
	return alive
}

// readAnywhere reads at a node, or at the owner that it names.
func (n *clusterNode) readAnywhere(id string) ([]string, int) {
	call := protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: id, Tenant: "t"}
	answer := n.call(call, nil)
	for _, other := range n.cluster.nodes {
		if answer.Owner == other.process().IP {
			return other.read(id)
		}
	}
	return n.read(id)
}

// TestCorruptReplica corrupts a replica's copy that the owner counts as durable. The owner must not count as reconciled
// again until it has replaced the copy, also if no store left the view.
func TestCorruptReplica(t *testing.T) {
	for _, record := range [][]byte{encodeDropped("job"), resultAfterGap("job", 5, 5)} {
		name := fmt.Sprintf("A corrupt replica is replaced before more results are committed: kind %d", record[0])
		Convey(name, t, func() {
			c := newCluster(2, 2, 1)
			So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
			owner := c.owner("job")
			owner.finish("job", 0, 1, 2)
			c.quiesce()
			replica := c.replicaOf("job")
			replica.injectRecords(record)
			So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
			c.rejoin(replica)
			request := InventoryRequest{Stamp: replica.machine.stamp()}
			c.deliver(clusterMessage{from: replica.process(), to: owner.key(), body: request})
			So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
			owner.finish("job", 3)
			c.quiesce()
			So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
			So(replica.machine.jobs["job"].durableResults, ShouldEqual, 4)
			replica.kill()
			replica.start()
			So(replica.machine.jobs["job"].corrupt, ShouldBeFalse)
			So(replica.machine.jobs["job"].durableResults, ShouldEqual, 4)
			owner.wipe()
			c.installView(replica)
			c.quiesce()
			So(replica.machine.jobs["job"].results, ShouldHaveLength, 4)
		})
	}
}

// TestOnlyCorruptCopies corrupts all copies. The longest sound prefix must be served, and no batch job that may be lost
// may be answered 404.
func TestOnlyCorruptCopies(t *testing.T) {
	Convey("The longest sound prefix is served if no sound copy is left", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 8).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.finish("job", 0, 1)
		c.quiesce()
		replica := c.replicaOf("job")
		longer := encodeResult("job", 2, &Result{Item: 2, State: byte(job.Completed), Text: []byte("2")})
		owner.injectRecords(resultAfterGap("job", 6, 6))
		replica.injectRecords(longer, resultAfterGap("job", 7, 7))
		c.installView(c.nodes...)
		c.quiesce()
		So(c.owner("job") == replica, ShouldBeTrue)
		texts, status := replica.read("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0", "1", "2"})
		So(owner.machine.jobs["job"].durableResults, ShouldEqual, 3)
		So(owner.machine.jobs["job"].corrupt, ShouldBeFalse)
		replica.finish("job", 6)
		c.quiesce()
		So(owner.machine.jobs["job"].durableResults, ShouldEqual, 4)
	})
	Convey("A batch job that may be lost with an incomplete log and a disk is answered 503, not 404", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		_, status := c.nodes[0].read("no-such-job")
		So(status, ShouldEqual, 404)
		version := c.nodes[1].machine.jobs["job"].version
		c.nodes[1].injectRecords(encodeCopy("job", version, nil, false, []byte("?"), nil), encodeDropped("job"))
		c.nodes[0].wipe()
		c.nodes[0].start()
		c.installView(c.nodes...)
		c.quiesce()
		for _, n := range c.nodes {
			_, status = n.read("job")
			So(status, ShouldEqual, 503)
		}
	})
}

// TestCorruptStoreRetires retires a store that has the only copy of a batch job, which is corrupt.
func TestCorruptStoreRetires(t *testing.T) {
	Convey("A retiring store hands over the sound part of a corrupt copy", t, func() {
		c := newCluster(3, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner := c.owner("job")
		owner.finish("job", 0)
		c.quiesce()
		replica := c.replicaOf("job")
		owner.injectRecords(resultAfterGap("job", 3, 3))
		replica.wipe()
		replica.start()
		owner.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		c.quiesce()
		So(owner.machine.drained(), ShouldBeTrue)
		texts, status := owner.readAnywhere("job")
		So(status, ShouldEqual, 200)
		So(texts, ShouldResemble, []string{"0"})
		So(c.owner("job") == owner, ShouldBeFalse)
	})
}

// TestSegmentsKept checks that segments are kept while the records that replace theirs aren't durable.
func TestSegmentsKept(t *testing.T) {
	Convey("A copy's segment is kept until the copy that replaces it is durable", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		replica := c.replicaOf("job")
		j := replica.machine.jobs["job"]
		before := j.contentAt.Segment
		content, err := replica.Read(j.contentAt)
		So(err, ShouldBeNil)
		fillSegment(replica)
		replica.machine.writeViewRecord() // so that only the copy needs the segment
		replica.sync()
		owner := c.owner("job").process()
		message := ReplicationRequest{
			Stamp: replica.machine.stamp(), Job: "job", Version: j.version + 1, Replicas: j.replicas, Content: content,
		}
		for range 2 { // the second copy replaces one that isn't durable yet
			replica.machine.Receive(owner, message)
			message.Version++
			So(replica.machine.jobs["job"].contentAt.Segment, ShouldBeGreaterThan, before)
			So(replica.machine.OldestSegment(100), ShouldEqual, before)
		}
		replica.sync()
		So(replica.machine.OldestSegment(100), ShouldBeGreaterThan, before)
	})
	Convey("The view record is written again before its segment is released", t, func() {
		c := newCluster(2, 2, 1)
		n := c.nodes[0]
		c.quiesce()
		before := n.machine.departures.viewRecordAt.Segment
		acted, since := n.machine.ActedIn(), n.machine.departures.memberSince
		So(acted, ShouldEqual, c.epoch)
		fillSegment(n)
		So(n.machine.OldestSegment(100), ShouldEqual, before) // needed until the new view record is durable
		n.sync()
		oldest := n.machine.OldestSegment(100)
		So(oldest, ShouldBeGreaterThan, before)
		for number, _ := n.log.SegmentRange(); number < oldest; number++ {
			So(n.log.RemoveSegment(number), ShouldBeNil)
		}
		n.kill()
		n.start()
		So(n.machine.ActedIn(), ShouldEqual, acted)
		So(n.machine.departures.memberSince, ShouldEqual, since)
	})
}

// fillSegment fills a node's current segment, so that its next record goes to a new one.
func fillSegment(n *clusterNode) {
	n.log.Append(append(encodeDropped("nothing"), make([]byte, 4<<10)...))
	n.sync()
}

// TestSkippedPart corrupts a part of the log which may have contained a newer copy.
func TestSkippedPart(t *testing.T) {
	Convey("Copies before an unreadable part count as corrupt, and their results behind it are ignored", t, func() {
		c := newCluster(2, 2, 1)
		for _, id := range []string{"before", "across"} {
			So(c.nodes[0].submit(id, 4).Status, ShouldEqual, 202)
			c.owner(id).finish(id, 0, 1)
			c.quiesce()
		}
		owner := c.owner("across")
		fillSegment(owner)
		owner.finish("across", 2)
		c.quiesce()
		So(c.nodes[0].submit("behind", 4).Status, ShouldEqual, 202)
		owner.kill()
		So(owner.disk.FlipBit("segment-00000002", 1000, 0), ShouldBeTrue)
		owner.start()
		So(owner.findings, ShouldHaveLength, 1)
		So(owner.findings[0].Problem, ShouldEqual, ProblemSkipped)
		So(owner.machine.incompleteLog, ShouldBeTrue)
		findings, corruptJobs := owner.machine.Corruption()
		So(findings, ShouldEqual, 1)
		So(corruptJobs, ShouldEqual, 2)
		So(owner.machine.jobs["before"].results, ShouldHaveLength, 2)
		So(owner.machine.jobs["across"].results, ShouldHaveLength, 2)
		c.rejoin(owner)
		c.quiesce()
		for _, n := range c.nodes {
			texts, status := n.readAnywhere("across")
			So(status, ShouldEqual, 200)
			So(texts, ShouldResemble, []string{"0", "1", "2"})
		}
		So(owner.machine.jobs["across"].durableResults, ShouldEqual, 3)
		So(owner.machine.incompleteLog, ShouldBeFalse) // all stores have reconciled again
		_, status := owner.read("no-such-job")
		So(status, ShouldEqual, 404)
		findings, corruptJobs = owner.machine.Corruption()
		So(findings, ShouldEqual, 1)
		So(corruptJobs, ShouldEqual, 0)

		owner.losePower() // the same damage is found again, and has been accounted for
		owner.start()
		So(owner.findings, ShouldHaveLength, 1)
		So(owner.machine.incompleteLog, ShouldBeFalse)

		owner.kill() // further damage in the same segment counts
		So(owner.disk.FlipBit("segment-00000001", 300, 0), ShouldBeTrue)
		owner.start()
		So(len(owner.findings), ShouldBeGreaterThan, 1)
		So(owner.machine.incompleteLog, ShouldBeTrue)
	})
}

// TestCorruptionInNewestSegment corrupts a synced record of an owner in the segment that it was writing, before later
// records.
func TestCorruptionInNewestSegment(t *testing.T) {
	Convey("Results that were shown are restored from the other copy, and not listed anew", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 4).Status, ShouldEqual, 202)
		owner := c.owner("job")
		for item := range 3 {
			owner.finish("job", item)
			c.quiesce()
		}
		owner.kill()
		second := owner.machine.jobs["job"].results[1].at
		So(second.Segment, ShouldEqual, 1)
		So(owner.disk.FlipBit("segment-00000001", int64(second.Offset), 0), ShouldBeTrue)
		owner.start()
		So(owner.findings, ShouldHaveLength, 1)
		So(owner.findings[0].Problem, ShouldEqual, ProblemSkipped)
		So(owner.machine.jobs["job"].corrupt, ShouldBeTrue)
		So(owner.machine.jobs["job"].results, ShouldHaveLength, 1)
		c.rejoin(owner)
		c.quiesce()
		for _, n := range c.nodes {
			texts, status := n.readAnywhere("job")
			So(status, ShouldEqual, 200)
			So(texts, ShouldResemble, []string{"0", "1", "2"})
			So(n.machine.jobs["job"].corrupt, ShouldBeFalse)
		}
	})
}

// TestOwnershipTransferIsResent loses the messages that transfer a batch job to a store with a better copy.
func TestOwnershipTransferIsResent(t *testing.T) {
	Convey("An ownership transfer is resent until the batch job is fully replicated at the other store", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		owner.finish("job", 0)
		c.quiesce()
		owner.injectRecords(resultAfterGap("job", 3, 3))
		lost := 0
		c.drops = func(m clusterMessage) bool {
			_, isTransfer := m.body.(OwnershipTransfer)
			if isTransfer {
				lost++
			}
			return isTransfer && lost <= 2
		}
		c.rejoin(owner)
		c.quiesce()
		So(lost, ShouldEqual, 4) // two are lost, the third arrives, and the fourth asks whether it is fully replicated
		So(c.owner("job") == replica, ShouldBeTrue)
		So(owner.machine.transfers, ShouldBeEmpty)
		So(owner.machine.jobs["job"].durableResults, ShouldEqual, 1)
	})
}

// TestOwnershipTransferRejected drops the better copy before the batch job is transferred to its store.
func TestOwnershipTransferRejected(t *testing.T) {
	Convey("A store that transfers a batch job that was dropped requests inventories again, and reconciles", t, func() {
		c := newCluster(2, 2, 1)
		So(c.nodes[0].submit("job", 6).Status, ShouldEqual, 202)
		owner, replica := c.owner("job"), c.replicaOf("job")
		c.quiesce()
		owner.injectRecords(encodeDropped("job"))
		c.drops = func(m clusterMessage) bool {
			_, isTransfer := m.body.(OwnershipTransfer)
			return isTransfer
		}
		c.rejoin(owner)
		c.quiesce()
		So(owner.machine.transfers, ShouldHaveLength, 1)
		So(owner.machine.Report().Settled, ShouldBeLessThan, c.epoch)
		replica.machine.discard(replica.machine.jobs["job"])
		c.drops = nil
		c.quiesce()
		So(owner.machine.transfers, ShouldBeEmpty)
		So(owner.machine.Report().Settled, ShouldEqual, c.epoch)
	})
}
