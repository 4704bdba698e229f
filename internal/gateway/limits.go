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
const loadEvery = 250 * time.Millisecond

// How long a request may wait for a token of its tenant.
const (
	plainAim   = 200 * time.Millisecond // of a route that has none
	unsurePart = 5                      // of the aim, while it isn't known whether there will be one
	unsureMost = 100 * time.Millisecond
	surePart   = 2 // of the aim, where there surely will be
	sureMost   = 250 * time.Millisecond
)

// limits asks the mechanisms that refuse requests, and feeds them.
type limits struct {
	origin    time.Time
	admission *admission.Admission
	quotas    *quotas.Keeper
	placer    *serverselection.Placer
	servers   *endpoints.Registry
	members   func() *protocol.MemberList

	mu   sync.Mutex
	told map[string]time.Time // when a service's load was told last
}

func newLimits(placer *serverselection.Placer, table *endpoints.Registry, process protocol.Process, options transport.Options,
	log zerolog.Logger) *limits {
	l := &limits{origin: time.Now(), admission: admission.New(admission.Options{}), placer: placer, servers: table,
		told: map[string]time.Time{}}
	l.quotas = quotas.New(quotas.Options{Process: process, Transport: options, Members: l.listed, Log: log})
	return l
}

// listed gives the list of processes, nil where it isn't known yet.
func (l *limits) listed() *protocol.MemberList { return l.members() }

func (l *limits) now() time.Duration { return time.Since(l.origin) }

// Configure takes a configuration in.
func (l *limits) Configure(snapshot *configuration.Snapshot) {
	l.admission.Configure(snapshot)
	l.quotas.Configure(snapshot)
}

// Admit decides about a request. The tenant's limit goes first: what lies beyond it is not owed.
func (l *limits) Admit(ctx context.Context, wish proxy.Wish) proxy.Refusal {
	token := l.quotas.Acquire(ctx, wish.Tenant, patienceOf(wish.Route, time.Until(wish.Deadline)))
	if !token.Admit {
		return proxy.Refusal{Status: http.StatusTooManyRequests, RetryAfter: token.RetryAfter}
	}
	l.tellLoad(wish.Backend)
	decision := l.admission.Admit(l.now(), wish.Route, wish.Tenant, admission.Request{
		PromptTokens: wish.Demand.Prompt, OutputTokens: wish.Demand.Output, Remaining: time.Until(wish.Deadline)})
	if decision.Admit {
		return proxy.Refusal{}
	}
	l.quotas.Return(wish.Tenant, token)
	return proxy.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: decision.RetryAfter}
}

// patienceOf gives how long a request may wait for a token of its tenant: one that is refused must be so within a quarter of the
// route's aim, one that is served has the rest of the aim for its server. None waits longer than its client.
func patienceOf(route *configuration.Route, left time.Duration) quotas.Patience {
	aim := route.TargetLatency()
	if aim <= 0 {
		aim = plainAim
	}
	left = max(left, 0)
	return quotas.Patience{Unsure: min(aim/unsurePart, unsureMost, left), Sure: min(aim/surePart, sureMost, left)}
}

// Sent counts a request that has been sent.
func (l *limits) Sent(wish proxy.Wish, again bool) {
	l.admission.Sent(l.now(), wish.Route.Name)
	if again {
		l.quotas.Charge(wish.Tenant)
	}
}

// Attempted counts how long an attempt took.
func (l *limits) Attempted(wish proxy.Wish, took time.Duration) {
	l.admission.Attempt(l.now(), wish.Route.Name, took)
}

// tellLoad tells the share of a service's places that are taken by the servers' own word. Where they don't tell, it is estimated from
// this gateway's own requests there, as if all gateways had as many.
func (l *limits) tellLoad(backend string) {
	now := time.Now()
	l.mu.Lock()
	due := now.Sub(l.told[backend]) >= loadEvery
	if due {
		l.told[backend] = now
	}
	l.mu.Unlock()
	table, members := l.servers.Current(), l.members()
	if !due || table == nil || members == nil {
		return
	}
	list := table.Of(backend)
	if taken, waiting, told := l.placer.Taken(now, list); told {
		l.admission.Load(l.now(), backend, min(1, taken), waiting)
		return
	}
	places := 0
	for _, server := range list {
		places += server.Slots
	}
	if places == 0 {
		return
	}
	taken := float64(l.placer.Active(list)*max(1, len(members.Gateways))) / float64(places)
	l.admission.Load(l.now(), backend, min(1, taken), taken > 1)
}
