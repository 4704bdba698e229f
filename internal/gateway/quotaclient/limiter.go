// Package quotaclient enforces tenants' rate limits at a gateway. The client of package quota decides whether a
// request gets a token, and does no input or output. This package sends the client's requests for leases of
// tokens to the allocator, which runs in a control process, and lets clients' requests wait for tokens.
//
// A request that needs a token either gets one at once or waits for one. It waits longer if its tenant's lease
// will certainly have a token by then; otherwise only for as long as a rejection (429) is still timely. Without
// an allocator, existing leases are used until they expire.
package quotaclient

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

const (
	replyTimeout    = 600 * time.Millisecond // how long a request to the allocator waits for the reply
	heartbeat       = 500 * time.Millisecond // interval of heartbeats on the connection to the allocator
	minStepInterval = time.Millisecond       // minimum time until Run's next scheduled step
	certainMargin   = 5 * time.Millisecond   // added to the wait for a token that a lease will have
)

// Options configure a limiter.
type Options struct {
	Process   protocol.Process
	Transport transport.Options
	Members   func() *protocol.MemberList // returns nil if the list isn't known yet
	Log       zerolog.Logger
}

// WaitLimits are how long a request may wait for a token.
type WaitLimits struct {
	Uncertain time.Duration // while it isn't known whether a token will be available: a rejection must be sent soon
	Certain   time.Duration // if the tenant's lease will have a token by then
}

// Decision is the result of Acquire.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a rejected request

	takenAt time.Duration // when the token was taken
}

// Counts are totals since the limiter was created.
type Counts struct {
	Admitted uint64
	Rejected uint64 // over the limit, or while no allocator could be reached
	Waited   uint64 // admitted or rejected requests that had to wait
	Requests uint64 // requests to the allocator
	Failed   uint64 // requests to the allocator without a reply
}

// Limiter enforces the rate limits of tenants at one gateway. It is safe for concurrent use.
type Limiter struct {
	options Options
	origin  time.Time
	wakeup  chan struct{} // makes Run take a step at once

	mutex      sync.Mutex // guards the fields below
	client     *quota.Client
	waiters    []*waiter         // oldest first
	address    string            // of the allocator
	connection *transport.Client // to the allocator; nil: no address is known
	counts     Counts
	rejections rejectionLog
}

// waiter is a request that waits for a token.
type waiter struct {
	tenant  *configuration.Tenant
	decided chan Decision // buffered, so that resolve doesn't block
}

// New returns a limiter without tokens. Run requests them.
func New(options Options) *Limiter {
	options.Transport.Heartbeat = heartbeat
	return &Limiter{
		options: options, origin: time.Now(), wakeup: make(chan struct{}, 1),
		client: quota.NewClient(quota.ClientOptions{Process: options.Process}),
	}
}

// now returns the time since the limiter was created, by the process's monotonic clock.
func (l *Limiter) now() time.Duration { return time.Since(l.origin) }

// Configure applies a configuration.
func (l *Limiter) Configure(snapshot *configuration.Snapshot) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Configure(snapshot)
}

// Acquire takes a token for a request, or waits for one within limits and until ctx ends. A nil tenant isn't
// limited.
func (l *Limiter) Acquire(ctx context.Context, tenant *configuration.Tenant, limits WaitLimits) Decision {
	decision, pending, wait := l.tryAcquire(tenant, limits)
	if pending == nil {
		return decision
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case decision = <-pending.decided:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.abandon(pending)
}

// tryAcquire returns a decision if it can be made at once, or else a waiter and how long it may wait.
func (l *Limiter) tryAcquire(tenant *configuration.Tenant, limits WaitLimits) (Decision, *waiter, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	untilToken := l.client.TimeToToken(now, tenant)
	verdict := l.client.Take(now, tenant)
	if !verdict.Wait {
		return l.count(now, tenant, verdict), nil, 0
	}
	l.counts.Waited++
	wait := limits.Uncertain
	switch {
	case untilToken < limits.Certain:
		wait = max(wait, untilToken+certainMargin)
	case l.client.AllocatorTimedOut(now):
		return l.count(now, tenant, quota.Verdict{RetryAfter: l.client.Cancel(now, tenant)}), nil, 0
	}
	pending := &waiter{tenant: tenant, decided: make(chan Decision, 1)}
	l.waiters = append(l.waiters, pending)
	l.wake()
	return Decision{}, pending, wait
}

// count counts a verdict and returns it as a Decision. mutex must be held.
func (l *Limiter) count(now time.Duration, tenant *configuration.Tenant, verdict quota.Verdict) Decision {
	if verdict.Admit {
		l.counts.Admitted++
	} else {
		l.counts.Rejected++
		l.rejections.record(tenant.Name, l.client.AllocatorTimedOut(now))
	}
	return Decision{Admit: verdict.Admit, RetryAfter: verdict.RetryAfter, takenAt: now}
}

// abandon ends the wait of a request and rejects it. If the request has just been decided, abandon returns that
// decision instead.
func (l *Limiter) abandon(pending *waiter) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range l.waiters {
		if other == pending {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			now := l.now()
			return l.count(now, pending.tenant, quota.Verdict{RetryAfter: l.client.Cancel(now, pending.tenant)})
		}
	}
	return <-pending.decided
}

// Charge takes a token for a retry of a request that a server may have run.
func (l *Limiter) Charge(tenant *configuration.Tenant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Charge(l.now(), tenant)
}

// Return gives back the token of a decision. No byte of the request may have been sent to a server.
func (l *Limiter) Return(tenant *configuration.Tenant, decision Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Return(l.now(), decision.takenAt, tenant)
}

// Counts returns the totals.
func (l *Limiter) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts
}

// wake makes Run take the next step at once.
func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
