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

// TestRandomServers simulates clients, a gateway and faulty servers. SEEDS=N runs N simulations, FIRST=S starts
// at seed S.
func TestRandomServers(t *testing.T) { faultyserver.RunSeeds(t, defaultSimulations) }

// TestBreakAtEveryByte simulates servers whose connections break at each of the first few hundred bytes of
// requests and responses, in each way.
func TestBreakAtEveryByte(t *testing.T) {
	t.Parallel()
	violations, remaining, counts := faultyserver.EveryByte(t)
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Log(counts)
	if remaining > 0 {
		t.Errorf("%d of the planned breaks were not made", remaining)
	}
}

// TestRandomServersFindBugs injects bugs one by one and checks that some simulation detects each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, injectBug := range map[string]func(*proxy.Bugs){
		"a response is accepted although it has another request's id":                      proxy.AcceptAnyID,
		"a request that isn't idempotent is retried after it may have run":                 proxy.RetryNonIdempotent,
		"a response without a length counts as complete although its connection was reset": proxy.TruncatedIsComplete,
		"a stream is resumed without the id of its last event":                             proxy.OmitLastEventID,
		"the client gets 503 although the request may have run":                            proxy.AlwaysPromisesNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.RequireBugFound(t, maxSimulations, func(p *proxy.Proxy, _ *pool.Pool) { p.InjectBug(injectBug) })
		})
	}
}
