package proxy_test

import (
	"testing"

	"sprucelane.example/sprucelane/internal/fake/faultyserver"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/pool"
)

const (
	defaultSimulations = 12
	maxSimulations     = 60
)

// TestRandomServers plays worlds of clients and servers that misbehave; SEEDS=N plays N of them, FIRST=S starts at seed S.
func TestRandomServers(t *testing.T) { faultyserver.Worlds(t, defaultSimulations) }

// TestBreakAtEveryByte has servers break requests and answers at each byte, in each way.
func TestBreakAtEveryByte(t *testing.T) {
	t.Parallel()
	broken, left, counts := faultyserver.EveryByte(t)
	for _, one := range broken {
		t.Error(one)
	}
	t.Log(counts)
	if left > 0 {
		t.Errorf("%d breaks didn't come about", left)
	}
}

// TestRandomServersFindBugs plants bugs one by one; some world must show each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, plant := range map[string]func(*proxy.Bugs){
		"an answer is taken whatever request it names":                        proxy.AcceptAnyID,
		"a request that may run once is sent again after a cut":               proxy.RetryNonIdempotent,
		"an answer without a length is whole though its connection was reset": proxy.TruncatedIsComplete,
		"a stream is taken up without the id of its last event":               proxy.OmitLastEventID,
		"the promise that nothing ran is given though something may have":     proxy.AlwaysPromisesNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.Finds(t, maxSimulations, func(p *proxy.Proxy, _ *pool.Pool) { p.InjectBug(plant) })
		})
	}
}
