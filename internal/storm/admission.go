package storm

// This file decides on the admission of arrivals and connections.

import (
	"math"
	"time"
)

const (
	burstSeconds = 0.5 // size of the bucket, in seconds of the limit
	idleRatio    = 0.9 // a bucket that is at least this full shows spare capacity
)

// What an arrival has to leave in the bucket, as ratios of its size.
const (
	retryReserve         = 0.45 // left by retries for first attempts
	valueReserve         = 0.3  // left by the cheapest requests for the most valuable ones
	nonIdempotentReserve = 0.1  // left by idempotent requests for non-idempotent ones
)

// Arrival is a request that arrives at the gateway: one attempt of a client.
type Arrival struct {
	Account     uint64
	Class, Plan int // indices of Options.Classes and Options.Prices
	Units       float64
	MarkedRetry bool // the client has marked it as a retry
}

// Decision is the guard's decision on an arrival.
type Decision struct {
	Admit      bool
	Retry      bool          // the arrival was taken for a retry
	RetryAfter time.Duration // if rejected: the time after which the client is told to return
}

// Admit decides whether an arrival is admitted, and counts it.
func (g *Guard) Admit(now Time, a Arrival) Decision {
	g.start(now)
	d := Decision{Admit: true, Retry: g.isRetry(now, a)}
	if d.Retry {
		g.current.Retries++
		g.stats.Retries++
	} else {
		g.current.FirstAttempts++
	}
	if g.phase == Calm {
		g.current.Admitted++
		return d
	}
	g.refill(now)
	size := g.bucketSize()
	need := math.Max(1, g.reserve(a, d.Retry)*size)
	// Spare capacity may go to retries beyond their budget: rejecting them would help nobody.
	withinBudget := !d.Retry || g.retryTokens >= 1 || g.tokens >= idleRatio*size
	if d.Admit = g.tokens >= need && withinBudget; !d.Admit {
		g.current.Rejected++
		g.stats.Rejected++
		if d.Retry {
			g.stats.RejectedRetries++
		}
		g.recordFailure(now, a)
		d.RetryAfter = g.scheduleReturn(now)
		return d
	}
	g.tokens--
	if d.Retry {
		g.retryTokens = math.Max(0, g.retryTokens-1)
	}
	g.current.Admitted++
	return d
}

// bucketSize returns how many arrivals may be admitted at once.
func (g *Guard) bucketSize() float64 { return math.Max(1, g.limit*burstSeconds) }

// reserve returns the ratio of the bucket's size that an arrival has to leave for more important ones.
func (g *Guard) reserve(a Arrival, retry bool) float64 {
	value := 0.0 // relative to the most valuable requests
	nonIdempotent := false
	if a.Class >= 0 && a.Class < len(g.opt.Classes) && a.Plan >= 0 && a.Plan < len(g.opt.Prices) && g.maxValue > 0 {
		class := g.opt.Classes[a.Class]
		value, nonIdempotent = class.Value*g.opt.Prices[a.Plan]/g.maxValue, class.NonIdempotent
	}
	ratio := valueReserve * (1 - value)
	if retry {
		ratio += retryReserve
	}
	if !nonIdempotent {
		ratio += nonIdempotentReserve
	}
	return math.Min(ratio, 0.95)
}

// refill refills the buckets of admissions and retries.
func (g *Guard) refill(now Time) {
	elapsed := math.Max(0, (now - g.refilledAt).Seconds())
	if elapsed > pauseThreshold.Seconds() {
		elapsed = TickInterval.Seconds()
	}
	g.refilledAt = now
	size := g.bucketSize()
	g.tokens = math.Min(size, g.tokens+elapsed*g.limit)
	// The retry budget is that of all gateways. This gateway's share of it equals its share of the retries.
	all := g.fleet()
	share := 1.0
	if all.Retries > 0 {
		share = math.Min(1, g.recent().Retries/all.Retries)
	}
	g.retryTokens = math.Min(math.Max(2, size), g.retryTokens+elapsed*g.opt.RetryRatio*all.FirstAttempts*share)
}

// AdmitConnection reports whether a new connection may be accepted, and counts it.
func (g *Guard) AdmitConnection(now Time) bool {
	g.start(now)
	g.current.Connections++
	if g.phase == Calm || g.opt.ConnectionRate <= 0 {
		return true
	}
	if g.connectionTokens < 1 {
		g.stats.RejectedConnections++
		return false
	}
	g.connectionTokens--
	return true
}
