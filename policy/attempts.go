package policy

import (
	"maps"
	"slices"
)

// The accounts of requests' attempts, as they begin and end. Nothing here chooses.

// MayBegin asks of an attempt, right before its first byte, what was asked when it was chosen: its connection may have been
// long in coming, and a repeat that was harmless then need not be so now.
func (g *Gateway) MayBegin(now Time, id RequestID, no int) bool {
	g.tick(now)
	r := g.requests[id]
	i := r.outAt(no)
	return i >= 0 && g.mayRunOn(r, r.out[i].server, no)
}

// outAt gives the place of an open attempt among a request's, below 0 where there is none.
func (r *request) outAt(no int) int {
	if r == nil {
		return -1
	}
	return slices.IndexFunc(r.out, func(a *attempt) bool { return a.no == no })
}

// takeOut removes a request's open attempt from all that counts it, nil where there is none.
func (g *Gateway) takeOut(r *request, no int) *attempt {
	i := r.outAt(no)
	if i < 0 {
		return nil
	}
	a := r.out[i]
	r.out = slices.Delete(r.out, i, i+1)
	last := len(g.open) - 1
	g.open[a.open] = g.open[last]
	g.open[a.open].open = a.open
	g.open = g.open[:last]
	a.server.out--
	g.clear(a, false)
	g.place(a, true)
	if r.Coming {
		r.cust.coming -= r.Units
	}
	r.cust.out--
	if g.set.Plans[r.cust.plan].Open > 0 {
		g.news(r.cust, g.near...)
	}
	return a
}

// draw takes a request's units off what they come out of, or gives them back.
func (g *Gateway) draw(r *request, sign float64) {
	r.drawn = sign > 0
	if !r.over && r.home < 0 {
		r.cust.account -= sign * r.Units
	}
	if !r.kept {
		r.cust.ceiling.Left -= sign * r.Units
	}
}

func (g *Gateway) putOut(a *attempt) {
	r := a.req
	a.no, a.open = r.attempts, len(g.open)
	r.attempts++
	r.out = append(r.out, a)
	r.tried = append(r.tried, a.server)
	g.open = append(g.open, a)
	a.server.out++
	r.cust.out++
	g.usual.add(g.now, countsOver, g.expect(r))
	if r.Coming {
		g.place(a, false)
		r.cust.coming += r.Units
	}
	g.sentTo(a.server)
}

// place notes whether an attempt holds a place at its server.
func (g *Gateway) place(a *attempt, holds bool) {
	if n := 1; a.lost == holds {
		if a.lost = !holds; holds {
			n = -1
		}
		a.server.lost, g.lost = a.server.lost+n, g.lost+n
	}
}

// sentTo notes an attempt that counts against a cold server's budget.
func (g *Gateway) sentTo(s *server) {
	if s != nil && g.warmth(s) < 1 {
		s.cold.Sent(g.now)
	}
}

// suspect notes that an attempt is out for far too long and that nothing has come from its server for as long: it may be lost,
// and holds no place while that is found out.
func (g *Gateway) suspect(a *attempt) {
	if !a.suspect && !a.lost {
		a.suspect = true
		a.server.suspects++
		g.place(a, false)
	}
}

// clear ends the suspicion of an attempt, which is lost, or holds its place again.
func (g *Gateway) clear(a *attempt, lost bool) {
	if a.suspect {
		a.suspect = false
		a.server.suspects--
		if g.place(a, !lost); lost {
			a.passed = max(a.passed, passedBy)
		}
	}
}

// lose notes that an attempt is lost, where others have passed it: what the server is at work on is the rest.
func (g *Gateway) lose(a *attempt) {
	if a.passed >= passedBy {
		g.place(a, false)
	}
}

func (g *Gateway) load() float64 { return float64(len(g.open) - g.lost) }

// Streaming tells that a response has begun: no deadline runs any more.
func (g *Gateway) Streaming(now Time, id RequestID, attempt int) {
	g.tick(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// Came tells that the last byte of a request's body has been sent on: its time runs from now on, to a later deadline. It
// can't be sent again.
func (g *Gateway) Came(now Time, id RequestID, deadline Time) {
	g.tick(now)
	if r := g.requests[id]; r != nil && r.Coming && !r.closed {
		r.Coming, r.Deadline, r.attempts = false, deadline, max(r.attempts, g.set.MaxAttempts)
		for _, a := range r.out {
			a.sent = now
			g.place(a, true)
			r.cust.coming -= r.Units
		}
		g.host.Timer(uint64(id)<<tagBits|tagFinal, deadline-now-2*g.set.Tick)
	}
}

// GiveUp gives every open request its final answer, as at its deadline. What streams goes on.
func (g *Gateway) GiveUp(now Time) {
	g.tick(now)
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[id]; r != nil && !r.closed && !r.streaming {
			g.giveUp(r)
		}
	}
}
