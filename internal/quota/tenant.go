package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

const (
	demandOver     = 3 * time.Second        // arrivals are remembered
	demandChange   = 0.25                   // share by which demand must change to be told
	demandStep     = 0.3                    // and requests a second
	idleDemand     = 0.05                   // requests a second that count as none
	prefetchFor    = 200 * time.Millisecond // of the demand that the lease doesn't cover
	emptyMemory    = time.Second            // after an empty pool nothing is fetched ahead
	shortRefill    = 20 * time.Millisecond  // a lease that refills so soon is waited for, by one request
	never          = time.Duration(math.MaxInt64 / 4)
	stockBatches   = 4
	chargedAtMost  = 5 * token // below zero, by further attempts
	demandDecimals = 1000
)

// tenant is a gateway's part of a tenant's limit.
type tenant struct {
	name  string
	limit amount // tokens a second; no lease is spent faster
	gone  bool   // not in the configuration

	held   lease
	bucket bucket
	stock  []batch // tokens of the pool, the oldest first

	arrivals   float64 // decayed
	arrivedAt  time.Duration
	reported   float64 // demand that was told last
	dirty      bool    // to be told
	waiting    int     // requests that wait
	emptyUntil time.Duration
}

// batch is tokens of the pool that end together.
type batch struct {
	tokens  int
	expires time.Duration
}

func (t *tenant) setLimit(of *configuration.Tenant) {
	t.limit = tokens(of.RatePerSec)
	t.held.rate = min(t.held.rate, t.limit)
}

// arrived counts a request that came.
func (t *tenant) arrived(now time.Duration) {
	t.arrivals = t.decayed(now) + 1
	t.arrivedAt = now
}

func (t *tenant) decayed(now time.Duration) float64 {
	return t.arrivals * math.Exp(-(now-t.arrivedAt).Seconds()/demandOver.Seconds())
}

// demand is the requests a second that come here.
func (t *tenant) demand(now time.Duration) float64 {
	rate := t.decayed(now) / demandOver.Seconds()
	if rate < idleDemand || t.gone {
		return 0
	}
	return rate
}

func (t *tenant) demandChanged(now time.Duration) bool {
	rate := t.demand(now)
	if rate == 0 || t.reported == 0 {
		return rate != t.reported
	}
	return math.Abs(rate-t.reported) > max(demandStep, demandChange*t.reported)
}

// report gives the demand as it is told: few decimals make short messages.
func (t *tenant) report(now time.Duration) float64 {
	t.reported = math.Ceil(t.demand(now)*demandDecimals) / demandDecimals
	return t.reported
}

// forgettable tells whether nothing hangs on a tenant any more, here or at the allocator.
func (t *tenant) forgettable(now time.Duration) bool {
	return t.held.none() && t.waiting == 0 && t.reported == 0 && t.demand(now) == 0 && t.stocked(now) == 0
}

// wants is the tokens to ask for: those that requests wait for, and what the lease won't cover until the next poll.
func (t *tenant) wants(now time.Duration) int {
	want := t.waiting
	if now >= t.emptyUntil+emptyMemory {
		short := (t.demand(now) - t.held.rate.float()) * prefetchFor.Seconds()
		want += max(0, int(short)-t.stocked(now))
	}
	return want
}

func (t *tenant) stocked(now time.Duration) (sum int) {
	for _, one := range t.stock {
		if one.expires > now {
			sum += one.tokens
		}
	}
	return sum
}

// spendStock spends a token of the pool.
func (t *tenant) spendStock(now time.Duration) bool {
	for len(t.stock) > 0 {
		first := &t.stock[0]
		if first.expires > now && first.tokens > 0 {
			first.tokens--
			return true
		}
		t.stock = append(t.stock[:0], t.stock[1:]...)
	}
	return false
}

func (t *tenant) refill(now time.Duration) { t.bucket.fill(now, t.held.rate, t.held.depth) }

// spendLease spends a token of the lease.
func (t *tenant) spendLease(now time.Duration) bool {
	if t.held.none() {
		return false
	}
	t.refill(now)
	if t.bucket.level < token {
		return false
	}
	t.bucket.level -= token
	return true
}

// charge takes a token after the fact.
func (t *tenant) charge(now time.Duration) {
	if t.spendStock(now) {
		return
	}
	t.refill(now)
	t.bucket.level = max(t.bucket.level-token, -chargedAtMost)
}

// refills tells when the lease has its next token.
func (t *tenant) refills(now time.Duration) time.Duration {
	if t.held.rate <= 0 {
		return never
	}
	t.refill(now)
	missing := float64(token - t.bucket.level)
	return max(0, time.Duration(math.Ceil(missing/float64(t.held.rate)*float64(time.Second))))
}

// servesIn tells when the lease has a token for one request more than those that wait.
func (t *tenant) servesIn(now time.Duration) time.Duration {
	first := t.refills(now)
	if first == never {
		return never
	}
	others := amount(t.waiting) * token
	return first + time.Duration(float64(others)/float64(t.held.rate)*float64(time.Second))
}

// take takes a grant in, of a request sent at sentAt.
func (t *tenant) take(now, sentAt time.Duration, grant *protocol.QuotaGrant, leased bool) {
	if grant.Change && leased {
		t.refill(now)
		t.held = lease{min(tokens(grant.Lease.Rate), t.limit), tokens(grant.Lease.Depth)}
		t.bucket.level = min(t.bucket.level, t.held.depth)
	}
	if expires := sentAt + grant.ExpiresAfter; grant.Tokens > 0 && expires > now {
		if len(t.stock) >= stockBatches {
			t.stock = append(t.stock[:0], t.stock[1:]...)
		}
		t.stock = append(t.stock, batch{grant.Tokens, expires})
	}
	if grant.RetryAfter > 0 {
		t.emptyUntil = now + grant.RetryAfter
	}
}
