package policy

// What happens at the first event and when a timer fires? The overload check, the queue, the updates to peers and the
// watch of the server list have one timer each; a request has up to three. Read after answers.go.

// Timer tags. Those of requests have the request's ID above tagBits.
const (
	tagOverload = iota
	tagPeerUpdate
	tagWatch
	tagQueue
	tagDeadline // of a request, as the next two
	tagHedge    // a second attempt, or the end of a lost one
	tagQuery    // the query to the owner is unanswered
	tagBits     = 3
)

// requestTag gives the tag of a request's timer.
func requestTag(id RequestID, kind uint64) uint64 { return uint64(id)<<tagBits | kind }

// advance sets the time; the first event starts the gateway.
func (g *Gateway) advance(now Time) {
	g.now, g.peerLastContact[g.cfg.Self] = now, now
	if g.started {
		return
	}
	g.started, g.startedAt, g.unseenFillSince, g.lastShed, g.lastContact = true, now, now, now-recentWindow, now
	for i := range g.classLatency { // a guess, until answers tell
		g.classLatency[i] = decayingMean{sum: g.cfg.Classes[i].LatencyTarget.Seconds() / 4, weight: 1, decayedAt: now}
	}
	if g.cfg.Subscribe {
		g.host.Watch()
	}
	g.host.Timer(tagOverload, g.overloadInterval())
	if g.cfg.Peers && g.cfg.Gateways > 1 {
		g.sendUpdates()
	}
}

// Timer takes a timer in that Host.Timer has set. One that is no longer needed has no effect.
func (g *Gateway) Timer(now Time, tag uint64) {
	g.advance(now)
	switch {
	case tag == tagOverload:
		g.checkOverload()
	case tag == tagPeerUpdate:
		g.sendUpdates()
	case tag == tagWatch && !g.watching && g.cfg.Subscribe:
		g.host.Watch()
	case tag == tagQueue:
		g.queueTimerSet = false
		g.retryQueue()
	default:
		if r := g.requests[TimerRequest(tag)]; r != nil && !r.closed && !r.streaming {
			g.requestTimer(r, tag&(1<<tagBits-1))
		}
	}
}

// requestTimer takes a timer of a request in that has no final answer yet.
func (g *Gateway) requestTimer(r *request, kind uint64) {
	switch kind {
	case tagDeadline:
		putOff := r.BodyPending && len(r.inFlight) > 0 || g.now < r.Deadline-2*g.cfg.Tick
		if !putOff {
			g.answerUnserved(r)
		}
	case tagHedge:
		if r.BodyPending || len(r.inFlight) != 1 || r.attempts >= g.cfg.MaxAttempts {
			return
		}
		if g.cfg.Hedging {
			g.hedge(r)
		} else {
			g.cancelLost(r)
		}
	case tagQuery:
		if g.pendingQueries[r.queryToken] == r {
			g.queryOwner(r)
		}
	}
}
