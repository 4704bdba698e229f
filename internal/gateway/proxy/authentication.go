package proxy

import (
	"net/http"
	"time"
)

// authenticate finds the tenant by its API key.
func (q *request) authenticate() *errorResponse {
	q.tenant = nil
	keys := q.r.Header.Values(headerAPIKey)
	if len(keys) == 1 {
		q.tenant = q.configuration.TenantByKey(keys[0])
	}
	if q.tenant == nil && !q.route.Public && len(q.configuration.Tenants) > 0 {
		return &errorResponse{status: http.StatusUnauthorized, message: "unknown key"}
	}
	return nil
}

// keyValid reports whether the request's API key may still be acted on. The lease must have been valid when
// the key was looked up as well (see resolve).
func (q *request) keyValid(now time.Time) bool {
	return q.tenant == nil || !q.leaseExpired && q.proxy.Control.KeyLeaseValid(now)
}

// admissionTTL is how long after its admission a request may first be sent. After a process pause all
// requests that had been admitted before it would otherwise go out at once, under a quota that was granted
// long ago.
const admissionTTL = 700 * time.Millisecond

// maySend reports, right before the first byte goes to a server, whether it may.
func (q *request) maySend(now time.Time) bool {
	return q.keyValid(now) && (q.history.MayHaveRun() || now.Sub(q.admittedAt) < admissionTTL)
}
