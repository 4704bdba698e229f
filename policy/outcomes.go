package policy

import (
	"math"
	"time"
)

// The handling of the ends of attempts.

// Outcome handles the end of an attempt, and decides how its request continues.
func (g *Gateway) Outcome(now Time, o Outcome) {
	g.advance(now)
	r := g.requests[o.ID]
	a := g.removeAttempt(r, o.Attempt)
	if a == nil {
		return
	}
	g.learnFromOutcome(a, o)
	if o.Ending == Served {
		g.reconcileUnits(r, o.Units)
	}
	if o.Answered || o.Ending == Served || r.closed {
		g.finish(r)
		return
	}
	if o.BodyConsumed { // no further attempt is possible
		r.attempts = max(r.attempts, g.cfg.MaxAttempts)
	}
	if o.Ending != Rejected && o.Ending != NotConnected && o.Ending != NeverSent {
		r.mayHaveRun = append(r.mayHaveRun, a)
	}
	if len(r.inFlight) == 0 && !r.streaming {
		g.retryOrAnswer(r)
	}
	g.retryQueue()
}

// learnFromOutcome updates the estimates of an attempt's server and of the load from the attempt's ending.
func (g *Gateway) learnFromOutcome(a *attempt, o Outcome) {
	r, s, class := a.request, a.server, g.cfg.Classes[a.request.Class]
	timeConstant := latencyTimeConstant * g.shortestTarget()
	g.countWasted(s, o.Ending)
	took := max(o.Elapsed, 0)
	s.applyLoadReport(g, o.LoadReport)
	ratio, late := took.Seconds()/g.typicalLatency(r), took > class.LatencyTarget
	switch o.Ending {
	case Served:
		g.learnFromServed(a, took, ratio)
	case Errored, NotConnected, ConnectionLost:
		g.recordHealth(s, true) // the latency isn't counted, as a quick failure doesn't make the server fast
	case Rejected:
		if late = g.recordRejection(s, r); late {
			took = max(took, class.LatencyTarget)
			s.relativeLatency.add(g.now, timeConstant, took.Seconds()/g.typicalLatency(r))
			g.learnCapacity(a, took)
		}
	case TimedOut, Cancelled:
		if ratio > 1 && a.overtakenBy < overtakenLimit {
			s.relativeLatency.add(g.now, timeConstant, ratio)
		}
	}
	quick := (o.Ending == Errored || o.Ending == Rejected) && !late // not evidence about the load
	if o.Ending != NeverSent && o.Ending != Cancelled && !quick {
		g.countLateness(a, late)
		g.groups[g.groupOf(r)].latency.local[groupSeconds] += min(took, class.Deadline).Seconds()
	}
}

// learnFromServed updates the estimates from a served attempt. ratio is its latency divided by its typical latency.
func (g *Gateway) learnFromServed(a *attempt, took time.Duration, ratio float64) {
	s, timeConstant := a.server, latencyTimeConstant*g.shortestTarget()
	for _, other := range g.inFlight {
		if other.server == s && other.sentAt < a.sentAt {
			other.overtakenBy++
		}
		if other.server == s && other.suspected { // if a later attempt was quick, this one is lost and not just waiting
			g.clearSuspicion(other, other.sentAt < a.sentAt && ratio < overdueFactor)
		}
	}
	g.learnCapacity(a, took)
	g.learnLatency(a.request, took)
	g.workDone.add(g.now, workTimeConstant, math.Min(took.Seconds(), g.serviceTime(a)))
	s.relativeLatency.add(g.now, timeConstant, ratio)
	s.answers.add(g.now, 2*g.cfg.SlowStartWindow, 1)
	if warmth := g.warmth(s); warmth < 1 { // a server that is slower than its warmth explains gets fewer attempts
		g.coldLatency.add(g.now, timeConstant, ratio*warmth)
		g.coldServiceTime.add(g.now, timeConstant, took.Seconds()*warmth)
	}
	g.recordHealth(s, false)
}
