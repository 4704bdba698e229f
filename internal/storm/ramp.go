package storm

// This file has the ramp, the limit of admissions in Recovery, and the constants of the limits outside of Calm.

import (
	"math"
	"time"
)

const (
	minRate          = 1.0 // lowest limit, per second
	outageProbeRatio = 0.1 // limit in an outage, as a ratio of the baseline
	rampStartRatio   = 0.9 // first limit of a recovery, as a ratio of the baseline times the members' warmth
	rampMaxRatio     = 1.6 // highest limit of a recovery, as a ratio of the same product

	// A tick on which arrivals were rejected multiplies the limit by this factor and adds this step, unless there are
	// enough failures for a decrease.
	rampIncreaseFactor = 1.06
	rampIncreaseStep   = 0.25
	// A ratio of failures above rampFailureRatio, with at least 3 attempts late or failed, multiplies the limit by
	// rampDecreaseFactor, at most once in rampDecreaseInterval.
	rampFailureRatio     = 0.25
	rampDecreaseFactor   = 0.75
	rampDecreaseInterval = 500 * time.Millisecond

	// provenRatio of the rate that is now served in time is a lower bound of the baseline. That rate shows what the
	// members can serve, which a gateway that has just started may not know.
	provenRatio = 0.9
)

// adjustRamp raises the limit while it rejects arrivals and the admitted ones succeed, up to a multiple of what the
// members usually serve times their warmth, and lowers it when too many attempts fail: multiplicative increase,
// multiplicative decrease.
func (g *Guard) adjustRamp(now Time) {
	here := g.recent()
	most := math.Max(minRate, rampMaxRatio*g.baselineRate()*math.Max(g.members.Warmth, 0.05))
	switch {
	case here.failureRatio() > rampFailureRatio && here.Late+here.Failed >= 3:
		if now-g.lastDecreaseAt >= rampDecreaseInterval {
			g.limit, g.lastDecreaseAt = g.limit*rampDecreaseFactor, now
			g.stats.RampDecreases++
		}
	case here.Rejected > 0:
		g.limit = g.limit*rampIncreaseFactor + rampIncreaseStep
		g.baselineServed = math.Max(g.baselineServed, provenRatio*here.InTime)
	}
	g.limit = math.Max(minRate, math.Min(g.limit, most))
}
