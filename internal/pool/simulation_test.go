package pool_test

import (
	"testing"

	"sprucelane.example/sprucelane/internal/fake/faultyserver"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/pool"
)

// maxSimulations is the number of simulations within which a bug must be detected. TestRandomServers in
// internal/gateway/proxy runs the simulations without an injected bug.
const maxSimulations = 60

// TestRandomServersFindBugs injects bugs into the pool one at a time. At least one simulation of a gateway with
// that pool must detect each.
func TestRandomServersFindBugs(t *testing.T) {
	for name, inject := range map[string]func(*pool.Bugs){
		"a connection with unread input is reused":                            pool.ReuseUnread,
		"a connection is reused after an incomplete request body":             pool.ReuseIncompleteRequest,
		"a request with an incomplete body is reported as not sent":           pool.PartialIsNotSent,
		"a head that begins within another is accepted":                       pool.AcceptTornHead,
		"a server that drains while a connection is dialled gets the request": pool.SkipRecheck,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultyserver.RequireBugFound(t, maxSimulations, func(_ *proxy.Proxy, p *pool.Pool) { p.InjectBug(inject) })
		})
	}
}
