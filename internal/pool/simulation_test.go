package pool_test

import (
	"testing"

	"sprucelane.example/sprucelane/internal/fake/faultyserver"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/pool"
)

// maxSimulations bounds the simulations within which a bug must be detected. TestRandomServers of
// internal/gateway/proxy runs those without an injected bug.
const maxSimulations = 60

// TestRandomServersFindBugs injects bugs into the pool one by one; some simulation of a gateway with that
// pool must detect each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, inject := range map[string]func(*pool.Bugs){
		"a connection with unread input is reused":                            pool.ReuseUnread,
		"a connection is reused on which a request's body is due":             pool.ReuseIncompleteRequest,
		"a request whose body was written in part counts as not sent":         pool.PartialIsNotSent,
		"a head that begins within another is accepted":                       pool.AcceptTornHead,
		"a server that drains while a connection is dialled gets the request": pool.SkipRecheck,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.RequireBugFound(t, maxSimulations, func(_ *proxy.Proxy, p *pool.Pool) { p.InjectBug(inject) })
		})
	}
}
