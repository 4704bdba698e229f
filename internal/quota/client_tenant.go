package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Parameters of the estimate of a tenant's demand at a gateway, and of its reports.
const (
	demandTimeConstant      = 3 * time.Second // of the exponential decay of the count of arrivals
	minRelativeDemandChange = 0.25            // demand is reported when it has changed by more than this share
	minDemandChange         = 0.3             // and by more than this many requests per second
	idleDemand              = 0.05            // requests per second; a lower demand counts as 0
	demandPrecision         = 1000            // reports are rounded up to 1/1000 request per second, for short messages
)

// Parameters of a gateway's use of the pool and of its lease.
const (
	prefetchHorizon = 200 * time.Millisecond // tokens are requested ahead for this time's demand beyond the lease
	prefetchPause   = time.Second            // for so long after the pool was empty no tokens are requested ahead
	shortRefillWait = 20 * time.Millisecond  // with an empty pool, one request may wait for a lease that refills by then
	maxTokenBatches = 4                      // held per tenant; a further batch replaces the oldest
	maxDebt         = 5 * token              // largest debt of a lease's bucket (Client.Charge)
)

// never stands for an infinite duration. A time can be added to it without overflow.
const never = time.Duration(math.MaxInt64 / 4)

// clientTenant is a gateway's state of one tenant's quota.
type clientTenant struct {
	name    string
	limit   amount // tokens per second; a lease with a higher rate is cut to it
	removed bool   // not in the configuration

	lease          lease // valid until Client.leaseExpiry
	leaseBucket    bucket
	poolTokens     []tokenBatch  // the oldest first
	poolEmptyUntil time.Duration // when the allocator, which had too few tokens, expects to have more

	arrivals       float64 // decaying count of requests as of arrivedAt (demandTimeConstant)
	arrivedAt      time.Duration
	reportedDemand float64 // requests per second in the last report
	reportDue      bool    // the tenant is in Client.dueReports
	waiting        int     // number of requests that wait for a token
}

// tokenBatch is a number of pool tokens that expire together.
type tokenBatch struct {
	tokens    int
	expiresAt time.Duration
}

// setLimit applies a tenant's limit to its lease at once.
func (t *clientTenant) setLimit(configured *configuration.Tenant) {
	t.limit = tokens(configured.RatePerSec)
	t.lease.rate = min(t.lease.rate, t.limit)
}

// countArrival counts a request that arrives now, whether or not it will be admitted.
func (t *clientTenant) countArrival(now time.Duration) {
	t.arrivals = t.decayedArrivals(now) + 1
	t.arrivedAt = now
}

// decayedArrivals returns the decaying count of arrivals as of now.
func (t *clientTenant) decayedArrivals(now time.Duration) float64 {
	return t.arrivals * math.Exp(-(now-t.arrivedAt).Seconds()/demandTimeConstant.Seconds())
}

// demand returns the estimated number of requests per second that arrive at this gateway, rejected ones included.
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

// updateReportedDemand returns the demand for a report and stores it as the reported demand.
func (t *clientTenant) updateReportedDemand(now time.Duration) float64 {
	t.reportedDemand = math.Ceil(t.demand(now)*demandPrecision) / demandPrecision
	return t.reportedDemand
}

// removable reports whether the tenant's state can be removed: neither the client nor the allocator has anything
// of the tenant that matters.
func (t *clientTenant) removable(now time.Duration) bool {
	return t.lease.isZero() && t.waiting == 0 && t.reportedDemand == 0 && t.demand(now) == 0 &&
		t.unexpiredPoolTokens(now) == 0
}

// tokensWanted returns the number of tokens to request: one for each request that waits and, unless the pool was
// empty lately (prefetchPause), those for the demand of the next prefetchHorizon that neither the lease nor unspent
// tokens cover.
func (t *clientTenant) tokensWanted(now time.Duration) int {
	want := t.waiting
	if now >= t.poolEmptyUntil+prefetchPause {
		short := (t.demand(now) - t.lease.rate.float()) * prefetchHorizon.Seconds()
		want += max(0, int(short)-t.unexpiredPoolTokens(now))
	}
	return want
}

// unexpiredPoolTokens returns the number of pool tokens that can still be spent.
func (t *clientTenant) unexpiredPoolTokens(now time.Duration) (sum int) {
	for _, batch := range t.poolTokens {
		if batch.expiresAt > now {
			sum += batch.tokens
		}
	}
	return sum
}

// spendPoolToken spends a token of the oldest unexpired batch. It reports whether there was one.
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

// refill adds the inflow of the lease's bucket up to now. A grant that changes the lease's rate is preceded by it
// (applyGrant).
func (t *clientTenant) refill(now time.Duration) {
	t.leaseBucket.refill(now, t.lease.rate, t.lease.depth)
}

// spendLeaseToken spends a token of the lease. It reports whether the lease had one.
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

// charge takes a token whether or not there is one: without a pool token, the lease may go into debt up to maxDebt.
func (t *clientTenant) charge(now time.Duration) {
	if t.spendPoolToken(now) {
		return
	}
	t.refill(now)
	t.leaseBucket.level = max(t.leaseBucket.level-token, -maxDebt)
}

// timeToLeaseToken returns the time until the lease has a token, or never without a lease.
func (t *clientTenant) timeToLeaseToken(now time.Duration) time.Duration {
	if t.lease.rate <= 0 {
		return never
	}
	t.refill(now)
	missing := float64(token - t.leaseBucket.level)
	return max(0, time.Duration(math.Ceil(missing/float64(t.lease.rate)*float64(time.Second))))
}

// timeToServeNext returns the time until the lease has a token for one request more than those that wait, or never
// without a lease.
func (t *clientTenant) timeToServeNext(now time.Duration) time.Duration {
	first := t.timeToLeaseToken(now)
	if first == never {
		return never
	}
	others := amount(t.waiting) * token
	return first + time.Duration(float64(others)/float64(t.lease.rate)*float64(time.Second))
}

// applyGrant applies a grant in the reply to a request that was sent at sentAt. A changed lease keeps its level,
// limited to the new depth, and a new lease starts empty. The change is ignored if leasesInForce is false: the reply
// came too late for leases to be in force.
func (t *clientTenant) applyGrant(now, sentAt time.Duration, grant *protocol.QuotaGrant, leasesInForce bool) {
	if grant.Change && leasesInForce {
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
