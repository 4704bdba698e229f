package policy

import "slices"

// Sending of attempts, and the queue of requests that no server may be sent yet.

const queueChecksPerTarget = 32 // dispatches of the queue within the target

// dispatch sends a request to a server, or queues it if no server may be sent it now.
func (g *Gateway) dispatch(r *request) {
	s := g.pickServer(r)
	r.setQueued(s == nil && r.attempts == 0)
	if s == nil {
		g.queue = append(g.queue, r)
		if !g.queueTimerSet {
			g.queueTimerSet = true
			g.host.Timer(tagQueue, max(g.cfg.Tick, g.shortestTarget()/queueChecksPerTarget))
		}
		return
	}
	g.addAttempt(&attempt{request: r, server: s, sentAt: g.now, chosenAt: g.now})
	if r.attempts == 1 {
		r.customer.addUsed(r.Units)
		g.queueUpdate(r.customer, g.nearby...)
	}
	g.groups[g.groupOf(r)].latency.local[groupRequests]++
	g.host.Send(r.ID, s.ID, r.Deadline)
	g.setHedgeTimer(r)
}

// mayRunOn reports whether an attempt of a request, with the given number, may be sent to a server. If other attempts
// of the request are in flight or may have run, it may be sent only if the server drops a repeat or a repeat is
// harmless.
func (g *Gateway) mayRunOn(r *request, s *server, number int) bool {
	class := g.cfg.Classes[r.Class]
	return !slices.ContainsFunc(slices.Concat(r.mayHaveRun, r.inFlight), func(other *attempt) bool {
		if other.number == number {
			return false
		}
		windowOver := g.now-other.chosenAt >= class.DedupWindow-2*g.cfg.Tick
		return class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (windowOver ||
			class.DedupScope == ScopeZone && other.server.Zone != s.Zone ||
			class.DedupScope == ScopeCell && other.server.Cell != s.Cell)
	})
}

// retryQueue dispatches the queued requests again, oldest first. A request that has had no attempt is refused if its
// answer would be late.
func (g *Gateway) retryQueue() {
	queue := g.queue
	g.queue = nil
	for _, r := range queue {
		if r.closed {
			continue
		}
		if r.attempts == 0 && r.arrivedAt+g.cfg.Classes[r.Class].LatencyTarget-g.now < g.expectedLatency(r) {
			g.answerUnserved(r)
			continue
		}
		g.dispatch(r)
	}
}
