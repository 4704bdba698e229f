package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sprucelane.example/sprucelane/internal/batch/job"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file tests what other clients are told, who call at any gateway and so at any store, while stores come and go.

// follow makes a call at a node and goes to the owners that are named. It gives the last answer.
func (n *clusterNode) follow(call protocol.BatchCall, items []job.Item) protocol.BatchAnswer {
	answer := n.call(call, items)
	for range 3 {
		if answer.Owner == "" {
			return answer
		}
		for _, other := range n.cluster.alive() {
			if other.process().IP == answer.Owner {
				answer = other.call(call, items)
			}
		}
	}
	return answer
}

// allowed tells whether an answer may be given to a caller of an accepted, open batch job; other statuses would deny it.
func allowed(answer protocol.BatchAnswer, good int) bool {
	return answer.Status == good || answer.Status == 503 || answer.Status == 504 || answer.Owner != ""
}

// askAll makes calls of each kind at a node.
func (n *clusterNode) askAll(t *testing.T, random *rand.Rand, listed map[int]bool) {
	t.Helper()
	index := random.IntN(8)
	body := n.follow(protocol.BatchCall{Operation: protocol.BatchBody, BatchJob: "job", Tenant: "t", Item: fmt.Sprintf("job-%d", index)}, nil)
	if !allowed(body, 200) && !listed[index] {
		t.Fatalf("body of item %d, not listed: %d from %s", index, body.Status, n.key())
	}
	start := random.IntN(12)
	read := n.follow(protocol.BatchCall{Operation: protocol.BatchRead, BatchJob: "job", Tenant: "t", Start: start}, nil)
	if !allowed(read, 200) {
		t.Fatalf("read from %d: %d from %s", start, read.Status, n.key())
	}
	again := n.follow(protocol.BatchCall{Operation: protocol.BatchSubmit, BatchJob: "job", Tenant: "t", Route: "r"}, nil)
	if !allowed(again, 202) {
		t.Fatalf("sent again: %d from %s", again.Status, n.key())
	}
	end := n.follow(protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "over", Tenant: "t"}, nil)
	if !allowed(end, 200) {
		t.Fatalf("ended again: %d from %s", end.Status, n.key())
	}
}

// strike lets one thing happen to a cluster; no more than one store is away at a time, and the next goes only once all
// stand whole.
func (c *cluster) strike(random *rand.Rand) {
	n := c.nodes[random.IntN(len(c.nodes))]
	switch random.IntN(5) {
	case 0:
		n.kill()
		n.start()
		c.rejoin(n)
	case 1:
		n.kill()
		c.view(c.others(n)...)
		n.start()
	case 2:
		n.wipe()
		c.view(c.others(n)...)
		n.start()
	case 3:
		n.losePower()
		c.view(c.others(n)...)
		n.start()
	case 4:
		n.state = protocol.StoreRetiring
		c.view(c.nodes...)
		n.state = protocol.StoreActive
	}
}

func TestOtherClients(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		c := newCluster(4, 2, seed)
		if c.nodes[0].submit("job", 8).Status != 202 || c.nodes[1].submit("over", 2).Status != 202 {
			t.Fatal("not accepted")
		}
		over := protocol.BatchCall{Operation: protocol.BatchEnd, BatchJob: "over", Tenant: "t"}
		if answer := c.nodes[2].follow(over, nil); answer.Status != 200 {
			t.Fatalf("not ended: %d", answer.Status)
		}
		listed := map[int]bool{}
		for range 8 {
			c.strike(random)
			for _, n := range c.alive() { // right after it, and when all is calm
				n.askAll(t, random, listed)
			}
			c.view(c.nodes...)
			c.settle()
			if owner := c.owner("job"); owner != nil && owner.machine.jobs["job"].replicated && len(listed) < 7 {
				index := len(listed)
				listed[index] = true
				owner.finish("job", index)
			}
			c.settle()
			for _, n := range c.nodes {
				n.askAll(t, random, listed)
			}
			texts, status := c.nodes[0].readAnywhere("job")
			if status != 200 || len(texts) != len(listed) {
				t.Fatalf("seed %d: %d, %d results of %d", seed, status, len(texts), len(listed))
			}
		}
	}
}
