package policy

import (
	"maps"
	"slices"
)

// The accounts of requests' attempts, as they begin and end. Nothing here chooses.

// MayBegin asks of an attempt, right before its first byte, what was asked when it was chosen: its connection may have been
// long in coming, and a repeat that was harmless then need not be so now.
func (g *Gateway) MayBegin(now Time, id RequestID, no int) bool {
	g.advance(now)
	r := g.requests[id]
	i := r.indexInFlight(no)
	return i >= 0 && g.mayRunOn(r, r.inFlight[i].server, no)
}

// outAt gives the place of an open attempt among a request's, below 0 where there is none.
func (r *request) indexInFlight(no int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.inFlight, func(a *attempt) bool { return a.number == no })
}

// takeOut removes a request's open attempt from all that counts it, nil where there is none.
func (g *Gateway) removeAttempt(r *request, no int) *attempt {
	i := r.indexInFlight(no)
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

// draw takes a request's units off what they come out of, or gives them back.
func (g *Gateway) charge(r *request, sign float64) {
	r.charged = sign > 0
	if !r.overQuota && r.owner < 0 {
		r.customer.balance -= sign * r.Units
	}
	if !r.limitAtOwner {
		r.customer.hardLimit.Left -= sign * r.Units
	}
}

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
	g.countColdSend(a.server)
}

// place notes whether an attempt holds a place at its server.
func (g *Gateway) setOccupiesSlot(a *attempt, holds bool) {
	if n := 1; a.lost == holds {
		if a.lost = !holds; holds {
			n = -1
		}
		a.server.lost, g.lostInFlight = a.server.lost+n, g.lostInFlight+n
	}
}

// sentTo notes an attempt that counts against a cold server's budget.
func (g *Gateway) countColdSend(s *server) {
	if s != nil && g.warmth(s) < 1 {
		s.coldBudget.Sent(g.now)
	}
}

// suspect notes that an attempt is out for far too long and that nothing has come from its server for as long: it may be lost,
// and holds no place while that is found out.
func (g *Gateway) suspect(a *attempt) {
	if !a.suspected && !a.lost {
		a.suspected = true
		a.server.suspectedAttempts++
		g.setOccupiesSlot(a, false)
	}
}

// clear ends the suspicion of an attempt, which is lost, or holds its place again.
func (g *Gateway) clearSuspicion(a *attempt, lost bool) {
	if a.suspected {
		a.suspected = false
		a.server.suspectedAttempts--
		if g.setOccupiesSlot(a, !lost); lost {
			a.overtakenBy = max(a.overtakenBy, overtakenLimit)
		}
	}
}

// lose notes that an attempt is lost, where others have passed it: what the server is at work on is the rest.
func (g *Gateway) markLost(a *attempt) {
	if a.overtakenBy >= overtakenLimit {
		g.setOccupiesSlot(a, false)
	}
}

func (g *Gateway) load() float64 { return float64(len(g.inFlight) - g.lostInFlight) }

// Streaming tells that a response has begun: no deadline runs any more.
func (g *Gateway) ResponseStarted(now Time, id RequestID, attempt int) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// Came tells that the last byte of a request's body has been sent on: its time runs from now on, to a later deadline. It
// can't be sent again.
func (g *Gateway) BodySent(now Time, id RequestID, deadline Time) {
	g.advance(now)
	if r := g.requests[id]; r != nil && r.BodyPending && !r.closed {
		r.BodyPending, r.Deadline, r.attempts = false, deadline, max(r.attempts, g.cfg.MaxAttempts)
		for _, a := range r.inFlight {
			a.sentAt = now
			g.setOccupiesSlot(a, true)
			r.customer.reservedUnits -= r.Units
		}
		g.host.Timer(uint64(id)<<tagBits|tagDeadline, deadline-now-2*g.cfg.Tick)
	}
}

// GiveUp gives every open request its final answer, as at its deadline. What streams goes on.
func (g *Gateway) AnswerAll(now Time) {
	g.advance(now)
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; r != nil && !r.closed && !r.streaming {
			g.answerUnserved(r)
		}
	}
}
