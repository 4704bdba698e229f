package quota

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// NextRequest gives the request to send now, if one is due. What it brings counts from now: it is sent after this.
func (c *Client) NextRequest(now time.Duration) (request protocol.QuotaRequest, due bool) {
	if c.out && now-c.sentAt > maxReplyAge {
		c.Failed(now)
	}
	c.expire(now)
	polls := now >= c.nextPoll
	asks := c.ask && c.waiting > 0 || c.whole
	if c.out || now < c.nextAsk || !polls && !asks {
		return request, false
	}
	if polls || c.whole {
		c.noteDemand(now)
		c.nextPoll = now + pollEvery
	}
	renews := c.leaseUntil != 0 && now-c.sentAt >= renewEvery && c.holdsAny()
	if !asks && !renews && !c.unacked && len(c.dirty) == 0 {
		return request, false
	}
	c.sequence++
	request = protocol.QuotaRequest{
		Process: c.process, Sequence: c.sequence, Acked: c.acked, Term: c.term, Whole: c.whole,
	}
	c.fillDemands(now, &request)
	c.out, c.outWhole, c.sentAt = true, c.whole, now
	c.ask, c.whole, c.unacked = false, false, false
	return request, true
}

func (c *Client) holdsAny() bool {
	for _, t := range c.order {
		if !t.held.none() {
			return true
		}
	}
	return false
}

// fillDemands lists the tenants that are to be told.
func (c *Client) fillDemands(now time.Duration, request *protocol.QuotaRequest) {
	c.outTells = c.outTells[:0]
	for _, t := range c.dirty {
		t.dirty = false
		demand := protocol.QuotaDemand{Tenant: t.name, Rate: t.report(now), Want: t.wants(now)}
		if request.Whole {
			demand.Held = t.held.message()
		}
		request.Demands = append(request.Demands, demand)
		c.outTells = append(c.outTells, t)
	}
	clear(c.dirty)
	c.dirty = c.dirty[:0]
}

// noteDemand marks the tenants to be told of beside those that requests came for, and forgets those that nothing hangs on.
func (c *Client) noteDemand(now time.Duration) {
	kept := c.order[:0]
	for _, t := range c.order {
		if !t.dirty && t.forgettable(now) {
			delete(c.tenants, t.name)
			continue
		}
		kept = append(kept, t)
		if t.demandChanged(now) || t.wants(now) > 0 || c.whole && (!t.held.none() || t.reported > 0) {
			c.tell(t)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// Replied takes the reply to the request that is out. Resolve the requests that wait after it.
func (c *Client) Replied(now time.Duration, reply *protocol.QuotaReply) {
	if !c.out || reply.Sequence != c.sequence {
		return
	}
	if reply.Term == 0 || now-c.sentAt > maxReplyAge {
		c.Failed(now)
		return
	}
	c.askGap = max(leastAskGap, reply.AskGap)
	c.out, c.retryGap, c.nextAsk = false, firstRetryGap, c.sentAt+c.askGap
	c.failures = 0
	if reply.Unknown {
		c.whole = true
		c.tellAgain()
		return
	}
	c.expire(now)
	c.term, c.acked = reply.Term, c.sequence
	if until := c.sentAt + reply.LeaseFor; until > now {
		c.leaseUntil = until
	}
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		c.unacked = c.unacked || grant.Change
		if t := c.tenants[grant.Tenant]; t != nil {
			t.take(now, c.sentAt, grant, c.leaseUntil != 0)
		}
	}
}

// Failed gives the request that is out up: it may have come or not.
func (c *Client) Failed(now time.Duration) {
	if !c.out {
		return
	}
	c.out = false
	c.failures++
	c.nextAsk = now + c.retryGap
	c.retryGap = min(2*c.retryGap, longestGap)
	c.whole = c.whole || c.outWhole
	c.ask, c.unacked = true, true
	c.tellAgain()
}

// Moved tells that requests go to another place from now on, or can go again: what is out has failed, and asking goes on at once.
func (c *Client) Moved(now time.Duration) {
	c.Failed(now)
	c.failures, c.retryGap, c.nextAsk = 0, firstRetryGap, now
}

// tellAgain marks what the last request told.
func (c *Client) tellAgain() {
	for _, t := range c.outTells {
		if c.tenants[t.name] == t {
			c.tell(t)
		}
	}
}

// Wake tells when NextRequest or Resolve has something to do, if nothing else happens before.
func (c *Client) Wake(now time.Duration) time.Duration {
	at := max(c.nextPoll, c.nextAsk)
	switch {
	case c.out:
		at = c.sentAt + maxReplyAge + time.Millisecond
	case c.ask && c.waiting > 0 || c.whole:
		at = c.nextAsk
	}
	if c.waiting > 0 {
		for _, t := range c.order {
			if t.waiting > 0 {
				at = min(at, now+t.refills(now))
			}
		}
	}
	return max(at, now)
}
