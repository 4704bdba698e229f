package policy

// Final answers of requests that no server has answered.

const retryAfterDivisor = 8 // divides a class's target into the wait before a repeat that a refusal asks for

// answerUnserved gives the final answer to a request that wasn't served: a refusal if it hasn't run or may run again,
// and a failure otherwise.
func (g *Gateway) answerUnserved(r *request) {
	class := g.cfg.Classes[r.Class]
	if len(r.mayHaveRun) == 0 && len(r.inFlight) == 0 || class.Idempotency == Idempotent {
		g.host.Refuse(r.ID, min(g.cfg.MaxRetryAfter, class.LatencyTarget/retryAfterDivisor))
	} else {
		g.host.Fail(r.ID)
	}
	g.finish(r)
}

// finish records that a request has its final answer, and returns its units if none were drawn.
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

// ClientGone handles a client's disconnect: its request no longer needs an answer.
func (g *Gateway) ClientGone(now Time, id RequestID) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		g.finish(r)
	}
}
