package quota

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Timing of the exchange with the allocator.
const (
	reportInterval       = 300 * time.Millisecond // between reports of changed demand and acknowledgements
	renewInterval        = 600 * time.Millisecond // from a request to the next one that renews leases: a fifth of leaseTTL
	minRequestInterval   = 5 * time.Millisecond   // between requests for tokens; the allocator may ask for a longer one
	replyTimeout         = 600 * time.Millisecond // a reply that comes later is ignored
	minBackoff           = 60 * time.Millisecond  // after a failed request; doubled with each further one
	maxBackoff           = 400 * time.Millisecond
	allocatorTimeout     = 150 * time.Millisecond // an unanswered request of this age, or
	allocatorMaxFailures = 2                      // so many failed requests in a row: the allocator counts as timed out
)

// Retry-After of rejected requests, before jitter. It is bounded below because clients that are rejected
// again soon give up.
const (
	minClientRetryAfter = 900 * time.Millisecond
	maxClientRetryAfter = 1400 * time.Millisecond
	retryJitterFrom     = 0.8 // the jitter is a factor, uniform from this
	retryJitterSpan     = 0.4 // to this much more
)

// Verdict is the decision on a request: Admit, Wait, or neither, which is a rejection.
type Verdict struct {
	Admit      bool
	Wait       bool          // no token yet: call Resolve after each reply and at WakeAt, or Cancel
	RetryAfter time.Duration // of a rejection
}

// ClientOptions are the fixed parameters of a Client.
type ClientOptions struct {
	Process protocol.Process // its incarnation is unique for each Client: the allocator knows holders by it
	Random  *rand.Rand       // for the jitter of Retry-After; nil: a randomly seeded one
}

// Client holds the tokens and leases of a gateway and decides on its requests. It isn't safe for concurrent
// use.
//
// Its times are durations since an origin that the caller chooses, from a monotonic clock. A caller that was
// paused must read the clock anew before each call: leases expire by that time.
type Client struct {
	process protocol.Process
	random  *rand.Rand

	// Invariant: tenants and ordered have the same elements. The order makes runs reproducible.
	tenants map[string]*clientTenant // by name
	ordered []*clientTenant

	term          uint64        // of the allocator whose reply was taken last; 0: none was
	ackedSequence uint64        // of the request that it answered
	leaseExpiry   time.Duration // of all leases; 0: none is held
	failures      int           // failed requests in a row

	// At most one request is in flight: the newest. A reply to any other is ignored.
	sequence        uint64          // of the newest request
	sentAt          time.Duration   // of the same
	inFlight        bool            // it is neither answered nor failed
	inFlightFull    bool            // it is a full report
	inFlightTenants []*clientTenant // that it reports, to be reported again if it fails
	ackDue          bool            // the newest reply changed leases, and no request has acknowledged it yet

	fullReportDue   bool            // the next request must list everything that is held here
	tokensDue       bool            // a request waits for a token that no request in flight asks for
	waiting         int             // requests that wait, of all tenants
	dueReports      []*clientTenant // to be in the next request: those with reportDue
	nextRequestAt   time.Duration
	nextReportAt    time.Duration
	requestInterval time.Duration // least time between requests for tokens
	backoff         time.Duration // after the next failure
}

// NewClient creates a client that holds nothing.
func NewClient(options ClientOptions) *Client {
	random := options.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Client{
		process: options.Process, random: random, backoff: minBackoff, requestInterval: minRequestInterval,
		tenants: map[string]*clientTenant{},
	}
}

// Configure applies a configuration. A lower limit applies here at once, to leases as well. Tenants that are
// new to the client need no Configure: each call for a request brings its tenant's limit.
func (c *Client) Configure(snapshot *configuration.Snapshot) {
	for _, t := range c.ordered {
		configured := snapshot.TenantByName(t.name)
		if t.removed = configured == nil; t.removed {
			c.scheduleReport(t)
			continue
		}
		before := t.lease
		t.setLimit(configured)
		c.fullReportDue = c.fullReportDue || t.lease != before
	}
}

// Take asks for a token for a request that arrives now. A tenant that is nil or has no limit is always
// admitted. After a verdict to wait the caller must call Resolve until the verdict is another, or Cancel.
func (c *Client) Take(now time.Duration, tenant *configuration.Tenant) Verdict {
	if unlimited(tenant) {
		return Verdict{Admit: true}
	}
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	t.countArrival(now)
	if t.demandChanged(now) {
		c.scheduleReport(t)
	}
	verdict := c.decide(now, t)
	if verdict.Wait {
		t.waiting++
		c.waiting++
		c.requestTokens(t)
	}
	return verdict
}

// Resolve asks again for a request that waits. After any other verdict than Wait it waits no longer.
func (c *Client) Resolve(now time.Duration, tenant *configuration.Tenant) Verdict {
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	verdict := c.decide(now, t)
	if verdict.Wait {
		c.requestTokens(t)
	} else {
		c.stopWaiting(t)
	}
	return verdict
}

