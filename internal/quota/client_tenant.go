package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How a gateway estimates and reports a tenant's demand.
const (
	demandTimeConstant      = 3 * time.Second // of the exponentially decaying count of arrivals
	minRelativeDemandChange = 0.25            // demand is reported when it has changed by this share, and
	minDemandChange         = 0.3             // by this many requests per second
	idleDemand              = 0.05            // requests per second; less counts as none
	demandPrecision         = 1000            // reports are rounded up to 1/1000 request per second: short messages
)

// How a gateway uses the pool and its lease.
const (
	prefetchHorizon = 200 * time.Millisecond // tokens are asked for ahead for this time, beyond what the lease covers
	prefetchPause   = time.Second            // after the pool was empty, none are asked for ahead
	shortRefillWait = 20 * time.Millisecond  // with an empty pool, one request waits for a lease that refills so soon
	maxTokenBatches = 4                      // the oldest is dropped for a further one
	maxDebt         = 5 * token              // of a lease's bucket (Client.Charge)
)

// never is a duration that doesn't end, and to which a time can be added without overflow.
const never = time.Duration(math.MaxInt64 / 4)

// clientTenant is a gateway's part of one tenant's quota.
type clientTenant struct {
	name    string
	limit   amount // tokens per second; a lease with a higher rate is cut to it
	removed bool   // not in the configuration

	lease          lease // until Client.leaseExpiry
	leaseBucket    bucket
	poolTokens     []tokenBatch  // the oldest first
	poolEmptyUntil time.Duration // the allocator had too few tokens, and said when there will be more

	arrivals       float64 // as of arrivedAt; decays with demandTimeConstant
	arrivedAt      time.Duration
	reportedDemand float64 // requests per second, in the last report
	reportDue      bool    // it is in Client.dueReports
	waiting        int     // requests that wait
}

// tokenBatch is tokens of the pool that expire together.
type tokenBatch struct {
	tokens    int
	expiresAt time.Duration
}

// setLimit applies a tenant's limit to its lease at once.
func (t *clientTenant) setLimit(configured *configuration.Tenant) {
	t.limit = tokens(configured.RatePerSec)
	t.lease.rate = min(t.lease.rate, t.limit)
}

// countArrival counts a request that arrives now, whether or not it is admitted.
func (t *clientTenant) countArrival(now time.Duration) {
	t.arrivals = t.decayedArrivals(now) + 1
	t.arrivedAt = now
}

// decayedArrivals is the decaying count of arrivals as of now.
func (t *clientTenant) decayedArrivals(now time.Duration) float64 {
	return t.arrivals * math.Exp(-(now-t.arrivedAt).Seconds()/demandTimeConstant.Seconds())
}

// demand is the estimated requests per second that arrive here, rejected ones included.
func (t *clientTenant) demand(now time.Duration) float64 {
	rate := t.decayedArrivals(now) / demandTimeConstant.Seconds()
	if rate < idleDemand || t.removed {
		return 0
	}
	return rate
}

// demandChanged reports whether demand differs enough from the last report to be reported.
func (t *clientTenant) demandChanged(now time.Duration) bool {
	rate := t.demand(now)
	if rate == 0 || t.reportedDemand == 0 {
		return rate != t.reportedDemand
	}
	return math.Abs(rate-t.reportedDemand) > max(minDemandChange, minRelativeDemandChange*t.reportedDemand)
}

// takeReportedDemand returns the demand for a report, and remembers it as reported.
func (t *clientTenant) takeReportedDemand(now time.Duration) float64 {
	t.reportedDemand = math.Ceil(t.demand(now)*demandPrecision) / demandPrecision
	return t.reportedDemand
}

// forgettable reports whether neither the client nor the allocator has any state of the tenant that matters.
func (t *clientTenant) forgettable(now time.Duration) bool {
	return t.lease.isZero() && t.waiting == 0 && t.reportedDemand == 0 && t.demand(now) == 0 &&
		t.unexpiredPoolTokens(now) == 0
}

