package membership

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// sizes returns the numbers of machines to test with. The variable MEMBERSHIP_SIZE adds one, such as 2000.
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

// eachSize runs a test with some numbers of machines, and with ten seeds for few of them.
func eachSize(t *testing.T, counts []int, test func(t *testing.T, f *cluster)) {
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
	large = []int{14, 100, largest}
)

// TestDeathIsKnown measures the time from the death of a machine until all others know it.
func TestDeathIsKnown(t *testing.T) {
	eachSize(t, large, func(t *testing.T, f *cluster) {
		joined := f.converge()
		f.world.Run(10 * time.Second)
		f.resetCounts()
		f.world.Run(10 * time.Second)
		quiet := float64(f.messages) / float64(len(f.names)) / 10
		quietUpdates := float64(f.updates) / float64(len(f.names)) / 10
		f.resetCounts()
		victim := f.names[len(f.names)/2]
		f.stop(victim)
		first := f.runUntil(10*time.Second, func() bool { return f.deathKnown[victim] > 0 })
		all := first + f.runUntil(10*time.Second, func() bool { return f.deathKnown[victim] == len(f.nodes) })
		t.Logf("%d machines: joined in %s; a machine sends %.1f messages/s and %.2f updates/s when quiet; a death is known first in %s, to all in %s; false suspicions %d",
			len(f.names), joined, quiet, quietUpdates, first, all, total(f.suspicions))
		f.noFalseDeath()
		if limit := 4 * time.Second; all > limit {
			t.Errorf("seed %d: known to all in %s, over %s", f.world.Random.Seed(), all, limit)
		}
		if quiet > 20 {
			t.Errorf("%.1f messages/s", quiet)
		}
	})
}

// TestNobodyIsAccusedInQuiet runs with losses and without any fault.
func TestNoFalseSuspicionsWithoutFaults(t *testing.T) {
	eachSize(t, large, func(t *testing.T, f *cluster) {
		f.converge()
		f.world.Links.Default.Loss = 0.02
		f.world.Run(30 * time.Second)
		f.noFalseDeath()
		if count := total(f.suspicions); count > 0 {
			t.Errorf("seed %d: %d false suspicions", f.world.Random.Seed(), count)
		}
	})
}

// TestOneWayCuts cuts single directions, also those on which heartbeats go.
func TestOneWayPartitions(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		victim := f.nodes[f.names[1]]
		for _, monitor := range victim.table.ring().Successors(f.names[1], 2) {
			f.world.Links.Partition(f.names[1], monitor)
		}
		for range len(f.names) {
			from := f.names[f.world.Random.IntN(len(f.names))]
			to := f.names[f.world.Random.IntN(len(f.names))]
			f.world.Links.Partition(from, to)
		}
		f.world.Run(30 * time.Second)
		f.noFalseDeath()
		t.Logf("%d machines, as many cuts: %d false suspicions", len(f.names), total(f.suspicions))
		if count := total(f.suspicions); count > len(f.names) {
			t.Errorf("seed %d: %d false suspicions", f.world.Random.Seed(), count)
		}
	})
}

// TestDeafMachineAccusesNobody cuts all that goes to one machine, while what it sends arrives.
func TestDeafMachineSuspectsNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		deaf := f.names[2]
		f.faulty[deaf] = true
		for _, name := range f.names {
			f.world.Links.Partition(name, deaf)
		}
		f.world.Run(20 * time.Second)
		f.noFalseDeath()
		if f.suspicions[deaf] > 0 {
			t.Errorf("seed %d: the deaf machine suspects %d others", f.world.Random.Seed(), f.suspicions[deaf])
		}
		if !f.nodes[deaf].Isolated(f.world.Now()) {
			t.Error("the deaf machine doesn't know")
		}
	})
}

// TestFrozenMachineAccusesNobody freezes machines and lets them go on.
func TestPausedMachineSuspectsNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		frozen := f.names[:max(1, len(f.names)/20)]
		for _, name := range frozen {
			f.faulty[name] = true
			f.world.Pause(name)
		}
		f.world.Run(8 * time.Second)
		for _, name := range frozen {
			f.world.Resume(name)
		}
		f.world.Run(time.Second)
		f.runUntil(10*time.Second, f.converged)
		f.noFalseDeath()
		for _, name := range frozen {
			if f.suspicions[name] > 0 {
				t.Errorf("seed %d: %s suspects %d others", f.world.Random.Seed(), name, f.suspicions[name])
			}
		}
	})
}

