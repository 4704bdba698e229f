package membership

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// sizes returns the numbers of machines to test with. The environment variable MEMBERSHIP_SIZE adds one, such as
// 2000.
func sizes(t *testing.T, counts ...int) []int {
	counts = slices.Compact(slices.Clone(counts))
	if text := os.Getenv("MEMBERSHIP_SIZE"); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		counts = append(counts, count)
	}
	return counts
}

// eachSize runs a test for each number of machines, and with ten seeds for the small numbers.
func eachSize(t *testing.T, counts []int, test func(t *testing.T, c *cluster)) {
	for _, count := range sizes(t, counts...) {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			for seed := range uint64(min(10, max(1, 140/count))) {
				test(t, newCluster(t, seed+1, count))
			}
		})
	}
}

var (
	small = []int{14, 100}
	large = []int{14, 100, maxMachines}
)

// TestDeathIsKnown measures the time from the death of a machine until all others know it.
func TestDeathIsKnown(t *testing.T) {
	eachSize(t, large, func(t *testing.T, c *cluster) {
		joined := c.converge()
		c.simulation.Run(10 * time.Second)
		c.resetCounts()
		c.simulation.Run(10 * time.Second)
		quiet := float64(c.messages) / float64(len(c.names)) / 10
		quietUpdates := float64(c.updates) / float64(len(c.names)) / 10
		c.resetCounts()
		victim := c.names[len(c.names)/2]
		c.stop(victim)
		first := c.runUntil(10*time.Second, func() bool { return c.deathKnown[victim] > 0 })
		all := first + c.runUntil(10*time.Second, func() bool { return c.deathKnown[victim] == len(c.nodes) })
		t.Logf("%d machines: joined in %s; a machine sends %.1f messages/s and %.2f updates/s when quiet; "+
			"a death is known first in %s, to all in %s; false suspicions %d",
			len(c.names), joined, quiet, quietUpdates, first, all, total(c.suspicions))
		c.checkNoFalseDeaths()
		if limit := 4 * time.Second; all > limit {
			t.Errorf("seed %d: death known to all in %s; want at most %s", c.simulation.Random.Seed(), all, limit)
		}
		if quiet > 20 {
			t.Errorf("a machine sends %.1f messages/s without changes; want at most 20", quiet)
		}
	})
}

// TestNoFalseSuspicionsWithoutFaults checks that a system with message loss, and without any other fault, has no
// false suspicions.
func TestNoFalseSuspicionsWithoutFaults(t *testing.T) {
	eachSize(t, large, func(t *testing.T, c *cluster) {
		c.converge()
		c.simulation.Links.Default.Loss = 0.02
		c.simulation.Run(30 * time.Second)
		c.checkNoFalseDeaths()
		if count := total(c.suspicions); count > 0 {
			t.Errorf("seed %d: %d false suspicions", c.simulation.Random.Seed(), count)
		}
	})
}

// TestOneWayPartitions partitions links in one direction, also some that carry heartbeats.
func TestOneWayPartitions(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		victim := c.nodes[c.names[1]]
		for _, monitor := range victim.table.ring().Successors(c.names[1], 2) {
			c.simulation.Links.Partition(c.names[1], monitor)
		}
		for range len(c.names) {
			from := c.names[c.simulation.Random.IntN(len(c.names))]
			to := c.names[c.simulation.Random.IntN(len(c.names))]
			c.simulation.Links.Partition(from, to)
		}
		c.simulation.Run(30 * time.Second)
		c.checkNoFalseDeaths()
		t.Logf("%d machines, as many one-way partitions: %d false suspicions", len(c.names), total(c.suspicions))
		if count := total(c.suspicions); count > len(c.names) {
			t.Errorf("seed %d: %d false suspicions", c.simulation.Random.Seed(), count)
		}
	})
}

// TestMachineThatReceivesNothingSuspectsNobody loses all messages to one machine, while the messages that it sends
// arrive. The machine must not suspect others because of its own fault.
func TestMachineThatReceivesNothingSuspectsNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		isolated := c.names[2]
		c.faulty[isolated] = true
		for _, name := range c.names {
			c.simulation.Links.Partition(name, isolated)
		}
		c.simulation.Run(20 * time.Second)
		c.checkNoFalseDeaths()
		if c.suspicions[isolated] > 0 {
			t.Errorf("seed %d: suspects %d others; want none", c.simulation.Random.Seed(), c.suspicions[isolated])
		}
		if !c.nodes[isolated].Isolated(c.simulation.Now()) {
			t.Error("Isolated() is false on the machine that receives nothing; want true")
		}
	})
}

