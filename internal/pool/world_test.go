package pool_test

import (
	"testing"

	"sprucelane.example/sprucelane/internal/fake/faultyserver"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/pool"
)

// plantedMost is how many worlds a bug may take to show. TestRandomServers of internal/gateway/proxy plays those without.
const plantedMost = 60

// TestRandomServersFindBugs plants bugs of the pool one by one; some world of the gateway on it must show each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, plant := range map[string]func(*pool.Bugs){
		"a connection is used again on which more has come than an answer":     pool.ReuseUnread,
		"a connection is used again on which a request's body is due":          pool.ReuseIncompleteRequest,
		"a request whose body went out in part counts as not sent":             pool.PartialIsNotSent,
		"a head that begins in the middle of another is taken for one with it": pool.AcceptTornHead,
		"a member that drains while a connection comes up gets the request":    pool.SkipRecheck,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.RequireBugFound(t, plantedMost, func(_ *proxy.Proxy, p *pool.Pool) { p.InjectBug(plant) })
		})
	}
}
