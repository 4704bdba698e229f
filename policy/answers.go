package policy

// Which final answer does a request get that no server has answered? Read after retries.go.

// The constant of refusals.
const retryAfterDivisor = 8 // of its class's target: the wait before a repeat that a refusal names

// answerUnserved gives a request the final answer of one that wasn't served: a refusal where it hasn't run or may run
// again, else a failure.
func (g *Gateway) answerUnserved(r *request) {
	class := g.cfg.Classes[r.Class]
	if len(r.mayHaveRun) == 0 && len(r.inFlight) == 0 || class.Idempotency == Idempotent {
		g.host.Refuse(r.ID, min(g.cfg.MaxRetryAfter, class.LatencyTarget/retryAfterDivisor))
	} else {
		g.host.Fail(r.ID)
	}
	g.finish(r)
}

// finish notes that a request has its final answer, and gives its units back where none were drawn.
func (g *Gateway) finish(r *request) {
	if !r.closed && (r.attempts == 0 || r.BodyPending) && r.charged {
		g.charge(r, -1)
	}
	r.closed = true
	r.setQueued(false)
	delete(g.pendingQueries, r.queryToken)
	if len(r.inFlight) == 0 && g.requests[r.ID] == r {
		delete(g.requests, r.ID)
		r.customer.requests--
	}
}

// ClientGone takes in that a client has left: its request needs no answer.
func (g *Gateway) ClientGone(now Time, id RequestID) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		g.finish(r)
	}
}
