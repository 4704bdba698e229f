package subscription

import (
	"fmt"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

const (
	requestEvery = 25 * time.Millisecond
	eagerEvery   = 6 * time.Millisecond
)

// simRequest is a client's request, as it passes through the steps of the proxy.
type simRequest struct {
	gateway      *simGateway
	key          string
	route        string
	arrived      time.Time
	arrivedAt    time.Duration // arrived in virtual time
	lookedUpAt   time.Duration // when the configuration was loaded
	leaseExpired bool
	tenant       *configuration.Tenant
	done         func(status int) // may be nil
}

// ask sends requests to the gateway for as long as this incarnation runs.
func (g *simGateway) ask() {
	h := g.harness
	pause, kinds := requestEvery/2+h.span(requestEvery), 8
	if g.eager {
		pause, kinds = h.span(eagerEvery), 3
	}
	g.later(pause, func() {
		q := &simRequest{gateway: g, key: stableKey, route: stableRoute}
		switch h.random.IntN(kinds) {
		case 0, 1, 2:
			q.key = h.operator.randomKey(h)
		case 3, 4:
			q.key, q.route = "", fmt.Sprint("open-", h.random.IntN(volatile))
		case 5:
			q.key, q.route = "", openRoute
		case 6:
			q.key = unknownKey
		}
		q.read()
		g.ask()
	})
}

// read begins the request as the proxy does: without a configuration it waits for the first one.
func (q *simRequest) read() {
	g := q.gateway
	q.arrived, q.arrivedAt = g.clock.read(), g.harness.Elapsed()
	if g.s.Configuration() == nil {
		g.await(q.arrived, firstWait, func(bool) { q.decide() })
		return
	}
	g.nextStep(q.decide)
}

func (q *simRequest) decide() {
	q.find(func(status int) {
		g := q.gateway
		switch status {
		case 0:
			q.check()
		case http.StatusServiceUnavailable:
			q.answer(status)
		default:
			if g.harness.bug == bugRejectsUnconfirmed {
				q.answer(status)
				return
			}
			g.await(q.arrived, denyWait, q.afterConfirmation)
		}
	})
}

// afterConfirmation resolves the request again once control has confirmed.
func (q *simRequest) afterConfirmation(confirmed bool) {
	if !confirmed {
		q.answer(http.StatusServiceUnavailable)
		return
	}
	q.find(func(status int) {
		if status != 0 {
			q.answer(status)
			return
		}
		q.check()
	})
}

// find checks the lease, then looks up the route and the key, and calls then with the status of the lookup, which
// is 0 if both exist.
func (q *simRequest) find(then func(status int)) {
	g := q.gateway
	q.lookedUpAt = g.harness.Elapsed()
	q.leaseExpired = !g.s.KeyLeaseValid(g.clock.read())
	g.nextStep(func() {
		current := g.s.Configuration()
		if g.harness.bug == bugLeaseCheckedLast {
			q.lookedUpAt, q.leaseExpired = g.harness.Elapsed(), false
		}
		g.nextStep(func() { then(q.lookUp(current)) })
	})
}

func (q *simRequest) lookUp(current *configuration.Snapshot) int {
	if current == nil {
		return http.StatusServiceUnavailable
	}
	route := current.RouteFor("h", "/"+q.route+"/x")
	if route == nil {
		return http.StatusNotFound
	}
	q.tenant = current.TenantByKey(q.key)
	if q.tenant == nil && !route.Public {
		return http.StatusUnauthorized
	}
	return 0
}

func (q *simRequest) keyValid() bool {
	g := q.gateway
	return q.tenant == nil || !q.leaseExpired && g.s.KeyLeaseValid(g.clock.read())
}

// check checks the lease, waits as for a token and a server, and checks the lease again as right before the first
// byte to a server.
func (q *simRequest) check() {
	h := q.gateway.harness
	if !q.keyValid() {
		q.answer(http.StatusServiceUnavailable)
		return
	}
	wait := h.span(5 * time.Millisecond)
	if h.random.Chance(0.02) {
		wait = h.span(time.Second)
	}
	q.gateway.later(wait, func() {
		if !q.keyValid() {
			q.answer(http.StatusServiceUnavailable)
			return
		}
		q.serve()
	})
}

// serve forwards the request and checks that the gateway was allowed to.
func (q *simRequest) serve() {
	g := q.gateway
	h := g.harness
	g.served++
	q.reportStatus(http.StatusOK)
	if !g.confirmed {
		h.failf("%s serves, and nobody has confirmed what it knows", g.name)
	}
	if q.tenant == nil {
		return
	}
	if ended := h.operator.removedAt(q.key); ended > 0 && q.lookedUpAt > ended+revoke {
		h.failf("%s serves %s, looked up at %v, removed for good at %v", g.name, q.key, q.lookedUpAt, ended)
	}
}

// answer rejects the request.
func (q *simRequest) answer(status int) {
	g := q.gateway
	h := g.harness
	g.rejected[status]++
	q.reportStatus(status)
	if status == http.StatusServiceUnavailable {
		return
	}
	if !g.confirmed {
		h.failf("%s answers %d, and nobody has confirmed what it knows", g.name, status)
	}
	lacks := func(v *version) bool { return !v.routes[q.route] }
	if status == http.StatusUnauthorized {
		lacks = func(v *version) bool { return !v.keys[q.key] }
	}
	if !h.operator.mayLack(q.arrivedAt, lacks) {
		h.failf("%s answers %d for key %q and route %q, which every configuration in force has", g.name, status, q.key, q.route)
	}
}

func (q *simRequest) reportStatus(status int) {
	if q.done != nil {
		q.done(status)
	}
}
