package ledger

import (
	"math"
	"time"
)

const (
	lastOfBurst = 0.1 // of a store drawn on together goes by chance, as draws cross
	debtShare   = 0.3 // of the local burst that chance may let in ahead of the refill
)

// View is how one of n gateways sees an account's store: what is left by what it knows, what is asked here and in all, in
// units a second, and whether the store is drawn on together. Else each has a part.
type View struct {
	Left      float64
	Mine, All float64
	N         int
	Whole     bool
}

// Fill gives what is left after some time. A part fills by what is asked here of all that is asked, and holds a part of the
// burst, but no less than atLeast; what is held back is for units that are counted later.
func (v View) Fill(q Limit, d time.Duration, back, atLeast float64) float64 {
	fill := math.Max(q.Rate*v.Mine/math.Max(v.All, 1e-9), q.Rate-v.All+v.Mine)
	most := math.Max(q.Burst/float64(v.N), atLeast)
	if v.Whole {
		fill, most = q.Rate, q.Burst
	}
	return math.Max(-q.Burst, math.Min(most-back, v.Left+math.Max(0, d.Seconds())*fill))
}

// Covers tells whether units are inside the quota, by the design's rule: the burst first; beyond it a refusal with chance
// 1 - rate / summed demand. Of a store drawn on together the last part goes by that chance. Of a part alone it shrinks
// with the account's debt, so that refill and chance don't give the same rate out twice. The dice give numbers below 1.
func (v View) Covers(q Limit, units float64, dice func() float64) bool {
	last := lastOfBurst * q.Burst
	if q.Rate <= 0 || v.Whole && v.Left >= units+last || !v.Whole && v.Left >= units*dice() {
		return true
	}
	chance := math.Min(1, q.Rate/math.Max(v.All, 1e-9))
	if v.Whole { // as much again as the middle of the last part would give, where the store holds it at all
		return v.Left >= units && dice() < chance*2*v.Left/last
	}
	debt := math.Max(0, -v.Left) / math.Max(debtShare*q.Burst/float64(v.N), units)
	return dice() < chance*(1-math.Min(1, debt))
}
