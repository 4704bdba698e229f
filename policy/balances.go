package policy

import (
	"math"
	"time"
)

// Quota balances that outlast the process in a store, and attempts sent by other processes of this gateway.

// QuotaBalance is the balance of a customer's quota, as stored for the gateway's next incarnation.
type QuotaBalance struct {
	Key      uint64 // the customer's key in messages (customerKey)
	Customer CustomerID
	Balance  float64 // in units; negative where units were admitted ahead of the refill

	// Set for a balance that is restored: its age, and the time since the earlier incarnation was last known to be alive.
	Age, Downtime time.Duration
}

// QuotaBalances returns the balances of the customers that were active at or after since and have a quota.
func (g *Gateway) QuotaBalances(now, since Time) (list []QuotaBalance) {
	g.advance(now)
	for _, c := range g.customers {
		if c.lastSeen >= since && g.cfg.Plans[c.plan].Rate > 0 {
			list = append(list, QuotaBalance{Key: c.key, Customer: c.id, Balance: c.balance})
		}
	}
	return list
}

// RestoreBalances restores the balances of an earlier incarnation. It must be called before the first request. The
// units drawn right before that incarnation ended aren't known, so the hard limits are assumed to have been empty
// then and to have filled since, and the fleet is assumed not to have just started.
func (g *Gateway) RestoreBalances(now Time, list []QuotaBalance) {
	g.advance(now)
	g.olderPeerKnown = true
	for _, b := range list {
		c := g.recordFor(b.Key)
		if c == nil || c.seenHere {
			continue
		}
		p := g.cfg.Plans[c.plan]
		c.balance = math.Max(-p.Burst, math.Min(p.Burst, b.Balance+b.Age.Seconds()*p.Rate))
		c.hardLimit.Tokens = 0
		c.hardLimit.Refill(g.hardLimitShare(c), b.Downtime, 0)
		c.limitFilled, c.lastSeen = true, now
	}
}

// SentElsewhere accounts for an attempt that was sent by another process of this gateway, or by its Gateway with other
// settings. Only the first attempt of a request draws the request's units.
func (g *Gateway) SentElsewhere(now Time, in Request, to ServerID, first bool) {
	g.advance(now)
	if first {
		if c := g.customerFor(in); c != nil {
			c.addUsed(in.Units)
			g.charge(&request{Request: in, customer: c, owner: g.ownerOf(c)}, 1)
		}
	}
	g.countSlowStartSend(g.serversByID[to])
}
