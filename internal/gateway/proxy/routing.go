package proxy

import (
	"net/http"
	"strings"
	"time"
)

// resolveConfirmed finds the route and the tenant. It returns 404 or 401 only after control has confirmed that
// the configuration that lacks the route or key is the latest, because a new route or key must work at every
// gateway as soon as its creation is acknowledged.
func (q *request) resolveConfirmed() *errorResponse {
	control := q.proxy.Control
	if control.Configuration() == nil { // the process has just started
		wait := min(firstConfigurationWait, q.clientTimeout())
		control.AwaitConfirmation(q.r.Context(), q.arrived, q.arrived.Add(wait))
	}
	failure := q.resolve()
	if failure == nil || failure.status == http.StatusServiceUnavailable {
		return failure
	}
	wait := min(denialWait, q.clientTimeout())
	if !control.AwaitConfirmation(q.r.Context(), q.arrived, q.arrived.Add(wait)) {
		return &errorResponse{status: http.StatusServiceUnavailable, message: "configuration: not sure",
			retryAfter: unreadyRetryAfter}
	}
	return q.resolve()
}

// resolve finds the route and the tenant in the configuration in force.
//
// The key lease is checked before the configuration is loaded. In the reverse order the lease could be renewed
// in between for a newer configuration that lacks the key, while the key is looked up in the older one, which
// still has it.
func (q *request) resolve() *errorResponse {
	q.leaseExpired = !q.proxy.Control.KeyLeaseValid(time.Now())
	q.configuration = q.proxy.Control.Configuration()
	if q.configuration == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, message: "no configuration yet",
			retryAfter: unreadyRetryAfter}
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route, q.liveRoute, q.operation = q.configuration.RouteFor(q.r.Host, path), nil, 0
	if failure := q.resolveBatch(path); failure != nil {
		return failure
	}
	if q.route == nil {
		return &errorResponse{status: http.StatusNotFound, message: "no such route"}
	}
	failure := q.authenticate()
	if failure != nil && q.liveRoute != nil { // without a key it can't be a call for a batch job
		q.becomeLive()
		failure = q.authenticate()
	}
	return failure
}

// chooseBackend returns the route's backend or, if the route has a traffic split, one of the split's backends
// by their weights.
func (q *request) chooseBackend() string {
	if len(q.route.TrafficSplit) == 0 {
		return q.route.Backend
	}
	return splitBackend(q.route, q.proxy.splits.next(q.route.Name))
}
