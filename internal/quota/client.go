package quota

import (
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	pollEvery      = 300 * time.Millisecond // demand that changed is told, and leases that changed are acknowledged
	renewEvery     = 600 * time.Millisecond // leases are renewed
	leastAskGap    = 5 * time.Millisecond   // between requests for waiting ones
	maxReplyAge    = 600 * time.Millisecond // a reply that comes later is as lost
	firstRetryGap  = 60 * time.Millisecond  // after a request that failed, doubled each time
	longestGap     = 400 * time.Millisecond
	silentAfter    = 150 * time.Millisecond // without an answer to a request nobody waits for the allocator
	silentFailures = 2                      // or after so many requests in a row that failed
	shortestReturn = 900 * time.Millisecond // of refused clients: one that comes back too soon is refused for good
	longestReturn  = 1400 * time.Millisecond
	returnFrom     = 0.8 // shares of the time until there is room, over which clients' return is spread
	returnSpread   = 0.4
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
	tenants map[string]*tenant
	order   []*tenant // the same, as they came

	term       uint64        // of the allocator whose reply was taken last
	acked      uint64        // sequence of that reply
	leaseUntil time.Duration // all leases end; 0: none is held
	failures   int           // requests in a row that weren't answered

	sequence uint64
	out      bool // the request of that sequence is out
	outWhole bool
	outTells []*tenant     // whose demand it tells
	sentAt   time.Duration // of the newest request
	unacked  bool          // the newest reply changed leases, and no request has told since that it was taken
	askGap   time.Duration

	whole    bool // the allocator wants all that is held
	ask      bool // a request waits that nothing out asks for
	waiting  int  // requests that wait, of all tenants
	nextAsk  time.Duration
	nextPoll time.Duration
	retryGap time.Duration
	dirty    []*tenant // to be told
}

// NewClient makes the client of a process that holds nothing. A new process needs a new incarnation.
func NewClient(options ClientOptions) *Client {
	random := options.Random
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Client{
		process: options.Process, random: random, retryGap: firstRetryGap, askGap: leastAskGap,
		tenants: map[string]*tenant{},
	}
}

// Configure takes a configuration in. A lower limit holds here at once.
func (c *Client) Configure(snapshot *configuration.Snapshot) {
	for _, t := range c.order {
		configured := snapshot.TenantNamed(t.name)
		if t.gone = configured == nil; t.gone {
			c.tell(t)
			continue
		}
		before := t.held
		t.setLimit(configured)
		c.whole = c.whole || t.held != before
	}
}

// Take asks for a token for a request that comes now.
func (c *Client) Take(now time.Duration, of *configuration.Tenant) Verdict {
	if unlimited(of) {
		return Verdict{Admit: true}
	}
	c.expire(now)
	t := c.tenantOf(of)
	t.arrived(now)
	if t.demandChanged(now) {
		c.tell(t)
	}
	verdict := c.decide(now, t)
	if verdict.Wait {
		t.waiting++
		c.waiting++
		c.wait(t)
	}
	return verdict
}

// Resolve asks again for a request that waits. Only Wait leaves it waiting.
func (c *Client) Resolve(now time.Duration, of *configuration.Tenant) Verdict {
	c.expire(now)
	t := c.tenantOf(of)
	verdict := c.decide(now, t)
	if verdict.Wait {
		c.wait(t)
	} else {
		c.leave(t)
	}
	return verdict
}

// GiveUp ends the waiting of a request and tells when its client may come back.
func (c *Client) GiveUp(now time.Duration, of *configuration.Tenant) time.Duration {
	c.expire(now)
	t := c.tenantOf(of)
	c.leave(t)
	return c.returnAfter(t.refills(now))
}

// Charge takes a token for a further attempt of a request, after the fact: the tenant may be in debt for a while.
func (c *Client) Charge(now time.Duration, of *configuration.Tenant) {
	if unlimited(of) {
		return
	}
	c.expire(now)
	c.tenantOf(of).charge(now)
}

// Silent tells whether the allocator hasn't answered for so long that waiting for it is vain.
func (c *Client) Silent(now time.Duration) bool {
	return c.failures >= silentFailures || c.out && now-c.sentAt > silentAfter
}

// ServesIn tells when a tenant's lease would have a token for one more request, after those that wait; a very long time where
// there is no lease.
func (c *Client) ServesIn(now time.Duration, of *configuration.Tenant) time.Duration {
	if unlimited(of) {
		return 0
	}
	c.expire(now)
	return c.tenantOf(of).servesIn(now)
}

// Return gives back a token that was taken at a moment, of a request that was not sent to any server. Without a lease it is lost.
// So is one that was taken longer ago than a token of the pool lasts, by a process that stood still since: the pool may have
// granted its place anew.
func (c *Client) Return(now, taken time.Duration, of *configuration.Tenant) {
	if unlimited(of) || now-taken > longestExpiry {
		return
	}
	c.expire(now)
	t := c.tenantOf(of)
	t.refill(now)
	t.bucket.level = min(t.bucket.level+token, t.held.depth)
}

func unlimited(of *configuration.Tenant) bool { return of == nil || of.RatePerSec <= 0 }

// tell marks a tenant to be told of in the next request.
func (c *Client) tell(t *tenant) {
	if !t.dirty {
		t.dirty = true
		c.dirty = append(c.dirty, t)
	}
}

func (c *Client) wait(t *tenant) {
	c.ask = true
	c.tell(t)
}

func (c *Client) leave(t *tenant) {
	t.waiting--
	c.waiting--
}

// decide spends a token if there is one. Tokens of the pool go first: they expire.
func (c *Client) decide(now time.Duration, t *tenant) Verdict {
	if t.spendStock(now) || t.spendLease(now) {
		return Verdict{Admit: true}
	}
	refill := t.refills(now)
	if now < t.emptyUntil && (refill > shortRefill || t.waiting > 1) {
		return Verdict{RetryAfter: c.returnAfter(min(refill, t.emptyUntil-now))}
	}
	return Verdict{Wait: true}
}

// returnAfter spreads clients' return around the time when there is room.
func (c *Client) returnAfter(room time.Duration) time.Duration {
	after := min(max(room, shortestReturn), longestReturn)
	return time.Duration(float64(after) * (returnFrom + returnSpread*c.random.Float64()))
}

// expire ends leases that weren't renewed in time.
func (c *Client) expire(now time.Duration) {
	if c.leaseUntil == 0 || now < c.leaseUntil {
		return
	}
	c.leaseUntil = 0
	for _, t := range c.order {
		c.whole = c.whole || !t.held.none() // the allocator may not know that they ended
		t.held, t.bucket.level = lease{}, min(0, t.bucket.level)
	}
}

func (c *Client) tenantOf(of *configuration.Tenant) *tenant {
	t := c.tenants[of.Name]
	if t == nil {
		t = &tenant{name: of.Name}
		c.tenants[of.Name] = t
		c.order = append(c.order, t)
	}
	t.gone = false
	t.setLimit(of)
	return t
}
