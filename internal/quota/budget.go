package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// The settled figures. Shares are of what the rule allows beyond the rate over the window.
const (
	leaseFor       = 3 * time.Second        // a lease lasts so long without an answer
	clockMargin    = 100 * time.Millisecond // that a clock may gain over a lease
	longestExpiry  = 250 * time.Millisecond // of tokens
	expiryShare    = 0.4                    // of the margin that the expiry of tokens may take
	rateShare      = 0.9                    // of the overshoot: goes into the rate where the depth can spare it
	leastMargin    = 0.75                   // seconds of the rate that the margin keeps
	reserveShare   = 0.1                    // of overshoot and slack: for requests charged after they were sent
	lentDepthShare = 0.5                    // of the depth: may be lent; what isn't is the pool's
	lentRateShare  = 0.65                   // of the rate: may be lent, the rest always flows into the pool
	leastDepth     = 1.0                    // of a lease: a request takes a whole token
)

// Rules are the figures of the rule that are the same for all tenants.
type Rules struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Most is what the rule allows a tenant in any window.
func (r Rules) Most(rate, burst float64) float64 {
	return (rate*r.Window.Seconds()+burst)*(1+r.Overshoot) + r.Slack
}

// budget is how a tenant's limit is spent.
type budget struct {
	rate        amount        // tokens a second
	expiry      time.Duration // of tokens of the pool
	depth       amount        // of the pool and of all leases together
	maxLentRate amount
	maxLent     amount // summed depth of leases
}

// budgetOf divides a limit. The sum of the parts stays within what the rule allows.
func budgetOf(rules Rules, tenant *configuration.Tenant) budget {
	rate, margin := raisedRate(rules, tenant)
	burst := tenant.Burst
	expiry := min(longestExpiry, time.Duration(expiryShare*margin/rate*float64(time.Second))).Truncate(time.Millisecond)
	reserve := reserveShare * max(0, margin-burst)
	depth := math.Max(leastDepth, margin-reserve-rate*expiry.Seconds())
	b := budget{rate: tokens(rate), expiry: expiry, depth: tokens(depth)}
	if lent := lentDepthShare * depth; lent >= leastDepth {
		b.maxLent, b.maxLentRate = tokens(lent), tokens(lentRateShare*rate)
	}
	return b
}

// raisedRate gives the rate that is granted and what the rule allows beyond it: tenants that press are owed the whole limit in
// every window, so a part of the overshoot is granted to them steadily.
func raisedRate(rules Rules, tenant *configuration.Tenant) (rate, margin float64) {
	most, window := rules.Most(tenant.RatePerSec, tenant.Burst), rules.Window.Seconds()
	rate = min(tenant.RatePerSec*(1+rateShare*rules.Overshoot), most/(window+leastMargin))
	rate = max(rate, tenant.RatePerSec)
	return rate, most - rate*window
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
func (l lease) most(other lease) lease {
	return lease{max(l.rate, other.rate), max(l.depth, other.depth)}
}

func (l lease) none() bool { return l == lease{} }

// bucket holds tokens. It may be below zero.
type bucket struct {
	level amount
	at    time.Duration
}

// fill brings the bucket up to date.
func (b *bucket) fill(now time.Duration, inflow, depth amount) {
	if now > b.at {
		b.level += max(0, inflow).over(now - b.at)
		b.at = now
	}
	b.level = min(b.level, depth)
}
