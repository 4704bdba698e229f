package quota

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// NextRequest returns the request to send to the allocator now, if one is due. The lifetimes of the tokens and
// leases in its reply count from now, so the request must not be sent before this call. The caller reports the
// outcome by HandleReply or RequestFailed.
func (c *Client) NextRequest(now time.Duration) (request protocol.QuotaRequest, due bool) {
	if c.inFlight && now-c.sentAt > replyTimeout {
		c.RequestFailed(now)
	}
	c.expireLeases(now)
	reportDue := now >= c.nextReportAt
	tokensDue := c.tokensDue && c.waiting > 0 || c.fullReportDue
	if c.inFlight || now < c.nextRequestAt || !reportDue && !tokensDue {
		return request, false
	}
	if reportDue || c.fullReportDue {
		c.scheduleChangedReports(now)
		c.nextReportAt = now + reportInterval
	}
	renewalDue := c.leaseExpiry != 0 && now-c.sentAt >= renewInterval && c.holdsLease()
	if !tokensDue && !renewalDue && !c.ackDue && len(c.dueReports) == 0 {
		return request, false
	}
	c.sequence++
	request = protocol.QuotaRequest{
		Process: c.process, Sequence: c.sequence, Acked: c.ackedSequence, Term: c.term, Whole: c.fullReportDue,
	}
	c.fillDemands(now, &request)
	c.inFlight, c.inFlightFull, c.sentAt = true, c.fullReportDue, now
	c.tokensDue, c.fullReportDue, c.ackDue = false, false, false
	return request, true
}

// holdsLease reports whether the client has a lease to renew.
func (c *Client) holdsLease() bool {
	for _, t := range c.ordered {
		if !t.lease.isZero() {
			return true
		}
	}
	return false
}

// fillDemands adds the due reports to a request.
func (c *Client) fillDemands(now time.Duration, request *protocol.QuotaRequest) {
	c.inFlightTenants = c.inFlightTenants[:0]
	for _, t := range c.dueReports {
		t.reportDue = false
		demand := protocol.QuotaDemand{Tenant: t.name, Rate: t.updateReportedDemand(now), Want: t.tokensWanted(now)}
		if request.Whole {
			demand.Held = t.lease.toMessage()
		}
		request.Demands = append(request.Demands, demand)
		c.inFlightTenants = append(c.inFlightTenants, t)
	}
	clear(c.dueReports)
	c.dueReports = c.dueReports[:0]
}

// scheduleChangedReports schedules reports of the tenants whose demand has changed without a new request (by decay)
// and of those that want tokens, and removes unused tenants. For a full report it also schedules all tenants that
// are known to the allocator, by their lease or reported demand.
func (c *Client) scheduleChangedReports(now time.Duration) {
	kept := c.ordered[:0]
	for _, t := range c.ordered {
		if !t.reportDue && t.removable(now) {
			delete(c.tenants, t.name)
			continue
		}
		kept = append(kept, t)
		if t.demandChanged(now) || t.tokensWanted(now) > 0 || c.fullReportDue && (!t.lease.isZero() || t.reportedDemand > 0) {
			c.scheduleReport(t)
		}
	}
	clear(c.ordered[len(kept):])
	c.ordered = kept
}

// HandleReply handles the reply to the request in flight; any other reply is ignored. The caller then calls
// Resolve for all requests that wait.
func (c *Client) HandleReply(now time.Duration, reply *protocol.QuotaReply) {
	if !c.inFlight || reply.Sequence != c.sequence {
		return
	}
	if reply.Term == 0 || now-c.sentAt > replyTimeout {
		c.RequestFailed(now)
		return
	}
	c.requestInterval = max(minRequestInterval, reply.AskGap)
	c.inFlight, c.backoff, c.nextRequestAt = false, minBackoff, c.sentAt+c.requestInterval
	c.failures = 0
	if reply.Unknown {
		c.fullReportDue = true
		c.rescheduleReports()
		return
	}
	c.expireLeases(now)
	c.term, c.ackedSequence = reply.Term, c.sequence
	if expiry := c.sentAt + reply.LeaseFor; expiry > now {
		c.leaseExpiry = expiry
	}
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		c.ackDue = c.ackDue || grant.Change
		if t := c.tenants[grant.Tenant]; t != nil {
			t.applyGrant(now, c.sentAt, grant, c.leaseExpiry != 0)
		}
	}
}

// RequestFailed ends the request in flight as failed. The allocator may or may not have received it, so its reports
// are repeated. Because a reply may have been lost, the next request acknowledges the last reply that was accepted.
func (c *Client) RequestFailed(now time.Duration) {
	if !c.inFlight {
		return
	}
	c.inFlight = false
	c.failures++
	c.nextRequestAt = now + c.backoff
	c.backoff = min(2*c.backoff, maxBackoff)
	c.fullReportDue = c.fullReportDue || c.inFlightFull
	c.tokensDue, c.ackDue = true, true
	c.rescheduleReports()
}

// AllocatorMoved informs the client that the allocator has another address, or that its address has become known.
// The request in flight counts as failed, and the next one is sent without backoff.
func (c *Client) AllocatorMoved(now time.Duration) {
	c.RequestFailed(now)
	c.failures, c.backoff, c.nextRequestAt = 0, minBackoff, now
}

// rescheduleReports schedules the tenants of the last request to be reported again.
func (c *Client) rescheduleReports() {
	for _, t := range c.inFlightTenants {
		if c.tenants[t.name] == t {
			c.scheduleReport(t)
		}
	}
}

// WakeAt returns the time at which NextRequest and Resolve are to be called next, if nothing else happens
// before.
func (c *Client) WakeAt(now time.Duration) time.Duration {
	at := max(c.nextReportAt, c.nextRequestAt)
	switch {
	case c.inFlight:
		at = c.sentAt + replyTimeout + time.Millisecond
	case c.tokensDue && c.waiting > 0 || c.fullReportDue:
		at = c.nextRequestAt
	}
	if c.waiting > 0 {
		for _, t := range c.ordered {
			if t.waiting > 0 {
				at = min(at, now+t.timeToLeaseToken(now))
			}
		}
	}
	return max(at, now)
}
