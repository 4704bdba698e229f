package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests the answers to clients that call any gateway, and so any store, while stores leave and join.

// callOwner makes a call at a node and repeats it at the owners that the answers name. It returns the last answer.
func (n *clusterNode) callOwner(call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	answer := n.call(call, items)
	for range 3 {
		if answer.Owner == "" {
			return answer
		}
		for _, other := range n.cluster.running() {
			if other.process().IP == answer.Owner {
				answer = other.call(call, items)
			}
		}
	}
	return answer
}

// isAcceptable reports whether an answer may be given to a call for an accepted batch job. Other statuses would deny
// that the batch job exists.
func isAcceptable(answer protocol.BatchAnswer, success int) bool {
	return answer.Status == success || answer.Status == 503 || answer.Status == 504 || answer.Owner != ""
}

// checkCalls makes calls of each kind at a node, and checks the answers.
func (n *clusterNode) checkCalls(t *testing.T, random *rand.Rand, listed map[int]bool) {
	t.Helper()
	index := random.IntN(8)
	body := n.callOwner(protocol.BatchCall{
		Operation: protocol.BatchBody, BatchJob: "job", Tenant: "t", Item: fmt.Sprintf("job-%d", index),
	}, nil)
	if !isAcceptable(body, 200) && !listed[index] {
		t.Fatalf("body of item %d, not listed: %d from %s", index, body.Status, n.key())
	}
	start := random.IntN(12)
	read := n.callOwner(protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: "job", Tenant: "t", Start: start}, nil)
	if !isAcceptable(read, 200) {
		t.Fatalf("read from %d: %d from %s", start, read.Status, n.key())
	}
	again := n.callOwner(protocol.BatchCall{
		Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: "t", Route: "r",
	}, nil)
	if !isAcceptable(again, 202) {
		t.Fatalf("repeated submission: %d from %s", again.Status, n.key())
	}
	end := n.callOwner(protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "over", Tenant: "t"}, nil)
	if !isAcceptable(end, 200) {
		t.Fatalf("repeated end: %d from %s", end.Status, n.key())
	}
}

// injectFault injects one fault, which makes at most one store absent. The caller injects the next only once all stores
// have reconciled.
func (c *cluster) injectFault(random *rand.Rand) {
	n := c.nodes[random.IntN(len(c.nodes))]
	switch random.IntN(5) {
	case 0:
		n.kill()
		n.start()
		c.rejoin(n)
	case 1:
		n.kill()
		c.installView(c.except(n)...)
		n.start()
	case 2:
		n.wipe()
		c.installView(c.except(n)...)
		n.start()
	case 3:
		n.losePower()
		c.installView(c.except(n)...)
		n.start()
	case 4:
		n.state = protocol.StoreRetiring
		c.installView(c.nodes...)
		n.state = protocol.StoreActive
	}
}

// TestConcurrentClients makes calls of each kind at all stores, immediately after each fault and once all stores have
// reconciled.
func TestConcurrentClients(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		c := newCluster(4, 2, seed)
		if c.nodes[0].submit("job", 8).Status != 202 || c.nodes[1].submit("over", 2).Status != 202 {
			t.Fatal("not accepted")
		}
		over := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "over", Tenant: "t"}
		if answer := c.nodes[2].callOwner(over, nil); answer.Status != 200 {
			t.Fatalf("not ended: %d", answer.Status)
		}
		listed := map[int]bool{}
		for range 8 {
			c.injectFault(random)
			for _, n := range c.running() { // immediately after the fault; below again once all have reconciled
				n.checkCalls(t, random, listed)
			}
			c.installView(c.nodes...)
			c.quiesce()
			if owner := c.owner("job"); owner != nil && owner.machine.jobs["job"].replicated && len(listed) < 7 {
				index := len(listed)
				listed[index] = true
				owner.finish("job", index)
			}
			c.quiesce()
			for _, n := range c.nodes {
				n.checkCalls(t, random, listed)
			}
			texts, status := c.nodes[0].readAnywhere("job")
			if status != 200 || len(texts) != len(listed) {
				t.Fatalf("seed %d: %d, %d results of %d", seed, status, len(texts), len(listed))
			}
		}
	}
}
