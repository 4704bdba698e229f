package policy

import "time"

// Owners: the gateways that keep the buckets of customers whose sets are too large to share them, and the queries that
// the other gateways send them.

const (
	maxOwnerQueries  = 2 // most queries about a request, and most gateways that may stand in for an owner
	queriesPerTarget = 6 // a query is repeated, or given up, after the target divided by this
)

// ownerOf returns the gateway that owns the bucket of a customer whose set is too large to share it. It returns a
// negative number if the set isn't too large, or if no owner can be asked. All gateways choose the same owner as long
// as none of them suspects it.
func (g *Gateway) ownerOf(c *customer) int {
	for k := 0; k <= maxOwnerQueries && len(g.nearby) > 0 && !g.sharesBucket(c) && g.majorityAlive(); k++ {
		if p := g.ownerCandidate(c, k); g.suspectedUntil[p] <= g.now {
			return p
		}
	}
	return -1
}

// queryOwner asks a request's owner whether the request is within the quota. It is called again while there is no
// answer. After maxOwnerQueries queries the owner is suspected, and this gateway decides by its part of the bucket.
func (g *Gateway) queryOwner(r *request) {
	if r.queries++; r.queries > maxOwnerQueries {
		g.suspectedUntil[r.owner], r.owner = g.now+staleUpdates*fullUpdateInterval, -1
		g.admit(r, g.withinQuota(r))
		return
	}
	if r.queries == 1 { // the token must not match answers to the queries of an earlier incarnation
		g.lastQuery++
		r.queryToken = g.lastQuery + uint32(g.startedAt/time.Millisecond)<<tagBits
		g.pendingQueries[r.queryToken] = r
	}
	g.host.SendToPeer(r.owner, packQuery(ownerQuery{token: r.queryToken, customerKey: r.customer.key, units: r.Units}))
	g.host.Timer(requestTag(r.ID, tagQuery), max(g.cfg.Tick, g.shortestTarget()/queriesPerTarget))
}

// answerQuery decides on a request as the owner. It returns the customer's record with the answer in
// lastQueryAdmitted, or nil if the query is invalid or there is no room for a record. A repeated query gets the same
// answer and draws no units.
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
