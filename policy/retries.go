package policy

import "slices"

// Further attempts of a request: retries, hedged attempts, and replacements of lost attempts.

const (
	retriesPerRequest = 0.2  // added to the retry budget with each request
	maxRetryBudget    = 10.0 // most retries that may be saved up
	hedgesPerRequest  = 0.05 // added to the hedge budget with each request; more would cost a busy fleet what it gains
	lostAfterFactor   = 5.0  // multiple of its expected latency that one attempt in 150 exceeds by chance
)

// retryOrAnswer decides between a retry and the final answer for a request without attempts in flight.
func (g *Gateway) retryOrAnswer(r *request) {
	left := r.Deadline - g.now - 2*g.cfg.Tick
	if r.attempts < max(1, g.cfg.MaxAttempts) && g.retryBudget >= 1 && left.Seconds() > g.typicalLatency(r) &&
		slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.listed && g.mayRunOn(r, s, r.attempts)
		}) {
		g.retryBudget--
		g.dispatch(r)
		return
	}
	g.answerUnserved(r)
}

// setHedgeTimer sets the timer after which an unanswered request gets a second attempt or, if hedging isn't permitted,
// its attempt is checked for being lost.
func (g *Gateway) setHedgeTimer(r *request) {
	class := g.cfg.Classes[r.Class]
	if g.cfg.Hedging && r.attempts == 1 && !class.Streaming {
		g.host.Timer(requestTag(r.ID, tagHedge), class.LatencyTarget/2)
	} else if !g.cfg.Hedging && g.cfg.Cancel && !class.Streaming && class.Idempotency != NotIdempotent {
		g.host.Timer(requestTag(r.ID, tagHedge), lostAfterFactor*g.expectedLatency(r))
	}
}

// hedge sends a second attempt of a request that has waited for half its target, if there is no overload and the server
// that would be chosen wasn't tried for the request yet.
func (g *Gateway) hedge(r *request) {
	if g.hedgeBudget < 1 || g.overloaded || len(g.shedGroups) > 0 {
		return
	}
	if s := g.pickServer(r); s == nil || r.wasTried(s) {
		return
	}
	g.hedgeBudget--
	g.dispatch(r)
}

// cancelLost cancels a request's only attempt if it seems lost, so that another attempt is sent elsewhere. An attempt
// seems lost if it takes far longer than expected and enough later attempts have overtaken it; until then it is checked
// again. This is for sites that don't permit a second attempt while the first is in flight.
func (g *Gateway) cancelLost(r *request) {
	expected := g.expectedLatency(r)
	if left := r.arrivedAt + g.cfg.Classes[r.Class].LatencyTarget - g.now; g.retryBudget < 1 || left < expected {
		return
	}
	a := r.inFlight[0]
	if wait := a.sentAt + lostAfterFactor*expected - g.now; wait > 0 || a.overtakenBy < overtakenLimit {
		g.host.Timer(requestTag(r.ID, tagHedge), max(wait, expected/2, g.cfg.Tick))
	} else if s := g.pickServer(r); s != nil && !r.wasTried(s) {
		g.host.Cancel(r.ID, a.number)
	}
}
