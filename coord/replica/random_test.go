package replica

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// runDuration is the duration of load and faults in a run.
const runDuration = 30 * time.Second

// wantedRuns returns the number of runs: the environment variable SEEDS, or count if it isn't set.
func wantedRuns(count int) int {
	if text := os.Getenv("SEEDS"); text != "" {
		if wanted, err := strconv.Atoi(text); err == nil {
			return wanted
		}
	}
	return count
}

// runSeed runs a seed and returns the text of its failure, or "".
func runSeed(seed uint64, bug injectedBug) (c *campaign, violation string) {
	defer func() {
		if caught := recover(); caught != nil {
			violation = fmt.Sprint(caught)
		}
	}()
	return runCampaign(seed, runDuration, bug), ""
}

// TestRandomFaults runs campaigns with fixed seeds. SEEDS=N runs N seeds, FIRST=S starts at seed S.
func TestRandomFaults(t *testing.T) {
	first, _ := strconv.Atoi(os.Getenv("FIRST"))
	count := wantedRuns(defaultRuns)
	const shards = 4
	var acked, faults, recoveries, transferred, next atomic.Int64
	t.Run("shards", func(t *testing.T) {
		for shard := 0; shard < shards; shard++ {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for number := int(next.Add(1)) - 1; number < count; number = int(next.Add(1)) - 1 {
					seed := first + number
					c, violation := runSeed(uint64(seed), "")
					if violation != "" {
						t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, violation)
						continue
					}
					acked.Add(int64(len(c.acked)))
					faults.Add(int64(c.faults))
					recoveries.Add(int64(c.recoveries))
					transferred.Add(int64(c.transferredBytes))
				}
			})
		}
	})
	t.Logf("%d runs, %d commands acknowledged, %d faults, %d starts from a disk, %d bytes transferred",
		count, acked.Load(), faults.Load(), recoveries.Load(), transferred.Load())
}

// TestFrequentDuels runs seeds with continuous duels of proposers and no injected bug.
func TestFrequentDuels(t *testing.T) {
	for seed := uint64(1); seed < 33; seed += 4 {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			if _, violation := runSeed(seed, onlyDuels); violation != "" {
				t.Error(violation)
			}
		})
	}
}

// TestFullDisks runs seeds whose only fault is a disk that refuses writes.
func TestFullDisks(t *testing.T) {
	for seed := uint64(0); seed < defaultRuns/5; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			c := prepareCampaign(seed, runDuration, "")
			c.onlyFault = "full disk"
			c.run()
		})
	}
}

// TestSingleFaultKind runs seeds with a single kind of fault, for each kind.
func TestSingleFaultKind(t *testing.T) {
	for _, kind := range faultKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < runsPerFault; seed++ {
				c := prepareCampaign(seed, runDuration, "")
				c.onlyFault = kind.name
				c.run()
			}
		})
	}
}

// TestClientsTryAllNodes checks that a simulated client without an answer tries every other node before it returns to
// a node. In seed 7002540, three clients returned to the same partitioned machine by chance, which caused two seconds
// without an acknowledgement.
func TestClientsTryAllNodes(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		c := prepareCampaign(seed, runDuration, "")
		c.runUntil(time.Second)
		var attempted []*simulatedNode
		for range len(c.servingNodes()) {
			n := c.nextNode(attempted)
			for _, earlier := range attempted {
				if n == earlier {
					t.Fatalf("seed %d: a client returns to %s before it has tried all nodes", seed, n.name)
				}
			}
			attempted = append(attempted, n)
		}
	}
}

// TestClientsOfPartitionedNode reproduces the situation of seed 7002540, in which all clients have proposed their
// commands through the partitioned machine. The commands must be acknowledged through the other machines within
// maxUnavailability.
func TestClientsOfPartitionedNode(t *testing.T) {
	c := &campaign{simulatedCluster: startSimulatedCluster(22, 3, 1), end: runDuration}
	c.runUntil(2 * time.Second)
	partitioned := c.nodes[1]
	c.partition(partitioned, c.nodes[0])
	c.partition(partitioned, c.nodes[2])
	lost, waiting := c.now, 3
	for client := range 3 {
		id := fmt.Sprint("order-", client)
		partitioned.propose(id, nil)
		c.after(time.Second, func() { c.attempt(id, []*simulatedNode{partitioned}, func() { waiting-- }) })
	}
	if !c.runWhile(maxUnavailability, func() bool { return waiting > 0 }) {
		t.Errorf("%d commands aren't acknowledged %v after the partition", waiting, c.now-lost)
	}
}
