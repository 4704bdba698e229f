package policy

import "slices"

// May an attempt be sent now, and to this server? This file sends the attempts, and queues the requests that no server
// may take yet. Read after selection.go.

// The constant of the queue.
const queueChecksPerTarget = 32 // the queue is tried this often within the target

// dispatch sends a request to a server, or queues it while there is none.
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

// mayRunOn tells whether an attempt of a request may be sent to a server: while other attempts are in flight or may
// have run, only where the server drops a repeat, or where a repeat is harmless. number is the attempt's own.
func (g *Gateway) mayRunOn(r *request, s *server, number int) bool {
	class := g.cfg.Classes[r.Class]
	return !slices.ContainsFunc(slices.Concat(r.mayHaveRun, r.inFlight), func(other *attempt) bool {
		if other.number == number {
			return false
		}
		past := g.now-other.chosenAt >= class.DedupWindow-2*g.cfg.Tick
		return class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (past ||
			class.DedupScope == ScopeZone && other.server.Zone != s.Zone ||
			class.DedupScope == ScopeCell && other.server.Cell != s.Cell)
	})
}

// retryQueue dispatches the queued requests again, oldest first. A request that had no attempt and would be late is
// refused.
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