// tokensWanted is the number of tokens to ask for: one for each request that waits, and those for the demand
// of the next prefetchHorizon that neither the lease nor unspent tokens cover.
func (t *clientTenant) tokensWanted(now time.Duration) int {
	want := t.waiting
	if now >= t.poolEmptyUntil+prefetchPause {
		short := (t.demand(now) - t.lease.rate.float()) * prefetchHorizon.Seconds()
		want += max(0, int(short)-t.unexpiredPoolTokens(now))
	}
	return want
}

// unexpiredPoolTokens is the number of pool tokens that can still be spent.
func (t *clientTenant) unexpiredPoolTokens(now time.Duration) (sum int) {
	for _, batch := range t.poolTokens {
		if batch.expiresAt > now {
			sum += batch.tokens
		}
	}
	return sum
}

// spendPoolToken spends a token of the oldest batch, if there is one.
func (t *clientTenant) spendPoolToken(now time.Duration) bool {
	for len(t.poolTokens) > 0 {
		first := &t.poolTokens[0]
		if first.expiresAt > now && first.tokens > 0 {
			first.tokens--
			return true
		}
		t.poolTokens = append(t.poolTokens[:0], t.poolTokens[1:]...)
	}
	return false
}

// refill brings the lease's bucket up to now. A change of the lease's rate is preceded by it.
func (t *clientTenant) refill(now time.Duration) {
	t.leaseBucket.refill(now, t.lease.rate, t.lease.depth)
}

// spendLeaseToken spends a token of the lease, if it has one.
func (t *clientTenant) spendLeaseToken(now time.Duration) bool {
	if t.lease.isZero() {
		return false
	}
	t.refill(now)
	if t.leaseBucket.level < token {
		return false
	}
	t.leaseBucket.level -= token
	return true
}

// charge takes a token whether or not there is one.
func (t *clientTenant) charge(now time.Duration) {
	if t.spendPoolToken(now) {
		return
	}
	t.refill(now)
	t.leaseBucket.level = max(t.leaseBucket.level-token, -maxDebt)
}

// timeToLeaseToken returns the time until the lease has a token, or never.
func (t *clientTenant) timeToLeaseToken(now time.Duration) time.Duration {
	if t.lease.rate <= 0 {
		return never
	}
	t.refill(now)
	missing := float64(token - t.leaseBucket.level)
	return max(0, time.Duration(math.Ceil(missing/float64(t.lease.rate)*float64(time.Second))))
}

// timeToServeNext returns the time until the lease has a token for one request more than those that wait, or
// never.
func (t *clientTenant) timeToServeNext(now time.Duration) time.Duration {
	first := t.timeToLeaseToken(now)
	if first == never {
		return never
	}
	others := amount(t.waiting) * token
	return first + time.Duration(float64(others)/float64(t.lease.rate)*float64(time.Second))
}

// applyGrant takes a grant of the reply to a request that was sent at sentAt. A lease that changes keeps its
// level, cut to the new depth: a new one starts empty. It is ignored if the reply came too late to have
// leases in force.
func (t *clientTenant) applyGrant(now, sentAt time.Duration, grant *protocol.QuotaGrant, leased bool) {
	if grant.Change && leased {
		t.refill(now)
		t.lease = lease{min(tokens(grant.Lease.Rate), t.limit), tokens(grant.Lease.Depth)}
		t.leaseBucket.level = min(t.leaseBucket.level, t.lease.depth)
	}
	if expiresAt := sentAt + grant.ExpiresAfter; grant.Tokens > 0 && expiresAt > now {
		if len(t.poolTokens) >= maxTokenBatches {
			t.poolTokens = append(t.poolTokens[:0], t.poolTokens[1:]...)
		}
		t.poolTokens = append(t.poolTokens, tokenBatch{grant.Tokens, expiresAt})
	}
	if grant.RetryAfter > 0 {
		t.poolEmptyUntil = now + grant.RetryAfter
	}
}
