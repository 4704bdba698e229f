package quota

import (
	"math"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
)

// Parameters of the division of a limit (newBudget). The margin is the number of requests that the rule allows in a
// window beyond the granted rate.
const (
	leaseTTL         = 3 * time.Second        // lifetime of a lease that isn't renewed by an answered request
	clockDriftMargin = 100 * time.Millisecond // the most that a clock may gain or lose over leaseTTL
	maxTokenTTL      = 250 * time.Millisecond // longest lifetime of pool tokens
	tokenTTLShare    = 0.4                    // share of the margin that the lifetime of tokens may cost (rate*tokenTTL)
	rateShare        = 0.9                    // share of the overshoot that is added to the rate, if the margin allows it
	minMarginSeconds = 0.75                   // minimum of the margin, in seconds of the granted rate
	reserveShare     = 0.1                    // share of the margin beyond the burst that is reserved for Client.Charge
	leasedDepthShare = 0.5                    // share of the depth that may be leased; the rest is the pool's
	leasedRateShare  = 0.65                   // share of the rate that may be leased; the rest always flows into the pool
	minLeaseDepth    = 1.0                    // tokens; a smaller bucket could never admit a request
)

// Rules are the parameters of the rate-limit rule that are the same for all tenants (settings bounds.quota-*).
type Rules struct {
	Window    time.Duration // length of the sliding window
	Overshoot float64       // share by which a limit may be exceeded
	Slack     float64       // number of requests by which a limit may be exceeded in addition
}

// MaxInWindow returns the most requests that the rule allows a tenant in any window. The rate is in requests per
// second, the burst in requests.
func (r Rules) MaxInWindow(rate, burst float64) float64 {
	return (rate*r.Window.Seconds()+burst)*(1+r.Overshoot) + r.Slack
}

// budget is a tenant's limit, divided into the quantities that the allocator enforces. Invariant: depth +
// rate*tokenTTL + rate*window, plus the reserve for charges, is at most Rules.MaxInWindow. (The package comment has
// the proof that no more is spent.)
type budget struct {
	rate           amount        // granted rate, per second
	tokenTTL       time.Duration // lifetime of pool tokens
	depth          amount        // total depth of the pool and all leases
	maxLeasedRate  amount        // maximum of the summed rates of leases
	maxLeasedDepth amount        // maximum of the summed depths of leases
}

// newBudget divides a tenant's limit. A tenant gets no leases and is served from the pool alone if its leases
// couldn't hold one whole token.
func newBudget(rules Rules, tenant *configuration.Tenant) budget {
	rate, margin := grantedRate(rules, tenant)
	tokenTTL := min(maxTokenTTL, time.Duration(tokenTTLShare*margin/rate*float64(time.Second))).Truncate(time.Millisecond)
	reserve := reserveShare * max(0, margin-tenant.Burst)
	depth := math.Max(minLeaseDepth, margin-reserve-rate*tokenTTL.Seconds())
	divided := budget{rate: tokens(rate), tokenTTL: tokenTTL, depth: tokens(depth)}
	if leasedDepth := leasedDepthShare * depth; leasedDepth >= minLeaseDepth {
		divided.maxLeasedDepth, divided.maxLeasedRate = tokens(leasedDepth), tokens(leasedRateShare*rate)
	}
	return divided
}

// grantedRate returns the rate per second that is granted, and the margin: the number of requests that the rule
// allows in a window beyond that rate. A tenant with a backlog must get its whole limit in every window, so a part
// of the overshoot is granted continuously.
func grantedRate(rules Rules, tenant *configuration.Tenant) (rate, margin float64) {
	bound, window := rules.MaxInWindow(tenant.RatePerSec, tenant.Burst), rules.Window.Seconds()
	rate = min(tenant.RatePerSec*(1+rateShare*rules.Overshoot), bound/(window+minMarginSeconds))
	rate = max(rate, tenant.RatePerSec)
	return rate, bound - rate*window
}
