package policy

import (
	"math"
	"time"
)

// The balances of quotas that outlast the process in a store, and what other processes of this gateway send. This
// file decides nothing.

// QuotaBalance is what is left of a customer's quota, as it is stored for the gateway's next incarnation.
type QuotaBalance struct {
	Key      uint64 // of the customer in messages
	Customer CustomerID
	Balance  float64 // units; below 0 they were admitted ahead of the refill

	// Of a balance that is restored: how old it is, and how long ago the earlier incarnation was last known to live.
	Age, Downtime time.Duration
}

// QuotaBalances gives the balances of the customers that were active at or after a time.
func (g *Gateway) QuotaBalances(now, since Time) (list []QuotaBalance) {
	g.advance(now)
	for _, c := range g.customers {
		if c.lastSeen >= since && g.cfg.Plans[c.plan].Rate > 0 {
			list = append(list, QuotaBalance{Key: c.key, Customer: c.id, Balance: c.balance})
		}
	}
	return list
}

// RestoreBalances takes over the balances of an earlier incarnation. It must be called before the first request. What
// was drawn right before that incarnation ended isn't known, so hard limits are taken to have filled since then only,
// and the fleet not to have just started.
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

// SentElsewhere takes in an attempt of the gateway's other process, or of its Gateway with other settings. Only the
// first attempt of a request draws its units.
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
