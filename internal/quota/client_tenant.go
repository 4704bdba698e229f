package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	demandTimeConstant      = 3 * time.Second        // arrivals are remembered
	minRelativeDemandChange = 0.25                   // share by which demand must change to be told
	minDemandChange         = 0.3                    // and requests a second
	idleDemand              = 0.05                   // requests a second that count as none
	prefetchHorizon         = 200 * time.Millisecond // of the demand that the lease doesn't cover
	prefetchPause           = time.Second            // after an empty pool nothing is fetched ahead
	shortRefillWait         = 20 * time.Millisecond  // a lease that refills so soon is waited for, by one request
	never                   = time.Duration(math.MaxInt64 / 4)
	maxTokenBatches         = 4
	maxDebt                 = 5 * token // below zero, by further attempts
	demandPrecision         = 1000
)

// tenant is a gateway's part of a tenant's limit.
type clientTenant struct {
	name    string
	limit   amount // tokens a second; no lease is spent faster
	removed bool   // not in the configuration

	lease       lease
	leaseBucket bucket
	poolTokens  []tokenBatch // tokens of the pool, the oldest first

	arrivals       float64 // decayed
	arrivedAt      time.Duration
	reportedDemand float64 // demand that was told last
	reportDue      bool    // to be told
	waiting        int     // requests that wait
	poolEmptyUntil time.Duration
}

// batch is tokens of the pool that end together.
type tokenBatch struct {
	tokens    int
	expiresAt time.Duration
}

func (t *clientTenant) setLimit(configured *configuration.Tenant) {
	t.limit = tokens(configured.RatePerSec)
	t.lease.rate = min(t.lease.rate, t.limit)
}

// arrived counts a request that came.
func (t *clientTenant) countArrival(now time.Duration) {
	t.arrivals = t.decayedArrivals(now) + 1
	t.arrivedAt = now
}

func (t *clientTenant) decayedArrivals(now time.Duration) float64 {
	return t.arrivals * math.Exp(-(now-t.arrivedAt).Seconds()/demandTimeConstant.Seconds())
}

// demand is the requests a second that come here.
func (t *clientTenant) demand(now time.Duration) float64 {
	rate := t.decayedArrivals(now) / demandTimeConstant.Seconds()
	if rate < idleDemand || t.removed {
		return 0
	}
	return rate
}

func (t *clientTenant) demandChanged(now time.Duration) bool {
	rate := t.demand(now)
	if rate == 0 || t.reportedDemand == 0 {
		return rate != t.reportedDemand
	}
	return math.Abs(rate-t.reportedDemand) > max(minDemandChange, minRelativeDemandChange*t.reportedDemand)
}

// report gives the demand as it is told: few decimals make short messages.
func (t *clientTenant) takeReportedDemand(now time.Duration) float64 {
	t.reportedDemand = math.Ceil(t.demand(now)*demandPrecision) / demandPrecision
	return t.reportedDemand
}

// forgettable tells whether nothing hangs on a tenant any more, here or at the allocator.
func (t *clientTenant) forgettable(now time.Duration) bool {
	return t.lease.isZero() && t.waiting == 0 && t.reportedDemand == 0 && t.demand(now) == 0 && t.unexpiredPoolTokens(now) == 0
}

// wants is the tokens to ask for: those that requests wait for, and what the lease won't cover until the next poll.
func (t *clientTenant) tokensWanted(now time.Duration) int {
	want := t.waiting
	if now >= t.poolEmptyUntil+prefetchPause {
		short := (t.demand(now) - t.lease.rate.float()) * prefetchHorizon.Seconds()
		want += max(0, int(short)-t.unexpiredPoolTokens(now))
	}
	return want
}

func (t *clientTenant) unexpiredPoolTokens(now time.Duration) (sum int) {
	for _, batch := range t.poolTokens {
		if batch.expiresAt > now {
			sum += batch.tokens
		}
	}
	return sum
}

// spendStock spends a token of the pool.
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

func (t *clientTenant) refill(now time.Duration) {
	t.leaseBucket.refill(now, t.lease.rate, t.lease.depth)
}

// spendLease spends a token of the lease.
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

// charge takes a token after the fact.
func (t *clientTenant) charge(now time.Duration) {
	if t.spendPoolToken(now) {
		return
	}
	t.refill(now)
	t.leaseBucket.level = max(t.leaseBucket.level-token, -maxDebt)
}

// refills tells when the lease has its next token.
func (t *clientTenant) timeToLeaseToken(now time.Duration) time.Duration {
	if t.lease.rate <= 0 {
		return never
	}
	t.refill(now)
	missing := float64(token - t.leaseBucket.level)
	return max(0, time.Duration(math.Ceil(missing/float64(t.lease.rate)*float64(time.Second))))
}

// servesIn tells when the lease has a token for one request more than those that wait.
func (t *clientTenant) timeToServeNext(now time.Duration) time.Duration {
	first := t.timeToLeaseToken(now)
	if first == never {
		return never
	}
	others := amount(t.waiting) * token
	return first + time.Duration(float64(others)/float64(t.lease.rate)*float64(time.Second))
}

// take takes a grant in, of a request sent at sentAt.
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
