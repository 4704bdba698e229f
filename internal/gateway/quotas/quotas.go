// Package quotas carries a gateway's quota client: it sends its requests to the allocator, hands replies in, and lets requests
// wait for them. It decides nothing itself; internal/quota does.
package quotas

import (
	"context"
	"sync"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
	"sprucelane.example/sprucelane/internal/quota"
)

const (
	// waitMost is how long a request waits for the allocator's answer.
	waitMost = 150 * time.Millisecond
	// callWait bounds one call of the allocator.
	callWait = 600 * time.Millisecond
)

// Options are a carrier's fixed parts.
type Options struct {
	Process   protocol.Process
	Transport transport.Options
	// Address gives where the allocator is asked, host:port; empty where it isn't known.
	Address func() string
}

// Quotas is safe for concurrent use.
type Quotas struct {
	opt    Options
	origin time.Time
	kick   chan struct{}

	mu      sync.Mutex
	client  *quota.Client
	waiters []*waiter // first come first
	link    *transport.Client
	address string // of the link
}

type waiter struct {
	tenant  *configuration.Tenant
	verdict chan quota.Verdict
}

// New gives a carrier; Run keeps it.
func New(opt Options) *Quotas {
	return &Quotas{opt: opt, origin: time.Now(), kick: make(chan struct{}, 1),
		client: quota.NewClient(quota.ClientOptions{Process: opt.Process})}
}

func (q *Quotas) now() time.Duration { return time.Since(q.origin) }

// Configure takes a configuration in.
func (q *Quotas) Configure(snapshot *configuration.Snapshot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.client.Configure(snapshot)
	q.wake()
}

// Take asks for a token for a request that is sent now. Without one it tells when to come back.
func (q *Quotas) Take(ctx context.Context, tenant *configuration.Tenant) (admitted bool, retryAfter time.Duration) {
	q.mu.Lock()
	verdict := q.client.Take(q.now(), tenant)
	if !verdict.Wait {
		q.mu.Unlock()
		return verdict.Admit, verdict.RetryAfter
	}
	if q.client.Silent(q.now()) {
		retryAfter = q.client.GiveUp(q.now(), tenant)
		q.mu.Unlock()
		return false, retryAfter
	}
	w := &waiter{tenant: tenant, verdict: make(chan quota.Verdict, 1)}
	q.waiters = append(q.waiters, w)
	q.mu.Unlock()
	q.wake()
	return q.await(ctx, w)
}

func (q *Quotas) await(ctx context.Context, w *waiter) (admitted bool, retryAfter time.Duration) {
	timer := time.NewTimer(waitMost)
	defer timer.Stop()
	select {
	case verdict := <-w.verdict:
		return verdict.Admit, verdict.RetryAfter
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, one := range q.waiters {
		if one == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return false, q.client.GiveUp(q.now(), w.tenant)
		}
	}
	verdict := <-w.verdict // it came in the same moment
	return verdict.Admit, verdict.RetryAfter
}

// Charge takes a token for a further run of a request that had one.
func (q *Quotas) Charge(tenant *configuration.Tenant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.client.Charge(q.now(), tenant)
}

func (q *Quotas) wake() {
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

// Run sends requests to the allocator until the context ends.
func (q *Quotas) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer q.unlink()
	for {
		timer.Reset(q.step(ctx))
		select {
		case <-timer.C:
		case <-q.kick:
		case <-ctx.Done():
			return
		}
	}
}

// step does what is due, and gives the time until more is.
func (q *Quotas) step(ctx context.Context) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if request, due := q.client.NextRequest(q.now()); due {
		if link := q.connect(); link != nil {
			go q.call(ctx, link, request)
		} else {
			q.client.Failed(q.now())
		}
	}
	q.resolve()
	now := q.now()
	return q.client.Wake(now) - now
}

// connect gives the connection to the present allocator, or nil. The mutex is held.
func (q *Quotas) connect() *transport.Client {
	address := q.opt.Address()
	if address == q.address {
		return q.link
	}
	if q.link != nil {
		q.link.Close()
		q.link = nil
	}
	if q.address = address; address != "" {
		q.link = transport.NewClient(address, q.opt.Transport, nil, func(bool) { q.wake() })
	}
	return q.link
}

func (q *Quotas) unlink() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.link != nil {
		q.link.Close()
	}
}

func (q *Quotas) call(ctx context.Context, link *transport.Client, request protocol.QuotaRequest) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	reply, err := link.Call(ctx, request)
	q.mu.Lock()
	if answer, ok := reply.(protocol.QuotaReply); ok && err == nil {
		q.client.Replied(q.now(), &answer)
	} else {
		q.client.Failed(q.now())
	}
	q.resolve()
	q.mu.Unlock()
	q.wake()
}

// resolve asks again for those that wait. The mutex is held.
func (q *Quotas) resolve() {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		verdict := q.client.Resolve(q.now(), w.tenant)
		if verdict.Wait {
			kept = append(kept, w)
			continue
		}
		w.verdict <- verdict
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}
