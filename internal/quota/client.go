package quota

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	reportInterval       = 300 * time.Millisecond // demand that changed is told, and leases that changed are acknowledged
	renewInterval        = 600 * time.Millisecond // leases are renewed
	minRequestInterval   = 5 * time.Millisecond   // between requests for waiting ones
	replyTimeout         = 600 * time.Millisecond // a reply that comes later is as lost
	minBackoff           = 60 * time.Millisecond  // after a request that failed, doubled each time
	maxBackoff           = 400 * time.Millisecond
	allocatorTimeout     = 150 * time.Millisecond // without an answer to a request nobody waits for the allocator
	allocatorMaxFailures = 2                      // or after so many requests in a row that failed
	minClientRetryAfter  = 900 * time.Millisecond // of refused clients: one that comes back too soon is refused for good
	maxClientRetryAfter  = 1400 * time.Millisecond
	retryJitterFrom      = 0.8 // shares of the time until there is room, over which clients' return is spread
	retryJitterSpan      = 0.4
)

// Verdict is what became of a request's wish for a token.
type Verdict struct {
	Admit      bool
	Wait       bool          // ask again by Resolve once a reply was taken, or by the time that Wake tells
	RetryAfter time.Duration // of a refusal
}

// ClientOptions are what a gateway tells once.
type ClientOptions struct {
	Process protocol.Process
	Random  *rand.Rand // spreads the return of refused clients; nil: seeded at random
}

// Client holds a gateway's tokens and leases. It has one owner: its methods must not run at the same time.
type Client struct {
	process protocol.Process
	random  *rand.Rand
	tenants map[string]*clientTenant
	ordered []*clientTenant // the same, as they came

	term          uint64        // of the allocator whose reply was taken last
	ackedSequence uint64        // sequence of that reply
	leaseExpiry   time.Duration // all leases end; 0: none is held
	failures      int           // requests in a row that weren't answered

	sequence        uint64
	inFlight        bool // the request of that sequence is out
	inFlightFull    bool
	inFlightTenants []*clientTenant // whose demand it tells
	sentAt          time.Duration   // of the newest request
	ackDue          bool            // the newest reply changed leases, and no request has told since that it was taken
	requestInterval time.Duration

	fullReportDue bool // the allocator wants all that is held
	tokensDue     bool // a request waits that nothing out asks for
	waiting       int  // requests that wait, of all tenants
	nextRequestAt time.Duration
	nextReportAt  time.Duration
	backoff       time.Duration
	dueReports    []*clientTenant // to be told
}

// NewClient makes the client of a process that holds nothing. A new process needs a new incarnation.
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

// Configure takes a configuration in. A lower limit holds here at once.
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

// Take asks for a token for a request that comes now.
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

// Resolve asks again for a request that waits. Only Wait leaves it waiting.
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

// GiveUp ends the waiting of a request and tells when its client may come back.
func (c *Client) Cancel(now time.Duration, tenant *configuration.Tenant) time.Duration {
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	c.stopWaiting(t)
	return c.retryAfter(t.timeToLeaseToken(now))
}

// Charge takes a token for a further attempt of a request, after the fact: the tenant may be in debt for a while.
func (c *Client) Charge(now time.Duration, tenant *configuration.Tenant) {
	if unlimited(tenant) {
		return
	}
	c.expireLeases(now)
	c.tenantFor(tenant).charge(now)
}

// Silent tells whether the allocator hasn't answered for so long that waiting for it is vain.
func (c *Client) AllocatorTimedOut(now time.Duration) bool {
	return c.failures >= allocatorMaxFailures || c.inFlight && now-c.sentAt > allocatorTimeout
}

// ServesIn tells when a tenant's lease would have a token for one more request, after those that wait; a very long time where
// there is no lease.
func (c *Client) TimeToToken(now time.Duration, tenant *configuration.Tenant) time.Duration {
	if unlimited(tenant) {
		return 0
	}
	c.expireLeases(now)
	return c.tenantFor(tenant).timeToServeNext(now)
}

// Return gives back a token that was taken at a moment, of a request that was not sent to any server. Without a lease it is lost.
// So is one that was taken longer ago than a token of the pool lasts, by a process that stood still since: the pool may have
// granted its place anew.
func (c *Client) Return(now, taken time.Duration, tenant *configuration.Tenant) {
	if unlimited(tenant) || now-taken > maxTokenTTL {
		return
	}
	c.expireLeases(now)
	t := c.tenantFor(tenant)
	t.refill(now)
	t.leaseBucket.level = min(t.leaseBucket.level+token, t.lease.depth)
}

func unlimited(tenant *configuration.Tenant) bool { return tenant == nil || tenant.RatePerSec <= 0 }

// tell marks a tenant to be told of in the next request.
func (c *Client) scheduleReport(t *clientTenant) {
	if !t.reportDue {
		t.reportDue = true
		c.dueReports = append(c.dueReports, t)
	}
}

func (c *Client) requestTokens(t *clientTenant) {
	c.tokensDue = true
	c.scheduleReport(t)
}

func (c *Client) stopWaiting(t *clientTenant) {
	t.waiting--
	c.waiting--
}

// decide spends a token if there is one. Tokens of the pool go first: they expire.
func (c *Client) decide(now time.Duration, t *clientTenant) Verdict {
	if t.spendPoolToken(now) || t.spendLeaseToken(now) {
		return Verdict{Admit: true}
	}
	refill := t.timeToLeaseToken(now)
	if now < t.poolEmptyUntil && (refill > shortRefillWait || t.waiting > 1) {
		return Verdict{RetryAfter: c.retryAfter(min(refill, t.poolEmptyUntil-now))}
	}
	return Verdict{Wait: true}
}

// returnAfter spreads clients' return around the time when there is room.
func (c *Client) retryAfter(untilToken time.Duration) time.Duration {
	after := min(max(untilToken, minClientRetryAfter), maxClientRetryAfter)
	return time.Duration(float64(after) * (retryJitterFrom + retryJitterSpan*c.random.Float64()))
}

// expire ends leases that weren't renewed in time.
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

func (c *Client) tenantFor(of *configuration.Tenant) *clientTenant {
	t := c.tenants[of.Name]
	if t == nil {
		t = &clientTenant{name: of.Name}
		c.tenants[of.Name] = t
		c.ordered = append(c.ordered, t)
	}
	t.removed = false
	t.setLimit(of)
	return t
}
