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

// TestRandomServers simulates clients before faulty servers; SEEDS=N plays N simulations, FIRST=S starts at
// seed S.
func TestRandomServers(t *testing.T) { faultyserver.RunSeeds(t, defaultSimulations) }

// TestBreakAtEveryByte has servers break off requests and responses at each byte, in each way.
func TestBreakAtEveryByte(t *testing.T) {
	t.Parallel()
	broken, left, counts := faultyserver.EveryByte(t)
	for _, violation := range broken {
		t.Error(violation)
	}
	t.Log(counts)
	if left > 0 {
		t.Errorf("%d breaks didn't come about", left)
	}
}

// TestRandomServersFindBugs injects bugs one by one; some simulation must find each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, injectBug := range map[string]func(*proxy.Bugs){
		"a response is accepted although it names another request":                proxy.AcceptAnyID,
		"a request that may run once only is retried after it was lost":           proxy.RetryNonIdempotent,
		"a response without a length is complete though its connection was reset": proxy.TruncatedIsComplete,
		"a stream is resumed without the id of its last event":                    proxy.OmitLastEventID,
		"the client is promised that nothing ran though something may have":       proxy.AlwaysPromisesNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.RequireBugFound(t, maxSimulations, func(p *proxy.Proxy, _ *pool.Pool) { p.InjectBug(injectBug) })
		})
	}
}