// TestPausedMachineSuspectsNobody pauses machines and resumes them. They must not suspect others, although their
// own timeouts passed during the pause.
func TestPausedMachineSuspectsNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		paused := c.names[:max(1, len(c.names)/20)]
		for _, name := range paused {
			c.faulty[name] = true
			c.simulation.Pause(name)
		}
		c.simulation.Run(8 * time.Second)
		for _, name := range paused {
			c.simulation.Resume(name)
		}
		c.simulation.Run(time.Second)
		c.runUntil(10*time.Second, c.converged)
		c.checkNoFalseDeaths()
		for _, name := range paused {
			if c.suspicions[name] > 0 {
				t.Errorf("seed %d: %s suspects %d others", c.simulation.Random.Seed(), name, c.suspicions[name])
			}
		}
	})
}

// TestSlowMachinesSuspectNobody slows machines so much that each timer and message is up to two seconds late.
func TestSlowMachinesSuspectNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		slow := c.names[:max(1, len(c.names)/20)]
		for _, name := range slow {
			c.faulty[name] = true
			c.simulation.SetLag(name, 2*time.Second)
		}
		c.simulation.Run(30 * time.Second)
		c.checkNoFalseDeaths()
		falseSuspicions := 0
		for _, name := range slow {
			falseSuspicions += c.suspicions[name]
		}
		t.Logf("%d machines, %d slow: %d false suspicions in all", len(c.names), len(slow), total(c.suspicions))
		if falseSuspicions > 0 {
			t.Errorf("seed %d: slow machines suspect %d others", c.simulation.Random.Seed(), falseSuspicions)
		}
	})
}

// TestLossOfAThird stops a third of the machines at once.
func TestLossOfAThird(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		for i, name := range c.names {
			if i%3 == 0 {
				c.stop(name)
			}
		}
		took := c.runUntil(30*time.Second, c.converged)
		t.Logf("%d machines: a third lost, agreed in %s", len(c.names), took)
		c.checkNoFalseDeaths()
	})
}

// TestPartitionHeals partitions the machines into two halves for a while.
func TestPartitionHeals(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		half := len(c.names) / 2
		c.simulation.Links.PartitionGroups(c.names[:half], c.names[half:])
		c.simulation.Run(20 * time.Second)
		c.simulation.Links.HealAll()
		took := c.runUntil(30*time.Second, c.converged)
		t.Logf("%d machines: agreed %s after the partition", len(c.names), took)
	})
}

// TestAllRestartAtOnce kills all processes, which are back within a second.
func TestAllRestartAtOnce(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		for _, name := range c.names {
			c.stop(name)
			c.simulation.After(c.simulation.Random.Between(200*time.Millisecond, time.Second), func() { c.start(name) })
		}
		c.simulation.Run(time.Second)
		took := c.runUntil(30*time.Second, c.converged)
		t.Logf("%d machines: agreed %s after the restart", len(c.names), took)
	})
}

// TestLeave checks that all machines learn of a machine that leaves, without any suspicion.
func TestLeave(t *testing.T) {
	eachSize(t, small, func(t *testing.T, c *cluster) {
		c.converge()
		leaver := c.names[len(c.names)-1]
		c.handle(leaver, c.nodes[leaver].Leave(c.simulation.Now()))
		c.simulation.Stop(leaver)
		delete(c.nodes, leaver)
		took := c.runUntil(10*time.Second, c.converged)
		t.Logf("%d machines: known to all in %s", len(c.names), took)
		if total(c.suspicions) > 0 {
			t.Errorf("seed %d: suspicions %v; want none", c.simulation.Random.Seed(), c.suspicions)
		}
	})
}

// seeds returns the number of random runs of a test: the value of the environment variable SIMULATION_SEEDS, or
// defaultCount if it isn't set.
func seeds(t *testing.T, defaultCount int) int {
	text := os.Getenv("SIMULATION_SEEDS")
	if text == "" {
		return defaultCount
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestRandomFaults stops, starts, pauses, slows and partitions machines at random, and checks that all tables agree
// once all faults have ended.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(seeds(t, 40)) {
		c := newCluster(t, seed+100, 12)
		c.converge()
		for range 40 {
			c.injectFault()
			c.simulation.Run(c.simulation.Random.Between(0, 2*time.Second))
		}
		c.simulation.Links.HealAll()
		for _, name := range c.names {
			c.simulation.Resume(name)
			c.simulation.SetLag(name, 0)
			if _, ok := c.nodes[name]; !ok {
				c.start(name)
			}
		}
		c.runUntil(60*time.Second, c.converged)
	}
}

// injectFault injects or ends one random fault of a random machine or link.
func (c *cluster) injectFault() {
	random := c.simulation.Random
	name := c.names[random.IntN(len(c.names))]
	other := c.names[random.IntN(len(c.names))]
	_, running := c.nodes[name]
	switch random.IntN(7) {
	case 0:
		if running {
			c.stop(name)
		}
	case 1:
		if !running {
			c.start(name)
		}
	case 2:
		c.simulation.Pause(name)
	case 3:
		c.simulation.Resume(name)
	case 4:
		c.simulation.SetLag(name, random.Between(0, 3*time.Second))
	case 5:
		c.simulation.Links.Partition(name, other)
	case 6:
		c.simulation.Links.Heal(name, other)
	}
}
