package replica

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains tests that run campaigns with random faults.

// intFromEnvironment returns the integer value of an environment variable, or value if there is none.
func intFromEnvironment(name string, value int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return value
}

// TestRandomSimulations runs campaigns with fixed seeds. SEEDS=N runs N campaigns, FIRST=S starts at seed S, TRACE=1
// prints their events.
func TestRandomSimulations(t *testing.T) {
	first, count := intFromEnvironment("FIRST", 0), intFromEnvironment("SEEDS", defaultSeeds)
	const shards = 3
	var next, accepted, read, faults atomic.Int64
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for number := int(next.Add(1)) - 1; number < count; number = int(next.Add(1)) - 1 {
					c, err := runSeed(uint64(first+number), "")
					if err != nil {
						t.Errorf("replay with FIRST=%d SEEDS=1: %v", first+number, err)
						continue
					}
					accepted.Add(int64(c.clients.accepted))
					read.Add(int64(c.clients.read))
					faults.Add(int64(c.faults))
				}
			})
		}
	})
	t.Logf("%d campaigns from %d, %d batch jobs accepted, %d results read, %d faults",
		count, first, accepted.Load(), read.Load(), faults.Load())
}

// TestReplaysExactly runs campaigns twice and compares their traces, which must not differ for the same seed.
func TestReplaysExactly(t *testing.T) {
	for seed := uint64(1); seed < 9; seed++ {
		first, _ := runSeed(seed, "")
		second, _ := runSeed(seed, "")
		if first.traceHash != second.traceHash {
			t.Errorf("two runs of seed %d have different traces", seed)
		}
	}
}

func TestKeys(t *testing.T) {
	first, second := protocol.Process{Node: "a", Incarnation: "1"}, protocol.Process{Node: "a", Incarnation: "2"}
	if placement.KeyOf(first) == placement.KeyOf(second) {
		t.Fatal("two incarnations of a disk have one key")
	}
}

// TestSeedsThatExceededTokenLimit runs seeds in which once more tokens were accepted than allowed, or granted capacity
// was never released.
func TestSeedsThatExceededTokenLimit(t *testing.T) {
	for _, seed := range []uint64{5596, 5632, 5794, 6076, 6094} {
		if _, err := runSeed(seed, ""); err != nil {
			t.Errorf("replay with FIRST=%d SEEDS=1: %v", seed, err)
		}
	}
}
