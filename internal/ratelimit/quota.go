package ratelimit

import (
	"math"
	"time"
)

const (
	// randomizedTail is the last part of a shared bucket's burst, whose tokens are drawn only with a probability:
	// otherwise gateways that draw at the same moment would overdraw the bucket.
	randomizedTail = 0.1
	// maxDebtShare is the part of a share's burst that randomly admitted requests may draw ahead of the refill.
	maxDebtShare = 0.3
)

// QuotaView is one gateway's view of the token bucket of a customer's quota.
type QuotaView struct {
	Balance                  float64 // units left, as far as this gateway knows; negative: debt
	LocalDemand, TotalDemand float64 // units per second requested at this gateway, and at all gateways
	Gateways                 int
	Shared                   bool // the gateways know each other's draws and use one bucket; otherwise each has a share
}

// Refill returns the balance after the elapsed time. A share is refilled in proportion to the demand at this gateway,
// or by the part of the rate that the other gateways don't demand, whichever is more. It holds an equal part of the
// burst, but at least minBurst. The reserved units will be drawn later by requests in progress.
func (v QuotaView) Refill(l Limit, elapsed time.Duration, reserved, minBurst float64) float64 {
	rate := math.Max(l.Rate*v.LocalDemand/math.Max(v.TotalDemand, 1e-9), l.Rate-v.TotalDemand+v.LocalDemand)
	burst := math.Max(l.Burst/float64(v.Gateways), minBurst)
	if v.Shared {
		rate, burst = l.Rate, l.Burst
	}
	return math.Max(-l.Burst, math.Min(burst-reserved, v.Balance+math.Max(0, elapsed.Seconds())*rate))
}

// Allows reports whether units are within the quota: first from the burst, and beyond it with probability rate / total
// demand. The last part of a shared bucket is drawn with about that probability, too. For a share, the probability
// falls with the debt, so that the rate isn't admitted twice, by the refill and at random. random returns numbers in
// [0, 1).
func (v QuotaView) Allows(l Limit, units float64, random func() float64) bool {
	tail := randomizedTail * l.Burst
	if l.Rate <= 0 || v.Shared && v.Balance >= units+tail || !v.Shared && v.Balance >= units*random() {
		return true
	}
	probability := math.Min(1, l.Rate/math.Max(v.TotalDemand, 1e-9))
	if v.Shared { // equals probability in the middle of the tail, and rises with the balance
		return v.Balance >= units && random() < probability*2*v.Balance/tail
	}
	debt := math.Max(0, -v.Balance) / math.Max(maxDebtShare*l.Burst/float64(v.Gateways), units)
	return random() < probability*(1-math.Min(1, debt))
}
