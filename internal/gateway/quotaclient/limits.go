// Package quotaclient owns the carrying of a gateway's part of the quotas: it asks the allocator over the network as package quota
// tells it to, and has requests wait for what comes back. It must never decide about a token itself.
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
	replyTimeout    = 600 * time.Millisecond // of a call to the allocator
	heartbeat       = 500 * time.Millisecond
	minStepInterval = time.Millisecond
	certainMargin   = 5 * time.Millisecond // beyond the moment when a lease has the token that is waited for
)

// Options are a keeper's fixed parts.
type Options struct {
	Process   protocol.Process
	Transport transport.Options
	Members   func() *protocol.MemberList // nil list: not known yet
	Log       zerolog.Logger
}

// Patience is how long a request may wait for a token.
type WaitLimits struct {
	Uncertain time.Duration // while it isn't known whether it will get one: a refusal must come soon
	Certain   time.Duration // where its lease will have one by then
}

// Decision is what became of a request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a refused one

	takenAt time.Duration // when its token was
}

// Counts are totals since the start.
type Counts struct {
	Admitted uint64
	Rejected uint64 // over the limit, or while no allocator could be reached
	Waited   uint64 // of both, those that waited
	Requests uint64 // requests to the allocator
	Failed   uint64 // of these, those without an answer
}

// Keeper holds a gateway's tokens. It is safe for concurrent use.
type Limiter struct {
	options Options
	origin  time.Time
	wakeup  chan struct{}

	mutex      sync.Mutex
	client     *quota.Client
	waiters    []*waiter
	address    string // of the allocator
	connection *transport.Client
	counts     Counts
	rejections rejectionLog
}

// waiter is a request that waits for a token.
type waiter struct {
	tenant  *configuration.Tenant
	decided chan Decision
}

// New gives a keeper; Run has it ask.
func New(options Options) *Limiter {
	options.Transport.Heartbeat = heartbeat
	return &Limiter{
		options: options, origin: time.Now(), wakeup: make(chan struct{}, 1),
		client: quota.NewClient(quota.ClientOptions{Process: options.Process}),
	}
}

func (l *Limiter) now() time.Duration { return time.Since(l.origin) }

// Configure takes a configuration in.
func (l *Limiter) Configure(snapshot *configuration.Snapshot) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Configure(snapshot)
}

// Acquire takes a token for a request, or waits for one. A nil tenant has no limit.
func (l *Limiter) Acquire(ctx context.Context, tenant *configuration.Tenant, limits WaitLimits) Decision {
	decision, waits, until := l.tryAcquire(tenant, limits)
	if waits == nil {
		return decision
	}
	timer := time.NewTimer(until)
	defer timer.Stop()
	select {
	case decision = <-waits.decided:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return l.abandon(waits)
}

// take decides at once, or gives the place in the queue and how long to stay in it.
func (l *Limiter) tryAcquire(tenant *configuration.Tenant, limits WaitLimits) (Decision, *waiter, time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	served := l.client.TimeToToken(now, tenant)
	verdict := l.client.Take(now, tenant)
	if !verdict.Wait {
		return l.count(now, tenant, verdict), nil, 0
	}
	l.counts.Waited++
	until := limits.Uncertain
	switch {
	case served < limits.Certain:
		until = max(until, served+certainMargin)
	case l.client.AllocatorTimedOut(now):
		return l.count(now, tenant, quota.Verdict{RetryAfter: l.client.Cancel(now, tenant)}), nil, 0
	}
	one := &waiter{tenant: tenant, decided: make(chan Decision, 1)}
	l.waiters = append(l.waiters, one)
	l.wake()
	return Decision{}, one, until
}

func (l *Limiter) count(now time.Duration, tenant *configuration.Tenant, verdict quota.Verdict) Decision {
	if verdict.Admit {
		l.counts.Admitted++
	} else {
		l.counts.Rejected++
		l.rejections.record(tenant.Name, l.client.AllocatorTimedOut(now))
	}
	return Decision{Admit: verdict.Admit, RetryAfter: verdict.RetryAfter, takenAt: now}
}

// giveUp ends a wait, unless it has just been decided.
func (l *Limiter) abandon(one *waiter) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range l.waiters {
		if other == one {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			now := l.now()
			return l.count(now, one.tenant, quota.Verdict{RetryAfter: l.client.Cancel(now, one.tenant)})
		}
	}
	return <-one.decided
}

// Charge counts a further attempt of a request that a server may have run.
func (l *Limiter) Charge(tenant *configuration.Tenant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Charge(l.now(), tenant)
}

// Return gives back the token that a decision took, where no byte of the request went to a server.
func (l *Limiter) Return(tenant *configuration.Tenant, decision Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.client.Return(l.now(), decision.takenAt, tenant)
}

// Counts gives the totals.
func (l *Limiter) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts
}

func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
