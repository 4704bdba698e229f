package policy

import (
	"maps"
	"slices"
)

// The accounting of attempts as they begin and end, and of the units that they draw. This file decides nothing.

// MayBegin tells whether an attempt may still be written to its connection, which may have taken long to come up: a
// repeat that was harmless when the attempt was chosen need not be so now.
func (g *Gateway) MayBegin(now Time, id RequestID, number int) bool {
	g.advance(now)
	r := g.requests[id]
	i := r.indexInFlight(number)
	return i >= 0 && g.mayRunOn(r, r.inFlight[i].server, number)
}

// indexInFlight gives the index of an attempt among those in flight, below 0 where it is none of them. The request
// may be nil.
func (r *request) indexInFlight(number int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.inFlight, func(a *attempt) bool { return a.number == number })
}

// addAttempt counts an attempt as in flight wherever attempts are counted.
func (g *Gateway) addAttempt(a *attempt) {
	r := a.request
	a.number, a.index = r.attempts, len(g.inFlight)
	r.attempts++
	r.inFlight = append(r.inFlight, a)
	r.tried = append(r.tried, a.server)
	g.inFlight = append(g.inFlight, a)
	a.server.inFlight++
	r.customer.inFlight++
	g.sentLatency.add(g.now, groupMemory, g.typicalLatency(r))
	if r.BodyPending {
		g.setOccupiesSlot(a, false)
		r.customer.reservedUnits += r.Units
	}
	g.countSlowStartSend(a.server)
}

// removeAttempt undoes addAttempt and gives the attempt, nil where it is not in flight.
func (g *Gateway) removeAttempt(r *request, number int) *attempt {
	i := r.indexInFlight(number)
	if i < 0 {
		return nil
	}
	a := r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	last := len(g.inFlight) - 1
	g.inFlight[a.index] = g.inFlight[last]
	g.inFlight[a.index].index = a.index
	g.inFlight = g.inFlight[:last]
	a.server.inFlight--
	g.clearSuspicion(a, false)
	g.setOccupiesSlot(a, true)
	if r.BodyPending {
		r.customer.reservedUnits -= r.Units
	}
	r.customer.inFlight--
	if g.cfg.Plans[r.customer.plan].MaxInFlight > 0 {
		g.queueUpdate(r.customer, g.nearby...)
	}
	return a
}

// charge takes a request's units off the balance and the hard limit, or gives them back where sign is -1. Units
// beyond the quota are not taken off the balance, nor is what the owner keeps.
func (g *Gateway) charge(r *request, sign float64) {
	r.charged = sign > 0
	if !r.overQuota && r.owner < 0 {
		r.customer.balance -= sign * r.Units
	}
	if !r.limitAtOwner {
		r.customer.hardLimit.Tokens -= sign * r.Units
	}
}

// setOccupiesSlot notes whether an attempt occupies a slot at its server.
func (g *Gateway) setOccupiesSlot(a *attempt, occupies bool) {
	if n := 1; a.lost == occupies {
		if a.lost = !occupies; occupies {
			n = -1
		}
		a.server.lost, g.lostInFlight = a.server.lost+n, g.lostInFlight+n
	}
}

// countSlowStartSend counts an attempt against the budget of a server that warms up.
func (g *Gateway) countSlowStartSend(s *server) {
	if s != nil && g.warmth(s) < 1 {
		s.slowStartBudget.RecordSend(g.now)
	}
}

// suspect notes that an attempt may be lost: it is in flight for far too long, and nothing was served by its server
// meanwhile. It occupies no slot until that is known.
func (g *Gateway) suspect(a *attempt) {
	if !a.suspected && !a.lost {
		a.suspected = true
		a.server.suspectedAttempts++
		g.setOccupiesSlot(a, false)
	}
}

// clearSuspicion ends the suspicion of an attempt: it is lost, or occupies its slot again.
func (g *Gateway) clearSuspicion(a *attempt, lost bool) {
	if a.suspected {
		a.suspected = false
		a.server.suspectedAttempts--
		if g.setOccupiesSlot(a, !lost); lost {
			a.overtakenBy = max(a.overtakenBy, overtakenLimit)
		}
	}
}

// markLost notes that an attempt is lost where enough others have overtaken it.
func (g *Gateway) markLost(a *attempt) {
	if a.overtakenBy >= overtakenLimit {
		g.setOccupiesSlot(a, false)
	}
}

// load gives the attempts that occupy slots at servers.
func (g *Gateway) load() float64 { return float64(len(g.inFlight) - g.lostInFlight) }

// ResponseStarted takes in that a response is being streamed: the deadline doesn't count any more.
func (g *Gateway) ResponseStarted(now Time, id RequestID, attempt int) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// BodySent takes in that the last byte of a pending body has been sent on: time counts from now on, up to another
// deadline. The request can't be sent again.
func (g *Gateway) BodySent(now Time, id RequestID, deadline Time) {
	g.advance(now)
	if r := g.requests[id]; r != nil && r.BodyPending && !r.closed {
		r.BodyPending, r.Deadline, r.attempts = false, deadline, max(r.attempts, g.cfg.MaxAttempts)
		for _, a := range r.inFlight {
			a.sentAt = now
			g.setOccupiesSlot(a, true)
			r.customer.reservedUnits -= r.Units
		}
		g.host.Timer(requestTag(id, tagDeadline), deadline-now-2*g.cfg.Tick)
	}
}

// AnswerAll gives every request a final answer, as at its deadline, except those whose response is being streamed.
func (g *Gateway) AnswerAll(now Time) {
	g.advance(now)
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; r != nil && !r.closed && !r.streaming {
			g.answerUnserved(r)
		}
	}
}