// TestSlowMachinesAccuseNobody slows machines so much that each timer and message is up to two seconds late.
func TestSlowMachinesSuspectNobody(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		slow := f.names[:max(1, len(f.names)/20)]
		for _, name := range slow {
			f.faulty[name] = true
			f.world.SetLag(name, 2*time.Second)
		}
		f.world.Run(30 * time.Second)
		f.noFalseDeath()
		accusations := 0
		for _, name := range slow {
			accusations += f.suspicions[name]
		}
		t.Logf("%d machines, %d slow: %d false suspicions in all", len(f.names), len(slow), total(f.suspicions))
		if accusations > 0 {
			t.Errorf("seed %d: slow machines suspect %d others", f.world.Random.Seed(), accusations)
		}
	})
}

// TestLossOfAThird stops a third of the machines at once.
func TestLossOfAThird(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		for i, name := range f.names {
			if i%3 == 0 {
				f.stop(name)
			}
		}
		took := f.runUntil(30*time.Second, f.converged)
		t.Logf("%d machines: a third lost, agreed in %s", len(f.names), took)
		f.noFalseDeath()
	})
}

// TestTwoHalvesFindTogether cuts the machines in two for a while.
func TestPartitionHeals(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		half := len(f.names) / 2
		f.world.Links.PartitionGroups(f.names[:half], f.names[half:])
		f.world.Run(20 * time.Second)
		f.world.Links.HealAll()
		took := f.runUntil(30*time.Second, f.converged)
		t.Logf("%d machines: agreed %s after the cut", len(f.names), took)
	})
}

// TestAllRestartAtOnce kills all processes, which are back within a second.
func TestAllRestartAtOnce(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		for _, name := range f.names {
			f.stop(name)
			f.world.After(f.world.Random.Between(200*time.Millisecond, time.Second), func() { f.start(name) })
		}
		f.world.Run(time.Second)
		took := f.runUntil(30*time.Second, f.converged)
		t.Logf("%d machines: agreed %s after the restart", len(f.names), took)
	})
}

// TestPlannedEnd lets a machine leave, which all know without any suspicion.
func TestLeave(t *testing.T) {
	eachSize(t, small, func(t *testing.T, f *cluster) {
		f.converge()
		leaver := f.names[len(f.names)-1]
		f.handle(leaver, f.nodes[leaver].Leave(f.world.Now()))
		f.world.Stop(leaver)
		delete(f.nodes, leaver)
		took := f.runUntil(10*time.Second, f.converged)
		t.Logf("%d machines: known to all in %s", len(f.names), took)
		if total(f.suspicions) > 0 {
			t.Errorf("seed %d: suspected %v", f.world.Random.Seed(), f.suspicions)
		}
	})
}

// seeds returns how many random runs a test does: some, or as many as the variable SIMULATION_SEEDS says.
func seeds(t *testing.T, some int) int {
	text := os.Getenv("SIMULATION_SEEDS")
	if text == "" {
		return some
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// TestRandomTrouble stops, starts, freezes, slows and cuts at random. Once all is well again, all agree.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(seeds(t, 40)) {
		f := newCluster(t, seed+100, 12)
		f.converge()
		for range 40 {
			f.injectFault()
			f.world.Run(f.world.Random.Between(0, 2*time.Second))
		}
		f.world.Links.HealAll()
		for _, name := range f.names {
			f.world.Resume(name)
			f.world.SetLag(name, 0)
			if _, ok := f.nodes[name]; !ok {
				f.start(name)
			}
		}
		f.runUntil(60*time.Second, f.converged)
	}
}

// trouble does one random thing to a random machine.
func (f *cluster) injectFault() {
	random := f.world.Random
	name := f.names[random.IntN(len(f.names))]
	other := f.names[random.IntN(len(f.names))]
	_, running := f.nodes[name]
	switch random.IntN(7) {
	case 0:
		if running {
			f.stop(name)
		}
	case 1:
		if !running {
			f.start(name)
		}
	case 2:
		f.world.Pause(name)
	case 3:
		f.world.Resume(name)
	case 4:
		f.world.SetLag(name, random.Between(0, 3*time.Second))
	case 5:
		f.world.Links.Partition(name, other)
	case 6:
		f.world.Links.Heal(name, other)
	}
}
