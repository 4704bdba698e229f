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
	answerWait    = 600 * time.Millisecond // of a call to the allocator
	heartbeat     = 500 * time.Millisecond
	shortestStep  = time.Millisecond
	certainMargin = 5 * time.Millisecond // beyond the moment when a lease has the token that is waited for
)

// Options are a keeper's fixed parts.
type Options struct {
	Process   protocol.Process
	Transport transport.Options
	Members   func() *protocol.MemberList // nil list: not known yet
	Log       zerolog.Logger
}

// Patience is how long a request may wait for a token.
type Patience struct {
	Unsure time.Duration // while it isn't known whether it will get one: a refusal must come soon
	Sure   time.Duration // where its lease will have one by then
}

// Decision is what became of a request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // of a refused one

	taken time.Duration // when its token was
}

// Counts are totals since the start.
type Counts struct {
	Admitted uint64
	Refused  uint64 // over the limit, or while no allocator could be reached
	Waited   uint64 // of both, those that waited
	Asked    uint64 // requests to the allocator
	Failed   uint64 // of these, those without an answer
}

// Keeper holds a gateway's tokens. It is safe for concurrent use.
type Keeper struct {
	options Options
	origin  time.Time
	kick    chan struct{}

	mutex   sync.Mutex
	client  *quota.Client
	waiters []*waiter
	address string // of the allocator
	link    *transport.Client
	counts  Counts
	report  report
}

// waiter is a request that waits for a token.
type waiter struct {
	tenant  *configuration.Tenant
	decided chan Decision
}

// New gives a keeper; Run has it ask.
func New(options Options) *Keeper {
	options.Transport.Heartbeat = heartbeat
	return &Keeper{
		options: options, origin: time.Now(), kick: make(chan struct{}, 1),
		client: quota.NewClient(quota.ClientOptions{Process: options.Process}),
	}
}

func (k *Keeper) now() time.Duration { return time.Since(k.origin) }

// Configure takes a configuration in.
func (k *Keeper) Configure(snapshot *configuration.Snapshot) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.client.Configure(snapshot)
}

// Acquire takes a token for a request, or waits for one. A nil tenant has no limit.
func (k *Keeper) Acquire(ctx context.Context, tenant *configuration.Tenant, patience Patience) Decision {
	decision, waits, until := k.take(tenant, patience)
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
	return k.giveUp(waits)
}

// take decides at once, or gives the place in the queue and how long to stay in it.
func (k *Keeper) take(tenant *configuration.Tenant, patience Patience) (Decision, *waiter, time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.now()
	served := k.client.ServesIn(now, tenant)
	verdict := k.client.Take(now, tenant)
	if !verdict.Wait {
		return k.count(now, tenant, verdict), nil, 0
	}
	k.counts.Waited++
	until := patience.Unsure
	switch {
	case served < patience.Sure:
		until = max(until, served+certainMargin)
	case k.client.Silent(now):
		return k.count(now, tenant, quota.Verdict{RetryAfter: k.client.GiveUp(now, tenant)}), nil, 0
	}
	one := &waiter{tenant: tenant, decided: make(chan Decision, 1)}
	k.waiters = append(k.waiters, one)
	k.wake()
	return Decision{}, one, until
}

func (k *Keeper) count(now time.Duration, tenant *configuration.Tenant, verdict quota.Verdict) Decision {
	if verdict.Admit {
		k.counts.Admitted++
	} else {
		k.counts.Refused++
		k.report.refused(tenant.Name, k.client.Silent(now))
	}
	return Decision{Admit: verdict.Admit, RetryAfter: verdict.RetryAfter, taken: now}
}

// giveUp ends a wait, unless it has just been decided.
func (k *Keeper) giveUp(one *waiter) Decision {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for i, other := range k.waiters {
		if other == one {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			now := k.now()
			return k.count(now, one.tenant, quota.Verdict{RetryAfter: k.client.GiveUp(now, one.tenant)})
		}
	}
	return <-one.decided
}

// Charge counts a further attempt of a request that a server may have run.
func (k *Keeper) Charge(tenant *configuration.Tenant) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.client.Charge(k.now(), tenant)
}

// Return gives back the token that a decision took, where no byte of the request went to a server.
func (k *Keeper) Return(tenant *configuration.Tenant, decision Decision) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.client.Return(k.now(), decision.taken, tenant)
}

// Counts gives the totals.
func (k *Keeper) Counts() Counts {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.counts
}

func (k *Keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}
