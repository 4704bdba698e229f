package replica

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the tests of the limit of queued tokens, in simulations and step by step.

// testTokenLimit is the limit of queued tokens in simulations that have one. It suffices for a few batch jobs.
const testTokenLimit = 500

// itemTokens returns the number of tokens of a batch job's item with an index.
func itemTokens(index int) int { return 20 + 37*index%50 }

// queuedTokens returns the number of tokens that are certainly queued: those of accepted items that no server has
// finished and that no store can have given up, in batch jobs whose end no client has requested.
func (c *clients) queuedTokens() int64 {
	sum := int64(0)
	for _, j := range c.order {
		if !j.accepted || j.endRequested || c.givenUp(j) {
			continue
		}
		for i := range j.items {
			if !j.done[i] {
				sum += int64(j.items[i].Tokens)
			}
		}
	}
	return sum
}

// checkTokenLimit checks the limit when a batch job is accepted.
func (c *clients) checkTokenLimit(j *clientJob) {
	if queued := c.queuedTokens(); c.sim.tokenLimit > 0 && queued > c.sim.tokenLimit {
		c.sim.fail("%s is accepted: %d tokens are queued, the limit is %d:%s", j.id, queued, c.sim.tokenLimit, c.sim.describeClaims())
	}
}

// auditCapacity checks that the whole limit is available once all items are finished, so that no capacity stays granted
// for ever.
func (sim *storeSimulation) auditCapacity() {
	if sim.tokenLimit == 0 || sim.failure != nil || sim.clients.queuedTokens() > 0 {
		return
	}
	var items []job.Item
	for left := sim.tokenLimit; left > 0; left -= min(left, testTokenLimit/5) {
		items = append(items, job.Item{
			ID: "room-" + strconv.FormatInt(left, 10), Path: "/p", Tokens: int(min(left, testTokenLimit/5)),
		})
	}
	status := 0
	call := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "room", Tenant: "t", Route: "r"}
	sim.clients.jobs["room"] = &clientJob{id: "room", items: items, done: map[int]bool{}, unanswered: 1, attempts: 1}
	sim.clients.call(sim.someMember(), call, items, callHops, func(answer protocol.BatchAnswer) { status = answer.Status })
	sim.runUntil(sim.now + 4*time.Second)
	if status != 202 {
		sim.fail("a batch job as large as the limit is answered %d, want 202 (nothing is queued):%s", status, sim.describeClaims())
	}
}

// describeClaims returns a text with the tokens that each store uses, was granted and counts.
func (sim *storeSimulation) describeClaims() string {
	text := ""
	for _, s := range sim.remaining() {
		if !s.up {
			continue
		}
		m := s.machine
		text += "\n" + string(s.key()) + " epoch " + strconv.FormatUint(m.view.Epoch, 10) +
			" reconciled " + strconv.FormatBool(m.reconciled)
		for account, used := range m.usedTokens() {
			text += " used " + strconv.FormatInt(used, 10) + " granted " + strconv.FormatInt(m.claims.granted[account], 10)
		}
		for _, account := range m.claims.counter.Accounts() {
			text += " counts " + strconv.FormatInt(m.claims.counter.Total(account), 10)
		}
	}
	return text
}

// injectCounterBugs corrupts the counts of queued tokens in state machines at random intervals.
func (c *campaign) injectCounterBugs() {
	c.schedule(c.randomDuration(time.Millisecond, 10*time.Millisecond), c.injectCounterBugs)
	for _, s := range c.remaining() {
		if !s.up || s.paused || !s.machine.reconciled {
			continue
		}
		m := s.machine
		if c.bug == bugKeepsGrantsAcrossViews {
			account := queuedtokens.Account{Tenant: "t", Route: "r"}
			m.claims.granted[account] = max(m.claims.granted[account], c.tokenLimit)
			continue
		}
		m.eachOtherMember(func(other protocol.Process) {
			m.claims.counter.Apply(placement.KeyOf(other), queuedtokens.Claim{})
		})
	}
}

// submitTokens submits a batch job of one item with a number of tokens at a node, and returns the status.
func (n *clusterNode) submitTokens(id string, tokens int) int {
	items := []job.Item{{ID: id + "-0", Path: "/p", Body: []byte("body"), Tokens: tokens}}
	return n.call(protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: id, Tenant: "t", Route: "r"}, items).Status
}

