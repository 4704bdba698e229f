package policy

// The handling of the first event and of timers. The overload check, the queue, the updates to peers and the watch of
// the server list have one timer each; a request has up to three.

// Timer tags. Tags of requests' timers have the request's ID above the lowest tagBits bits.
const (
	tagOverload = iota
	tagPeerUpdate
	tagWatch
	tagQueue
	tagDeadline // this tag and the next two are for requests
	tagHedge    // time to send a second attempt, or to cancel a lost one
	tagQuery    // the query to the owner is unanswered
	tagBits     = 3
)

// requestTag returns the tag of a request's timer.
func requestTag(id RequestID, kind uint64) uint64 { return uint64(id)<<tagBits | kind }

// advance sets the current time, and starts the gateway at the first event.
func (g *Gateway) advance(now Time) {
	g.now, g.peerLastContact[g.cfg.Self] = now, now
	if g.started {
		return
	}
	g.started, g.startedAt, g.hardLimitFillSince, g.lastShed, g.lastContact = true, now, now, now-recentWindow, now
	for i := range g.classLatency { // an assumption until there are answers
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

// Timer handles the firing of a timer that was set by Host.Timer. A timer that is no longer needed has no effect.
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

// requestTimer handles a timer of a request that has no final answer yet.
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
