package faultyserver

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"

	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/pool"
)

const (
	// concurrentSimulations is the number of simulations that run at the same time.
	concurrentSimulations = 3
	// seedsForAllEvents is a number of simulations in which each of requiredEvents occurs.
	seedsForAllEvents = 12
)

// RunSeeds runs a number of simulations, with the seeds from 0 on. The environment can select others: FIRST
// is the first seed, SEEDS the number. The test fails on any violation, on too few successes, and where an
// event of requiredEvents never occurred.
func RunSeeds(t *testing.T, count int) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		count = n
	}
	var mu sync.Mutex // guards total
	total := map[string]int{}
	t.Run("worlds", func(t *testing.T) {
		for lane := range concurrentSimulations {
			t.Run(fmt.Sprint(lane), func(t *testing.T) {
				t.Parallel()
				for i := lane; i < count; i += concurrentSimulations {
					seed := first + uint64(i)
					violations, counts := Simulate(t, seed, StandardSize, nil)
					for _, violation := range violations {
						t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, violation)
					}
					mu.Lock()
					for name, n := range counts {
						total[name] += n
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Log(count, "simulations from", first, total)
	if total[countSuccesses] < total[countRequests]/3 {
		t.Errorf("of %d requests only %d were a success", total[countRequests], total[countSuccesses])
	}
	for _, name := range requiredEvents {
		if count >= seedsForAllEvents && total[name] == 0 {
			t.Errorf("never occurred: %s", name)
		}
	}
}

// RequireBugFound runs simulations with an injected bug until one has a violation. The test fails where none
// of maxSeeds has.
func RequireBugFound(t *testing.T, maxSeeds int, inject func(*proxy.Proxy, *pool.Pool)) {
	for seed := uint64(1); seed <= uint64(maxSeeds); seed++ {
		violations, _ := Simulate(t, seed, StandardSize, inject)
		if len(violations) > 0 {
			slices.Sort(violations)
			t.Logf("seed %d: %s", seed, violations[0])
			return
		}
	}
	t.Errorf("%d simulations didn't find it", maxSeeds)
}