// counter returns the node that counts the tests' account.
func (c *cluster) counter() *clusterNode {
	key := c.nodes[0].machine.counterOf(queuedtokens.Account{Tenant: "t", Route: "r"})
	return c.nodes[slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.key() == key })]
}

// TestQueuedTokensAreLimited submits batch jobs up to and beyond the limit, also after the counter has changed.
func TestQueuedTokensAreLimited(t *testing.T) {
	Convey("Batch jobs are accepted up to the limit over all stores, and again once items are finished", t, func() {
		c := newCluster(5, 2, 1)
		c.tokenLimit = 100
		c.quiesce()
		So(c.nodes[0].submitTokens("one", 60), ShouldEqual, 202)
		So(c.nodes[1].submitTokens("large", 50), ShouldEqual, 429)
		So(c.nodes[2].submitTokens("two", 40), ShouldEqual, 202)
		So(c.nodes[3].submitTokens("three", 1), ShouldEqual, 429)
		So(c.nodes[0].submitTokens("more than all", 101), ShouldEqual, 429)
		c.owner("one").finish("one", 0)
		c.quiesce()
		So(c.nodes[1].submitTokens("large", 50), ShouldEqual, 202)
		again := protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "large", Tenant: "t", Route: "r"}
		So(c.nodes[4].call(again, nil).Owner, ShouldEqual, c.nodes[1].process().IP) // a known batch job needs no capacity
		So(c.nodes[4].submitTokens("three", 11), ShouldEqual, 429)
	})
	Convey("The end of a batch job frees capacity", t, func() {
		c := newCluster(3, 2, 1)
		c.tokenLimit = 100
		c.quiesce()
		So(c.nodes[0].submitTokens("one", 100), ShouldEqual, 202)
		end := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "one", Tenant: "t"}
		So(c.nodes[0].call(end, nil).Status, ShouldEqual, 200)
		c.quiesce()
		So(c.nodes[1].submitTokens("two", 100), ShouldEqual, 202)
	})
	Convey("The next counter knows what is queued, after a loss, a restart, and a loss of all power", t, func() {
		c := newCluster(5, 2, 1)
		c.tokenLimit = 100
		c.quiesce()
		So(c.nodes[0].submitTokens("one", 60), ShouldEqual, 202)
		counter := c.counter()
		counter.kill()
		counter.start()
		c.rejoin(counter)
		c.quiesce()
		So(c.nodes[1].submitTokens("a", 41), ShouldEqual, 429)
		lost := c.counter()
		lost.wipe()
		var left []*clusterNode
		for _, n := range c.nodes {
			if n != lost {
				left = append(left, n)
			}
		}
		c.installView(left...)
		c.quiesce()
		So(left[1].submitTokens("b", 41), ShouldEqual, 429)
		So(left[1].submitTokens("c", 40), ShouldEqual, 202)
		for _, n := range left {
			n.losePower()
		}
		for _, n := range left {
			n.start()
			c.rejoin(n)
		}
		c.quiesce()
		So(left[2].submitTokens("d", 1), ShouldEqual, 429)
		c.owner("c").finish("c", 0)
		c.quiesce()
		So(left[2].submitTokens("d", 40), ShouldEqual, 202)
	})
	Convey("A changed limit applies to the next batch jobs, and counts the tokens that are already queued", t, func() {
		c := newCluster(3, 2, 1)
		c.quiesce()
		So(c.nodes[0].submitTokens("free", 1000), ShouldEqual, 202)
		c.tokenLimit = 1500
		So(c.nodes[1].submitTokens("two", 501), ShouldEqual, 429)
		So(c.nodes[1].submitTokens("two", 500), ShouldEqual, 202)
		c.tokenLimit = 1200
		So(c.nodes[2].submitTokens("three", 1), ShouldEqual, 429)
		c.tokenLimit = 0
		So(c.nodes[2].submitTokens("three", 5000), ShouldEqual, 202)
	})
	Convey("No capacity is granted or denied while a member hasn't claimed", t, func() {
		c := newCluster(5, 2, 1)
		c.tokenLimit = 100
		c.quiesce()
		counter := c.counter()
		unclaimed := c.nodes[(counter.number+1)%5]
		submitter := c.nodes[(counter.number+2)%5]
		c.drops = func(message clusterMessage) bool {
			_, claim := message.body.(Claim)
			return claim && message.from == unclaimed.process()
		}
		So(submitter.submitTokens("one", 10), ShouldEqual, 503)
		c.drops = nil
		So(submitter.submitTokens("one", 10), ShouldEqual, 202)
	})
}
