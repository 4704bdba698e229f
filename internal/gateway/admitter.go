package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/admission"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/gateway/proxy"
	"sprucelane.example/sprucelane/internal/gateway/quotaclient"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/protocol"
)

// loadReportInterval is the time between reports of a backend's load to admission, while requests for it
// arrive.
const loadReportInterval = 250 * time.Millisecond

// The time that a request may wait for a token of its tenant is the route's latency target divided by a divisor,
// up to a maximum.
const (
	defaultTarget    = 200 * time.Millisecond // latency target of a route without one
	uncertainDivisor = 5                      // while it isn't known whether a token will be available
	maxUncertainWait = 100 * time.Millisecond
	certainDivisor   = 2 // if a token will certainly be available
	maxCertainWait   = 250 * time.Millisecond
)

// admitter implements proxy.Admission with the two mechanisms that reject requests, the quotas and load
// shedding. It reports to them the requests that are sent, the latencies and the load.
type admitter struct {
	origin    time.Time
	admission *admission.Admission
	quota     *quotaclient.Limiter
	selector  *serverselection.Selector
	servers   *endpoints.Registry
	members   func() *protocol.MemberList

	mu             sync.Mutex           // guards the fields below
	loadReportedAt map[string]time.Time // by backend
}

// newAdmitter returns an admitter. The field members must be set before the admitter is used.
func newAdmitter(selector *serverselection.Selector, servers *endpoints.Registry, process protocol.Process,
	options transport.Options, log zerolog.Logger) *admitter {
	a := &admitter{origin: time.Now(), admission: admission.New(admission.Options{}), selector: selector,
		servers: servers, loadReportedAt: map[string]time.Time{}}
	a.quota = quotaclient.New(quotaclient.Options{
		Process: process, Transport: options, Members: a.currentMembers, Log: log})
	return a
}

// currentMembers returns the list of processes, or nil if there is none yet.
func (a *admitter) currentMembers() *protocol.MemberList { return a.members() }

// now returns the time since the process started, by its monotonic clock.
func (a *admitter) now() time.Duration { return time.Since(a.origin) }

// Configure applies a configuration.
func (a *admitter) Configure(snapshot *configuration.Snapshot) {
	a.admission.Configure(snapshot)
	a.quota.Configure(snapshot)
}

// Admit admits or rejects a request. The tenant's quota is checked first: a request beyond it is rejected with
// 429 at any load. A request that is rejected because of the load gets 503, and its token is returned.
func (a *admitter) Admit(ctx context.Context, request proxy.AdmissionRequest) proxy.Rejection {
	token := a.quota.Acquire(ctx, request.Tenant, quotaWait(request.Route, time.Until(request.Deadline)))
	if !token.Admit {
		return proxy.Rejection{Status: http.StatusTooManyRequests, RetryAfter: token.RetryAfter}
	}
	a.reportLoad(request.Backend)
	decision := a.admission.Admit(a.now(), request.Route, request.Tenant, admission.Request{
		PromptTokens: request.Workload.PromptTokens, OutputTokens: request.Workload.OutputTokens,
		Remaining: time.Until(request.Deadline)})
	if decision.Admit {
		return proxy.Rejection{}
	}
	a.quota.Return(request.Tenant, token)
	return proxy.Rejection{Status: http.StatusServiceUnavailable, RetryAfter: decision.RetryAfter}
}

// quotaWait returns how long a request may wait for a token of its tenant. A rejection must be sent within a
// quarter of the route's latency target, so a request that may be rejected waits for at most a fifth of it. A
// request that is admitted needs the rest of the target for its server. No request waits longer than its client.
func quotaWait(route *configuration.Route, left time.Duration) quotaclient.WaitLimits {
	target := route.TargetLatency()
	if target <= 0 {
		target = defaultTarget
	}
	left = max(left, 0)
	return quotaclient.WaitLimits{
		Uncertain: min(target/uncertainDivisor, maxUncertainWait, left),
		Certain:   min(target/certainDivisor, maxCertainWait, left),
	}
}

// Sent counts a request that was sent to a server. A retry is charged to the tenant's quota.
func (a *admitter) Sent(request proxy.AdmissionRequest, retried bool) {
	a.admission.Sent(a.now(), request.Route.Name)
	if retried {
		a.quota.Charge(request.Tenant)
	}
}

// Attempted records an attempt's latency.
func (a *admitter) Attempted(request proxy.AdmissionRequest, took time.Duration) {
	a.admission.Attempt(a.now(), request.Route.Name, took)
}

// reportLoad reports the utilization of a backend's slots to admission, as stated by the backend's servers. If
// they don't report their load, the utilization is estimated from this gateway's own requests in flight there,
// assuming that every gateway has as many.
func (a *admitter) reportLoad(backend string) {
	now := time.Now()
	a.mu.Lock()
	due := now.Sub(a.loadReportedAt[backend]) >= loadReportInterval
	if due {
		a.loadReportedAt[backend] = now
	}
	a.mu.Unlock()
	table, members := a.servers.Current(), a.members()
	if !due || table == nil || members == nil {
		return
	}
	list := table.ForBackend(backend)
	if utilization, waiting, known := a.selector.Utilization(now, list); known {
		a.admission.ObserveLoad(a.now(), backend, min(1, utilization), waiting)
		return
	}
	slots := 0
	for _, server := range list {
		slots += server.Slots
	}
	if slots == 0 {
		return
	}
	utilization := float64(a.selector.InFlight(list)*max(1, len(members.Gateways))) / float64(slots)
	a.admission.ObserveLoad(a.now(), backend, min(1, utilization), utilization > 1)
}
