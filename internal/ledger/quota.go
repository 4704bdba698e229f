package ledger

import (
	"math"
	"time"
)

const (
	randomizedTail = 0.1 // of a store drawn on together goes by chance, as draws cross
	maxDebtShare   = 0.3 // of the local burst that chance may let in ahead of the refill
)

// View is how one of n gateways sees an account's store: what is left by what it knows, what is asked here and in all, in
// units a second, and whether the store is drawn on together. Else each has a part.
type QuotaView struct {
	Balance                  float64
	LocalDemand, TotalDemand float64
	Gateways                 int
	Shared                   bool
}

// Fill gives what is left after some time. A part fills by what is asked here of all that is asked, and holds a part of the
// burst, but no less than atLeast; what is held back is for units that are counted later.
func (v QuotaView) Refill(q Limit, d time.Duration, back, atLeast float64) float64 {
	fill := math.Max(q.Rate*v.LocalDemand/math.Max(v.TotalDemand, 1e-9), q.Rate-v.TotalDemand+v.LocalDemand)
	most := math.Max(q.Burst/float64(v.Gateways), atLeast)
	if v.Shared {
		fill, most = q.Rate, q.Burst
	}
	return math.Max(-q.Burst, math.Min(most-back, v.Balance+math.Max(0, d.Seconds())*fill))
}

// Covers tells whether units are inside the quota, by the design's rule: the burst first; beyond it a refusal with chance
// 1 - rate / summed demand. Of a store drawn on together the last part goes by that chance. Of a part alone it shrinks
// with the account's debt, so that refill and chance don't give the same rate out twice. The dice give numbers below 1.
func (v QuotaView) Allows(q Limit, units float64, dice func() float64) bool {
	last := randomizedTail * q.Burst
	if q.Rate <= 0 || v.Shared && v.Balance >= units+last || !v.Shared && v.Balance >= units*dice() {
		return true
	}
	chance := math.Min(1, q.Rate/math.Max(v.TotalDemand, 1e-9))
	if v.Shared { // as much again as the middle of the last part would give, where the store holds it at all
		return v.Balance >= units && dice() < chance*2*v.Balance/last
	}
	debt := math.Max(0, -v.Balance) / math.Max(maxDebtShare*q.Burst/float64(v.Gateways), units)
	return dice() < chance*(1-math.Min(1, debt))
}
