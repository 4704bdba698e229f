package policy

import "time"

// Which gateway owns the bucket of a customer whose set is too large to share it, and how does the owner decide? Read
// after bucket_sharing.go.

// The constants of queries to owners.
const (
	maxOwnerQueries  = 2 // queries about a request, and gateways that stand in for an owner
	queriesPerTarget = 6 // an owner is asked again after this part of the target
)

// ownerOf gives the gateway that owns the bucket of a customer whose set is too large to share it, below 0 where the
// set isn't. All gateways name the same owner as long as none suspects it.
func (g *Gateway) ownerOf(c *customer) int {
	for k := 0; k <= maxOwnerQueries && len(g.nearby) > 0 && !g.sharesBucket(c) && g.majorityAlive(); k++ {
		if p := g.ownerCandidate(c, k); g.suspectedUntil[p] <= g.now {
			return p
		}
	}
	return -1
}

// queryOwner asks a request's owner whether the request is within the quota. An owner that doesn't answer is
// suspected, and this gateway's part of the bucket decides.
func (g *Gateway) queryOwner(r *request) {
	if r.queries++; r.queries > maxOwnerQueries {
		g.suspectedUntil[r.owner], r.owner = g.now+staleUpdates*fullUpdateInterval, -1
		g.admit(r, g.withinQuota(r))
		return
	}
	if r.queries == 1 { // answers to an earlier incarnation's queries must not match
		g.lastQuery++
		r.queryToken = g.lastQuery + uint32(g.startedAt/time.Millisecond)<<tagBits
		g.pendingQueries[r.queryToken] = r
	}
	g.host.SendToPeer(r.owner, packQuery(ownerQuery{token: r.queryToken, customerKey: r.customer.key, units: r.Units}))
	g.host.Timer(requestTag(r.ID, tagQuery), max(g.cfg.Tick, g.shortestTarget()/queriesPerTarget))
}

// answerQuery decides, as the owner, about a request and gives the customer's record with the answer, nil where the
// query is invalid. A query that is repeated gets the same answer and draws nothing more.
func (g *Gateway) answerQuery(q ownerQuery) *customer {
	c := g.recordFor(ownerKey(q.customerKey, g.cfg.Self))
	if c != nil && c.lastQuery != q {
		g.refill(c, q.units)
		c.demand.sum, c.lastSeen, c.lastQuery = c.demand.sum+q.units, g.now, q
		c.lastQueryAdmitted = c.withinHardLimit(g.cfg.Plans[c.plan], q.units) &&
			g.withinQuota(&request{Request: Request{Plan: c.plan, Units: q.units}, customer: c})
		if c.lastQueryAdmitted {
			c.balance, c.hardLimit.Tokens = c.balance-q.units, c.hardLimit.Tokens-q.units
		}
	}
	return c
}
