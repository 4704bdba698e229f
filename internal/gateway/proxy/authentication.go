package proxy

import (
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/httpsyntax"
	"sprucelane.example/sprucelane/internal/protocol"
)

// authenticate finds the tenant by its API key. It returns 401 if the key is missing or unknown, unless the
// route is public or the configuration has no tenants. It returns 503 if servers can't be told the tenant's name
// unchanged: a line end within it would add headers, and one with whitespace at an end would be read as another tenant.
// Batch jobs of such a tenant can still be read and ended.
func (q *request) authenticate() *errorResponse {
	q.tenant = nil
	keys := q.r.Header.Values(headerAPIKey)
	if len(keys) == 1 {
		q.tenant = q.configuration.TenantByKey(keys[0])
	}
	if q.tenant == nil && !q.route.Public && len(q.configuration.Tenants) > 0 {
		return &errorResponse{status: http.StatusUnauthorized, message: "unknown key"}
	}
	reachesServers := q.operation == 0 || q.operation == protocol.BatchSubmit
	if q.tenant != nil && reachesServers && httpsyntax.CheckIdentifier("tenant", q.tenant.Name) != nil {
		return &errorResponse{status: http.StatusServiceUnavailable, message: "tenant: its name can't be sent in a header",
			retryAfter: unreadyRetryAfter}
	}
	return nil
}

// keyValid reports whether the request may still be served by its API key. The key lease must be valid now, and
// must have been valid when the key was looked up (see resolve).
func (q *request) keyValid(now time.Time) bool {
	return q.tenant == nil || !q.leaseExpired && q.proxy.Control.KeyLeaseValid(now)
}

// admissionTTL is how long after its admission a request may be sent for the first time. Otherwise, after a
// process pause, all requests that had been admitted before it would be sent at once, under a quota that was
// granted long ago.
const admissionTTL = 700 * time.Millisecond

// maySend reports whether the request may be sent to a server. It is called immediately before the first byte.
func (q *request) maySend(now time.Time) bool {
	return q.keyValid(now) && (q.history.MayHaveRun() || now.Sub(q.admittedAt) < admissionTTL)
}
