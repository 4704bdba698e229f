package replica

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// worldLength is how long a world is under load and faults.
const runDuration = 30 * time.Second

func wantedRuns(count int) int {
	if text := os.Getenv("SEEDS"); text != "" {
		if wanted, err := strconv.Atoi(text); err == nil {
			return wanted
		}
	}
	return count
}

// play runs a world and returns what it broke, if anything.
func runSeed(seed uint64, bug injectedBug) (c *campaign, broken string) {
	defer func() {
		if caught := recover(); caught != nil {
			broken = fmt.Sprint(caught)
		}
	}()
	return runCampaign(seed, runDuration, bug), ""
}

// TestRandomWorlds plays worlds with fixed seeds; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomFaults(t *testing.T) {
	first, _ := strconv.Atoi(os.Getenv("FIRST"))
	count := wantedRuns(defaultRuns)
	const shards = 4
	var acked, faults, recoveries, copied, next atomic.Int64
	t.Run("shards", func(t *testing.T) {
		for shard := 0; shard < shards; shard++ {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for number := int(next.Add(1)) - 1; number < count; number = int(next.Add(1)) - 1 {
					seed := first + number
					c, broken := runSeed(uint64(seed), "")
					if broken != "" {
						t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, broken)
						continue
					}
					acked.Add(int64(len(c.acked)))
					faults.Add(int64(c.faults))
					recoveries.Add(int64(c.recoveries))
					copied.Add(int64(c.transferredBytes))
				}
			})
		}
	})
	t.Logf("%d worlds, %d orders acknowledged, %d faults, %d starts from a disk, %d bytes copied",
		count, acked.Load(), faults.Load(), recoveries.Load(), copied.Load())
}

// TestFrequentDuels plays worlds in which proposers meet all the time, without any bug.
func TestFrequentDuels(t *testing.T) {
	for seed := uint64(1); seed < 33; seed += 4 {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			if _, broken := runSeed(seed, onlyDuels); broken != "" {
				t.Error(broken)
			}
		})
	}
}

// TestFullDisks plays worlds in which disks refuse writes for a while.
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

// TestOneHazard plays worlds in which one kind of trouble comes again and again.
func TestSingleFaultKind(t *testing.T) {
	for _, h := range faultKinds {
		t.Run(h.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < runsPerFault; seed++ {
				c := prepareCampaign(seed, runDuration, "")
				c.onlyFault = h.name
				c.run()
			}
		})
	}
}

// TestClientsTurnElsewhere checks that a client that gets no answer tries each other node before it comes back to one: three clients
// that happened to choose the same cut-off machine again were seed 7002540's two seconds without an acknowledgement.
func TestClientsTryAllNodes(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		c := prepareCampaign(seed, runDuration, "")
		c.runUntil(time.Second)
		var attempted []*simulatedNode
		for range len(c.servingNodes()) {
			n := c.nextNode(attempted)
			for _, earlier := range attempted {
				if n == earlier {
					t.Fatalf("seed %d: a client comes back to %s before it has tried all", seed, n.name)
				}
			}
			attempted = append(attempted, n)
		}
	}
}

// TestClientOfCutOffMachine plays the moment of seed 7002540 with all clients at the machine that is cut off: the orders are
// acknowledged through the others in time.
func TestClientsOfPartitionedNode(t *testing.T) {
	c := &campaign{simulatedCluster: startSimulatedCluster(22, 3, 1), end: runDuration}
	c.runUntil(2 * time.Second)
	mute := c.nodes[1]
	c.partition(mute, c.nodes[0])
	c.partition(mute, c.nodes[2])
	lost, waiting := c.now, 3
	for client := range 3 {
		id := fmt.Sprint("order-", client)
		mute.propose(id, nil)
		c.after(time.Second, func() { c.attempt(id, []*simulatedNode{mute}, func() { waiting-- }) })
	}
	if !c.runWhile(maxUnavailability, func() bool { return waiting > 0 }) {
		t.Errorf("%d orders aren't acknowledged %v after the cut", waiting, c.now-lost)
	}
}
