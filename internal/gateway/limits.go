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
	quotas "sprucelane.example/sprucelane/internal/gateway/quotaclient"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/protocol"
)

// loadEvery is how often admission is told of a service's load, while requests for it come.
const loadReportInterval = 250 * time.Millisecond

// How long a request may wait for a token of its tenant.
const (
	defaultTarget    = 200 * time.Millisecond // of a route that has none
	uncertainDivisor = 5                      // of the aim, while it isn't known whether there will be one
	maxUncertainWait = 100 * time.Millisecond
	certainDivisor   = 2 // of the aim, where there surely will be
	maxCertainWait   = 250 * time.Millisecond
)

// limits asks the mechanisms that refuse requests, and feeds them.
type admitter struct {
	origin    time.Time
	admission *admission.Admission
	quota     *quotas.Limiter
	selector  *serverselection.Selector
	servers   *endpoints.Registry
	members   func() *protocol.MemberList

	mu             sync.Mutex
	loadReportedAt map[string]time.Time // when a service's load was told last
}

func newAdmitter(placer *serverselection.Selector, table *endpoints.Registry, process protocol.Process, options transport.Options,
	log zerolog.Logger) *admitter {
	l := &admitter{origin: time.Now(), admission: admission.New(admission.Options{}), selector: placer, servers: table,
		loadReportedAt: map[string]time.Time{}}
	l.quota = quotas.New(quotas.Options{Process: process, Transport: options, Members: l.currentMembers, Log: log})
	return l
}

// listed gives the list of processes, nil where it isn't known yet.
func (l *admitter) currentMembers() *protocol.MemberList { return l.members() }

func (l *admitter) now() time.Duration { return time.Since(l.origin) }

// Configure takes a configuration in.
func (l *admitter) Configure(snapshot *configuration.Snapshot) {
	l.admission.Configure(snapshot)
	l.quota.Configure(snapshot)
}

// Admit decides about a request. The tenant's limit goes first: what lies beyond it is not owed.
func (l *admitter) Admit(ctx context.Context, request proxy.AdmissionRequest) proxy.Rejection {
	token := l.quota.Acquire(ctx, request.Tenant, quotaWait(request.Route, time.Until(request.Deadline)))
	if !token.Admit {
		return proxy.Rejection{Status: http.StatusTooManyRequests, RetryAfter: token.RetryAfter}
	}
	l.reportLoad(request.Backend)
	decision := l.admission.Admit(l.now(), request.Route, request.Tenant, admission.Request{
		PromptTokens: request.Workload.PromptTokens, OutputTokens: request.Workload.OutputTokens, Remaining: time.Until(request.Deadline)})
	if decision.Admit {
		return proxy.Rejection{}
	}
	l.quota.Return(request.Tenant, token)
	return proxy.Rejection{Status: http.StatusServiceUnavailable, RetryAfter: decision.RetryAfter}
}

// patienceOf gives how long a request may wait for a token of its tenant: one that is refused must be so within a quarter of the
// route's aim, one that is served has the rest of the aim for its server. None waits longer than its client.
func quotaWait(route *configuration.Route, left time.Duration) quotas.WaitLimits {
	aim := route.TargetLatency()
	if aim <= 0 {
		aim = defaultTarget
	}
	left = max(left, 0)
	return quotas.WaitLimits{Uncertain: min(aim/uncertainDivisor, maxUncertainWait, left), Certain: min(aim/certainDivisor, maxCertainWait, left)}
}

// Sent counts a request that has been sent.
func (l *admitter) Sent(request proxy.AdmissionRequest, retried bool) {
	l.admission.Sent(l.now(), request.Route.Name)
	if retried {
		l.quota.Charge(request.Tenant)
	}
}

// Attempted counts how long an attempt took.
func (l *admitter) Attempted(request proxy.AdmissionRequest, took time.Duration) {
	l.admission.Attempt(l.now(), request.Route.Name, took)
}

// tellLoad tells the share of a service's places that are taken by the servers' own word. Where they don't tell, it is estimated from
// this gateway's own requests there, as if all gateways had as many.
func (l *admitter) reportLoad(backend string) {
	now := time.Now()
	l.mu.Lock()
	due := now.Sub(l.loadReportedAt[backend]) >= loadReportInterval
	if due {
		l.loadReportedAt[backend] = now
	}
	l.mu.Unlock()
	table, members := l.servers.Current(), l.members()
	if !due || table == nil || members == nil {
		return
	}
	list := table.ForBackend(backend)
	if taken, waiting, told := l.selector.Utilization(now, list); told {
		l.admission.ObserveLoad(l.now(), backend, min(1, taken), waiting)
		return
	}
	places := 0
	for _, server := range list {
		places += server.Slots
	}
	if places == 0 {
		return
	}
	taken := float64(l.selector.InFlight(list)*max(1, len(members.Gateways))) / float64(places)
	l.admission.ObserveLoad(l.now(), backend, min(1, taken), taken > 1)
}