// Cancel ends the waiting of a request and gives the Retry-After for its client.
func (c *Client) Cancel(now time.Duration, tenant *configuration.Tenant) time.Duration {
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	c.stopWaiting(t)
	return c.retryAfter(t.timeToLeaseToken(now))
}

// Charge takes a token for a retry or hedge of a request that was admitted before and that a server may have
// run. It is taken after the fact, so the lease may go into debt, up to maxDebt. The budget has a reserve for
// what that exceeds.
func (c *Client) Charge(now time.Duration, tenant *configuration.Tenant) {
	if unlimited(tenant) {
		return
	}
	c.expireLeases(now)
	c.tenantFor(tenant).charge(now)
}

// AllocatorTimedOut reports whether the allocator hasn't answered for so long that requests shouldn't wait
// for it.
func (c *Client) AllocatorTimedOut(now time.Duration) bool {
	return c.failures >= allocatorMaxFailures || c.inFlight && now-c.sentAt > allocatorTimeout
}

// TimeToToken returns the time until the tenant's lease has a token for one more request, after those that
// wait. Without a lease it is a very long time.
func (c *Client) TimeToToken(now time.Duration, tenant *configuration.Tenant) time.Duration {
	if unlimited(tenant) {
		return 0
	}
	c.expireLeases(now)
	return c.tenantFor(tenant).timeToServeNext(now)
}

// Return gives back a token that was taken at a given time, for a request that was sent to no server. It goes
// into the lease; without a lease it is lost. It is lost as well if it was taken more than maxTokenTTL ago,
// as after a process pause: by then the token, had it come from the pool, would have expired, and the pool's
// inflow has replaced it.
func (c *Client) Return(now, taken time.Duration, tenant *configuration.Tenant) {
	if unlimited(tenant) || now-taken > maxTokenTTL {
		return
	}
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	t.refill(now)
	t.leaseBucket.level = min(t.leaseBucket.level+token, t.lease.depth)
}

// unlimited reports whether a tenant has no limit; requests without a tenant have none.
func unlimited(tenant *configuration.Tenant) bool { return tenant == nil || tenant.RatePerSec <= 0 }

// scheduleReport has the next request report a tenant.
func (c *Client) scheduleReport(t *clientTenant) {
	if !t.reportDue {
		t.reportDue = true
		c.dueReports = append(c.dueReports, t)
	}
}

// requestTokens has the next request ask for the tokens that the tenant's requests wait for.
func (c *Client) requestTokens(t *clientTenant) {
	c.tokensDue = true
	c.scheduleReport(t)
}

// stopWaiting counts a waiting request out.
func (c *Client) stopWaiting(t *clientTenant) {
	t.waiting--
	c.waiting--
}

// decide spends a token if there is one. Pool tokens go first, as they expire sooner. A request waits unless
// the pool is known to be empty; then only one waits, and only for a lease that refills within
// shortRefillWait.
func (c *Client) decide(now time.Duration, t *clientTenant) Verdict {
	if t.spendPoolToken(now) || t.spendLeaseToken(now) {
		return Verdict{Admit: true}
	}
	untilToken := t.timeToLeaseToken(now)
	if now < t.poolEmptyUntil && (untilToken > shortRefillWait || t.waiting > 1) {
		return Verdict{RetryAfter: c.retryAfter(min(untilToken, t.poolEmptyUntil-now))}
	}
	return Verdict{Wait: true}
}

// retryAfter returns the Retry-After for a token that is expected after a time, with jitter so that clients
// don't come back all at once.
func (c *Client) retryAfter(untilToken time.Duration) time.Duration {
	after := min(max(untilToken, minClientRetryAfter), maxClientRetryAfter)
	return time.Duration(float64(after) * (retryJitterFrom + retryJitterSpan*c.random.Float64()))
}

// expireLeases ends the leases if they weren't renewed in time. Debts stay.
func (c *Client) expireLeases(now time.Duration) {
	if c.leaseExpiry == 0 || now < c.leaseExpiry {
		return
	}
	c.leaseExpiry = 0
	for _, t := range c.ordered {
		c.fullReportDue = c.fullReportDue || !t.lease.isZero() // the allocator may not know that they ended
		t.lease, t.leaseBucket.level = lease{}, min(0, t.leaseBucket.level)
	}
}

// tenantFor finds or adds the state of a tenant, and applies its current limit.
func (c *Client) tenantFor(tenant *configuration.Tenant) *clientTenant {
	t := c.tenants[tenant.Name]
	if t == nil {
		t = &clientTenant{name: tenant.Name}
		c.tenants[tenant.Name] = t
		c.ordered = append(c.ordered, t)
	}
	t.removed = false
	t.setLimit(tenant)
	return t
}
