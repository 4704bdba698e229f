package policy

import (
	"maps"
	"slices"
)

// The accounting of attempts as they begin and end, and of the units that they draw.

// MayBegin reports whether an attempt may still be written to its connection. The connection may have taken long to
// open, and a repeat that was harmless when the attempt was chosen need not be harmless any more.
func (g *Gateway) MayBegin(now Time, id RequestID, number int) bool {
	g.advance(now)
	r := g.requests[id]
	i := r.indexInFlight(number)
	return i >= 0 && g.mayRunOn(r, r.inFlight[i].server, number)
}

// indexInFlight returns the index of an attempt among the request's attempts in flight, or a negative number if it is
// not in flight. The request may be nil.
func (r *request) indexInFlight(number int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.inFlight, func(a *attempt) bool { return a.number == number })
}

// addAttempt numbers an attempt and adds it to all counts and lists of attempts in flight.
func (g *Gateway) addAttempt(a *attempt) {
	r := a.request
	a.number, a.index = r.attempts, len(g.inFlight)
	r.attempts++
	r.inFlight = append(r.inFlight, a)
	r.tried = append(r.tried, a.server)
	g.inFlight = append(g.inFlight, a)
	a.server.inFlight++
	r.customer.inFlight++
	g.sentLatency.add(g.now, groupTimeConstant, g.typicalLatency(r))
	if r.BodyPending {
		g.setOccupiesSlot(a, false)
		r.customer.reservedUnits += r.Units
	}
	g.countSlowStartSend(a.server)
}

// removeAttempt undoes addAttempt and returns the attempt, or nil if it is not in flight.
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

// charge subtracts a request's units from the balance and the hard limit, or returns them if sign is -1. The balance is
// not charged for units beyond the quota, nor if an owner keeps the bucket; the hard limit is not charged here if the
// units come out of the owner's share.
func (g *Gateway) charge(r *request, sign float64) {
	r.charged = sign > 0
	if !r.overQuota && r.owner < 0 {
		r.customer.balance -= sign * r.Units
	}
	if !r.limitAtOwner {
		r.customer.hardLimit.Tokens -= sign * r.Units
	}
}

// setOccupiesSlot records whether an attempt occupies a slot at its server.
func (g *Gateway) setOccupiesSlot(a *attempt, occupies bool) {
	if n := 1; a.withoutSlot == occupies {
		if a.withoutSlot = !occupies; occupies {
			n = -1
		}
		a.server.withoutSlot, g.inFlightWithoutSlot = a.server.withoutSlot+n, g.inFlightWithoutSlot+n
	}
}

// countSlowStartSend counts an attempt against its server's slow-start budget if the server is warming up. The server
// may be nil.
func (g *Gateway) countSlowStartSend(s *server) {
	if s != nil && g.warmth(s) < 1 {
		s.slowStartBudget.RecordSend(g.now)
	}
}

// suspect records that an attempt may be lost: it has been in flight for far too long, and its server has served
// nothing meanwhile. The attempt occupies no slot until the suspicion is cleared.
func (g *Gateway) suspect(a *attempt) {
	if !a.suspected && !a.withoutSlot {
		a.suspected = true
		a.server.suspectedAttempts++
		g.setOccupiesSlot(a, false)
	}
}

// clearSuspicion ends the suspicion of an attempt: either the attempt is lost, or it occupies its slot again.
func (g *Gateway) clearSuspicion(a *attempt, lost bool) {
	if a.suspected {
		a.suspected = false
		a.server.suspectedAttempts--
		if g.setOccupiesSlot(a, !lost); lost {
			a.overtakenBy = max(a.overtakenBy, overtakenLimit)
		}
	}
}

// releaseSlotIfLost frees the slot of an attempt if enough others have overtaken it, as it is then taken to be lost.
func (g *Gateway) releaseSlotIfLost(a *attempt) {
	if a.overtakenBy >= overtakenLimit {
		g.setOccupiesSlot(a, false)
	}
}

// load returns the number of attempts that occupy slots at servers.
func (g *Gateway) load() float64 { return float64(len(g.inFlight) - g.inFlightWithoutSlot) }

// ResponseStarted handles the start of a streamed response: the request's deadline no longer applies.
func (g *Gateway) ResponseStarted(now Time, id RequestID, attempt int) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// BodySent handles that the last byte of a pending body has been forwarded. Latency counts from now on, and deadline
// replaces the request's deadline. The request can't be sent again.
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

// AnswerAll gives every open request the final answer that it would get at its deadline, except requests whose response
// is being streamed.
func (g *Gateway) AnswerAll(now Time) {
	g.advance(now)
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; r != nil && !r.closed && !r.streaming {
			g.answerUnserved(r)
		}
	}
}
