package policy

import "slices"

// Does a request get a further attempt: a retry, a hedged one, or one in place of a lost one? Read after outcomes.go.

// The constants of retries and hedged requests.
const (
	retriesPerRequest = 0.2  // added to the retry budget with each request
	maxRetryBudget    = 10.0 // retries that may be saved up
	hedgesPerRequest  = 0.05 // added to the hedge budget; more would cost a busy fleet what it wins
	lostAfterFactor   = 5.0  // of its expected latency: exceeded by chance by one attempt in 150
)

// retryOrAnswer decides what follows when a request has no attempt in flight: a retry or the final answer.
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

// setHedgeTimer sets the time at which a request that has no answer gets a second attempt or, where that isn't
// permitted, its attempt is looked at as one that may be lost.
func (g *Gateway) setHedgeTimer(r *request) {
	class := g.cfg.Classes[r.Class]
	if g.cfg.Hedging && r.attempts == 1 && !class.Streaming {
		g.host.Timer(requestTag(r.ID, tagHedge), class.LatencyTarget/2)
	} else if !g.cfg.Hedging && g.cfg.Cancel && !class.Streaming && class.Idempotency != NotIdempotent {
		g.host.Timer(requestTag(r.ID, tagHedge), lostAfterFactor*g.expectedLatency(r))
	}
}

// hedge sends a second attempt of a request that has waited for half its target, while there is no overload and a
// server that wasn't tried.
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

// cancelLost cancels a request's only attempt where it seems lost, so that another is sent elsewhere: later attempts
// have overtaken it and it takes far longer than expected. This is for sites that don't permit a second attempt
// beside the first. While too few have overtaken the attempt it is looked at again.
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
