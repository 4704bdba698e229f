package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// The settled figures. Shares are of what the rule allows beyond the rate over the window.
const (
	leaseTTL         = 3 * time.Second        // a lease lasts so long without an answer
	clockDriftMargin = 100 * time.Millisecond // that a clock may gain over a lease
	maxTokenTTL      = 250 * time.Millisecond // of tokens
	tokenTTLShare    = 0.4                    // of the margin that the expiry of tokens may take
	rateShare        = 0.9                    // of the overshoot: goes into the rate where the depth can spare it
	minMarginSeconds = 0.75                   // seconds of the rate that the margin keeps
	reserveShare     = 0.1                    // of overshoot and slack: for requests charged after they were sent
	leasedDepthShare = 0.5                    // of the depth: may be lent; what isn't is the pool's
	leasedRateShare  = 0.65                   // of the rate: may be lent, the rest always flows into the pool
	minLeaseDepth    = 1.0                    // of a lease: a request takes a whole token
)

// Rules are the figures of the rule that are the same for all tenants.
type Rules struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Most is what the rule allows a tenant in any window.
func (r Rules) MaxInWindow(rate, burst float64) float64 {
	return (rate*r.Window.Seconds()+burst)*(1+r.Overshoot) + r.Slack
}

// budget is how a tenant's limit is spent.
type budget struct {
	rate           amount        // tokens a second
	tokenTTL       time.Duration // of tokens of the pool
	depth          amount        // of the pool and of all leases together
	maxLeasedRate  amount
	maxLeasedDepth amount // summed depth of leases
}

// budgetOf divides a limit. The sum of the parts stays within what the rule allows.
func newBudget(rules Rules, tenant *configuration.Tenant) budget {
	rate, margin := grantedRate(rules, tenant)
	burst := tenant.Burst
	tokenTTL := min(maxTokenTTL, time.Duration(tokenTTLShare*margin/rate*float64(time.Second))).Truncate(time.Millisecond)
	reserve := reserveShare * max(0, margin-burst)
	depth := math.Max(minLeaseDepth, margin-reserve-rate*tokenTTL.Seconds())
	result := budget{rate: tokens(rate), tokenTTL: tokenTTL, depth: tokens(depth)}
	if leasedDepth := leasedDepthShare * depth; leasedDepth >= minLeaseDepth {
		result.maxLeasedDepth, result.maxLeasedRate = tokens(leasedDepth), tokens(leasedRateShare*rate)
	}
	return result
}

// raisedRate gives the rate that is granted and what the rule allows beyond it: tenants that press are owed the whole limit in
// every window, so a part of the overshoot is granted to them steadily.
func grantedRate(rules Rules, tenant *configuration.Tenant) (rate, margin float64) {
	bound, window := rules.MaxInWindow(tenant.RatePerSec, tenant.Burst), rules.Window.Seconds()
	rate = min(tenant.RatePerSec*(1+rateShare*rules.Overshoot), bound/(window+minMarginSeconds))
	rate = max(rate, tenant.RatePerSec)
	return rate, bound - rate*window
}

// amount is a number of tokens, or of tokens a second, in millionths: sums of them are exact.
type amount int64

const token amount = 1e6

// tokens rounds down to an amount.
func tokens(n float64) amount { return amount(math.Floor(n * float64(token))) }

func (a amount) float() float64 { return float64(a) / float64(token) }

// over gives what flows at a rate over a time, rounded down.
func (a amount) over(d time.Duration) amount { return amount(math.Floor(float64(a) * d.Seconds())) }

// lease is a local bucket: what fills it a second, and what it holds at most.
type lease struct{ rate, depth amount }

func (l lease) plus(other lease) lease  { return lease{l.rate + other.rate, l.depth + other.depth} }
func (l lease) minus(other lease) lease { return lease{l.rate - other.rate, l.depth - other.depth} }

// most gives the larger of each part.
func (l lease) max(other lease) lease {
	return lease{max(l.rate, other.rate), max(l.depth, other.depth)}
}

func (l lease) isZero() bool { return l == lease{} }

// bucket holds tokens. It may be below zero.
type bucket struct {
	level      amount
	refilledAt time.Duration
}

// fill brings the bucket up to date.
func (b *bucket) refill(now time.Duration, inflow, depth amount) {
	if now > b.refilledAt {
		b.level += max(0, inflow).over(now - b.refilledAt)
		b.refilledAt = now
	}
	b.level = min(b.level, depth)
}
