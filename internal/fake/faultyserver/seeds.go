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

// together is how many worlds are played at once.
const concurrentSimulations = 3

// Worlds plays worlds with the seeds that the environment names, as FIRST=S SEEDS=N, or so many from the first one; it holds that
// nothing is broken in them, and that each hazard came about.
func RunSeeds(t *testing.T, count int) {
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		count = n
	}
	var mu sync.Mutex
	all := map[string]int{}
	t.Run("worlds", func(t *testing.T) {
		for lane := range concurrentSimulations {
			t.Run(fmt.Sprint(lane), func(t *testing.T) {
				t.Parallel()
				for at := lane; at < count; at += concurrentSimulations {
					seed := first + uint64(at)
					broken, counts := Simulate(t, seed, StandardSize, nil)
					for _, one := range broken {
						t.Errorf("replay with FIRST=%d SEEDS=1: %s", seed, one)
					}
					mu.Lock()
					for name, n := range counts {
						all[name] += n
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Log(count, "worlds from", first, all)
	if all["successes"] < all["tries"]/3 {
		t.Errorf("of %d tries only %d were a success", all["tries"], all["successes"])
	}
	for _, name := range requiredEvents {
		if count >= seedsForAllEvents && all[name] == 0 {
			t.Errorf("never came about: %s", name)
		}
	}
}

// enough is in how many worlds each hazard comes about.
const seedsForAllEvents = 12

var requiredEvents = []string{"early answers", "bodies read on", "cut requests", "cut answers", "late answers", "extra bytes",
	"clients that left", "resumed streams", "misdirected", "drained servers", "server restarts", "break 1", "break 2", "break 3", "break 4"}

// Finds plays worlds from a seed with a bug planted, and holds that one of them shows it.
func RequireBugFound(t *testing.T, most int, plant func(*proxy.Proxy, *pool.Pool)) {
	for seed := uint64(1); seed <= uint64(most); seed++ {
		broken, _ := Simulate(t, seed, StandardSize, plant)
		if len(broken) > 0 {
			slices.Sort(broken)
			t.Logf("seed %d: %s", seed, broken[0])
			return
		}
	}
	t.Errorf("%d worlds didn't show it", most)
}
