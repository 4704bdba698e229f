package quota

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Timing of the exchange with the allocator.
const (
	reportInterval       = 300 * time.Millisecond // minimum time between reports of changed demand and acknowledgements
	renewInterval        = 600 * time.Millisecond // from a request to the next one that renews leases: a fifth of leaseTTL
	minRequestInterval   = 5 * time.Millisecond   // minimum time between requests for tokens; the allocator may extend it
	replyTimeout         = 600 * time.Millisecond // later replies are ignored
	minBackoff           = 60 * time.Millisecond  // delay after a failed request; doubled with each further failure
	maxBackoff           = 400 * time.Millisecond
	allocatorTimeout     = 150 * time.Millisecond // the allocator has timed out if a request is unanswered for so long,
	allocatorMaxFailures = 2                      // or if so many requests in a row have failed
)

// Retry-After of rejected requests, before jitter. It is bounded below because clients that are rejected
// again soon give up.
const (
	minClientRetryAfter = 900 * time.Millisecond
	maxClientRetryAfter = 1400 * time.Millisecond
	retryJitterFrom     = 0.8 // smallest jitter, a random factor with uniform distribution
	retryJitterSpan     = 0.4 // difference between the largest and the smallest jitter
)

// Verdict is the decision on a request: Admit, Wait, or a rejection if neither is set.
type Verdict struct {
	Admit      bool
	Wait       bool          // no token is available yet: call Resolve after each reply and at WakeAt, or call Cancel
	RetryAfter time.Duration // Retry-After of a rejection
}

// ClientOptions are the fixed parameters of a Client.
type ClientOptions struct {
	Process protocol.Process // its Incarnation is unique to each Client, because the allocator identifies holders by it
	Random  *rand.Rand       // for the jitter of Retry-After; nil: a randomly seeded generator
}

// Client holds the tokens and leases of a gateway and decides on its requests. It isn't safe for concurrent
// use.
//
// Times are durations since an origin that the caller chooses, read from a monotonic clock. After a process pause
// the caller must read the clock again before each call, because leases expire by the time that it passes.
type Client struct {
	process protocol.Process
	random  *rand.Rand

	// Invariant: tenants and ordered have the same elements. The fixed order makes simulations reproducible.
	tenants map[string]*clientTenant // by name
	ordered []*clientTenant

	term          uint64        // of the allocator whose reply was accepted last; 0: none yet
	ackedSequence uint64        // of the request that this reply answered
	leaseExpiry   time.Duration // when all leases expire; 0: no lease is held
	failures      int           // number of failed requests in a row

	// At most one request is in flight: the newest. A reply to any other is ignored.
	sequence        uint64          // of the newest request
	sentAt          time.Duration   // when the newest request was sent
	inFlight        bool            // the newest request is neither answered nor failed
	inFlightFull    bool            // the newest request is a full report
	inFlightTenants []*clientTenant // tenants that the newest request reports, to be reported again if it fails
	ackDue          bool            // the newest reply changed leases, and no request has acknowledged it yet

	fullReportDue   bool            // the next request must contain all leases held by this client
	tokensDue       bool            // client requests wait for tokens that the allocator hasn't been asked for
	waiting         int             // number of client requests that wait for a token, of all tenants
	dueReports      []*clientTenant // tenants to report in the next request: those with reportDue
	nextRequestAt   time.Duration
	nextReportAt    time.Duration
	requestInterval time.Duration // minimum time between requests for tokens
	backoff         time.Duration // delay after the next failure
}

// NewClient creates a client without tokens and leases.
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

// Configure applies a configuration. A lowered limit applies in this client at once, also to leases. Tenants that
// are new to the client need no Configure: each call for a request passes its tenant's limit.
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

// Take returns the verdict on a request that arrives now, and spends a token if it admits the request. Requests of
// a tenant that is nil or has no limit are always admitted. After Wait the caller must call Resolve until it
// returns another verdict, or call Cancel.
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

// Resolve returns a new verdict on a request that waits. After any verdict other than Wait the request is no
// longer counted as waiting.
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

// Cancel ends the waiting of a request and returns the Retry-After for its client.
func (c *Client) Cancel(now time.Duration, tenant *configuration.Tenant) time.Duration {
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	c.stopWaiting(t)
	return c.retryAfter(t.timeToLeaseToken(now))
}

// Charge takes a token for a retry or hedge of a request that was admitted before and that a server may have
// run. Because the token is taken afterwards, the lease may go into debt, up to maxDebt. The budget has a reserve
// for charges beyond maxDebt.
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
// wait. Without a lease it returns a duration of many years.
func (c *Client) TimeToToken(now time.Duration, tenant *configuration.Tenant) time.Duration {
	if unlimited(tenant) {
		return 0
	}
	c.expireLeases(now)
	return c.tenantFor(tenant).timeToServeNext(now)
}

// Return returns the token of a request that was admitted at the time taken and was sent to no server. The token
// goes into the lease; without a lease it is discarded. It is also discarded if it was taken more than maxTokenTTL
// ago, as after a process pause: a token of the pool would have expired by then, and the pool's inflow has replaced
// it.
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

// scheduleReport schedules a tenant to be reported in the next request.
func (c *Client) scheduleReport(t *clientTenant) {
	if !t.reportDue {
		t.reportDue = true
		c.dueReports = append(c.dueReports, t)
	}
}

// requestTokens makes the next request to the allocator ask for the tokens that the tenant's requests wait for.
func (c *Client) requestTokens(t *clientTenant) {
	c.tokensDue = true
	c.scheduleReport(t)
}

// stopWaiting removes a request of a tenant from the counts of waiting requests.
func (c *Client) stopWaiting(t *clientTenant) {
	t.waiting--
	c.waiting--
}

// decide returns the verdict on a request and spends a token if there is one. Pool tokens are spent first, as they
// expire sooner. Without a token the request waits unless the pool is known to be empty; then only one request
// waits, and only for a lease that refills within shortRefillWait.
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

// retryAfter returns the Retry-After for a token that is expected after untilToken, with jitter so that clients
// don't all return at once.
func (c *Client) retryAfter(untilToken time.Duration) time.Duration {
	after := min(max(untilToken, minClientRetryAfter), maxClientRetryAfter)
	return time.Duration(float64(after) * (retryJitterFrom + retryJitterSpan*c.random.Float64()))
}

// expireLeases ends the leases if they weren't renewed in time. Debts are kept.
func (c *Client) expireLeases(now time.Duration) {
	if c.leaseExpiry == 0 || now < c.leaseExpiry {
		return
	}
	c.leaseExpiry = 0
	for _, t := range c.ordered {
		c.fullReportDue = c.fullReportDue || !t.lease.isZero() // the allocator may not know that the leases ended
		t.lease, t.leaseBucket.level = lease{}, min(0, t.leaseBucket.level)
	}
}

// tenantFor returns the state of a tenant, after adding it if it is new and applying the tenant's current limit.
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
