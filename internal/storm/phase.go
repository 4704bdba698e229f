package storm

// This file detects outages and storms.

import (
	"math"
	"time"
)

// Phase is the state of the pool as the guard judges it.
type Phase uint8

// The phases. Their values are in messages.
const (
	Calm     Phase = iota
	Outage         // almost no attempt is served
	Recovery       // members answer, but more requests arrive than they can serve
)

var phaseNames = [...]string{"calm", "outage", "recovery"}

// String returns the phase's name in logs.
func (p Phase) String() string { return phaseNames[p] }

// The thresholds of the phases. Rates are per second; numbers and ratios are of the last second.
const (
	window = time.Second // period over which events are counted

	// The baseline: an exponentially weighted mean, learned in Calm only.
	baselineHalfLife = 30 * time.Second
	baselineMinCalm  = 3 * time.Second // time in Calm before there is a baseline

	// Start of an outage: over all gateways, at least outageMinFailures attempts failed or are overdue, and at most
	// outageSuccessRatio of the attempts were answered, on outageTicks consecutive ticks.
	outageMinFailures  = 8.0
	outageSuccessRatio = 0.1
	outageTicks        = 3

	// End of an outage: recoveryMinSuccesses attempts in a row were served in time here; or, over all gateways, as many
	// were served in time and at least recoverySuccessRatio of the attempts were answered.
	recoveryMinSuccesses = 2.0
	recoverySuccessRatio = 0.3

	// Storm without an outage: on stormTicks consecutive ticks there are more arrivals than stormLoadFactor times the
	// baseline; a ratio of retries above stormRetryRatio, or a surge of new connections (clients that all reconnect may
	// not mark their retries); and a ratio of failures above stormFailureRatio.
	stormLoadFactor       = 1.3
	stormRetryRatio       = 0.3
	connectionSurgeFactor = 3.0
	connectionSurgeMin    = 20.0
	stormFailureRatio     = 0.3
	stormTicks            = 4

	// End of a recovery: the ratios of retries and rejections stay below these, and that of failures below
	// rampFailureRatio, on calmTicks consecutive ticks.
	calmRetryRatio    = 0.15
	calmRejectedRatio = 0.1
	calmTicks         = 12
)

// The conditions that have to hold on consecutive ticks before the phase changes, as indices of Guard.streaks.
const (
	streakOutage = iota
	streakStorm
	streakCalm
	streaks
)

// extendStreak counts a tick on which a condition holds, or resets the count if it doesn't hold. It returns the count.
func (g *Guard) extendStreak(streak int, holds bool) int {
	if g.streaks[streak]++; !holds {
		g.streaks[streak] = 0
	}
	return g.streaks[streak]
}

// updatePhase changes the phase if one of the conditions above has held for long enough, or in Calm if peers report a
// storm. Otherwise it updates the baseline in Calm.
func (g *Guard) updatePhase(now Time) {
	here, all := g.recent(), g.fleet()
	failed := all.Failed + float64(g.members.Overdue)
	served := all.InTime + all.Late
	almostNoneServed := failed >= outageMinFailures && served <= outageSuccessRatio*(served+failed)
	retryRatio := here.Retries / math.Max(here.arrivals(), 1)
	surge := here.Connections > connectionSurgeFactor*g.baselineConnections+connectionSurgeMin
	overloaded := g.baselineTime > baselineMinCalm && here.arrivals() > stormLoadFactor*g.baselineArrivals &&
		(retryRatio > stormRetryRatio || surge) &&
		here.failureRatio() > stormFailureRatio && here.Late+here.Failed >= outageMinFailures
	outageStreak, stormStreak := g.extendStreak(streakOutage, almostNoneServed), g.extendStreak(streakStorm, overloaded)
	switch g.phase {
	case Calm:
		noBaseline := g.baselineTime <= baselineMinCalm
		switch phase, baseline := g.peerPhase(now); {
		case outageStreak >= outageTicks:
			g.enterPhase(now, Outage)
		case stormStreak >= stormTicks:
			g.enterPhase(now, Recovery)
		case phase != Calm && (noBaseline || retryRatio > stormRetryRatio/2): // began before this process
			if noBaseline {
				g.baselineArrivals, g.baselineServed = baseline, baseline
			}
			g.enterPhase(now, phase)
		default:
			g.updateBaseline(here)
		}
	case Outage:
		if g.successStreak >= recoveryMinSuccesses ||
			all.InTime >= recoveryMinSuccesses && served >= recoverySuccessRatio*(served+all.Failed) {
			g.enterPhase(now, Recovery)
		}
	case Recovery:
		quiet := retryRatio < calmRetryRatio && here.Rejected <= calmRejectedRatio*here.arrivals()
		switch {
		case outageStreak >= outageTicks:
			g.enterPhase(now, Outage)
		case g.extendStreak(streakCalm, quiet && here.failureRatio() < rampFailureRatio) >= calmTicks:
			g.enterPhase(now, Calm)
		}
	}
	g.confidence = 0
	if g.phase != Calm {
		g.confidence = math.Min(1, (failed+served)/(2*outageMinFailures))
	}
}

// updateBaseline adds the counts of the last second to the baseline, unless a storm may be beginning.
func (g *Guard) updateBaseline(here Counts) {
	if g.baselineTime += TickInterval; g.baselineTime <= window || here.failureRatio() > stormFailureRatio {
		return // the window is not full yet, or a storm may be beginning
	}
	f := math.Exp2(-TickInterval.Seconds() / baselineHalfLife.Seconds())
	if g.baselineTime <= baselineHalfLife {
		f = 1 - TickInterval.Seconds()/g.baselineTime.Seconds()
	}
	g.baselineArrivals = f*g.baselineArrivals + (1-f)*here.arrivals()
	g.baselineServed = f*g.baselineServed + (1-f)*here.InTime
	g.baselineConnections = f*g.baselineConnections + (1-f)*here.Connections
}

// enterPhase changes the phase, sets its first limit, and empties the buckets, except for at most one token.
func (g *Guard) enterPhase(now Time, p Phase) {
	if g.phase == Calm {
		g.stats.Storms++
	}
	g.phase, g.phaseSince, g.streaks, g.successStreak = p, now, [streaks]int{}, 0
	switch p {
	case Outage:
		g.limit = math.Max(minRate, outageProbeRatio*g.baselineRate())
	case Recovery:
		g.limit = math.Max(minRate, rampStartRatio*g.baselineRate()*g.members.Warmth)
	}
	g.refilledAt, g.tokens, g.retryTokens, g.lastDecreaseAt = now, math.Min(1, g.limit*burstSeconds), 0, now
}

// baselineRate returns the rate at which the members usually serve this gateway's attempts in time.
func (g *Guard) baselineRate() float64 { return math.Max(g.baselineServed, minRate) }
