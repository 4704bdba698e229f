package policy

import (
	"math"
	"time"
)

// What outlasts the process in a store, and what comes from there. Nothing here chooses.

// Use is what is left of a customer's quota, as a gateway keeps it for its next life.
type QuotaBalance struct {
	Key           uint64 // in messages
	Customer      CustomerID
	Balance       float64       // units left, below 0 owed
	Age, Downtime time.Duration // of what is recalled: how long ago that was, and how long ago the former life was last known to live
}

// Uses gives what is left of the customers that were asked for since a moment.
func (g *Gateway) QuotaBalances(now, since Time) (list []QuotaBalance) {
	g.advance(now)
	for _, c := range g.customers {
		if c.lastSeen >= since && g.cfg.Plans[c.plan].Rate > 0 {
			list = append(list, QuotaBalance{Key: c.key, Customer: c.id, Balance: c.balance})
		}
	}
	return list
}

// Recall takes over what the former life of this gateway has kept. It comes before the first request. What it drew right before
// its end is not known: of the hard ceilings only what has filled since is taken to be there, and the fleet is not new.
func (g *Gateway) RestoreBalances(now Time, list []QuotaBalance) {
	g.advance(now)
	g.olderPeerKnown = true
	for _, u := range list {
		c := g.recordFor(u.Key)
		if c == nil || c.seenHere {
			continue
		}
		p := g.cfg.Plans[c.plan]
		c.balance = math.Max(-p.Burst, math.Min(p.Burst, u.Balance+u.Age.Seconds()*p.Rate))
		c.hardLimit.Left = 0
		c.hardLimit.Fill(g.hardLimitPart(c), u.Downtime, 0)
		c.limitFilled, c.lastSeen = true, now
	}
}

// Elsewhere notes what this gateway's other process, or its module of other settings, has sent to a server.
func (g *Gateway) SentElsewhere(now Time, in Request, to ServerID, first bool) {
	g.advance(now)
	if first {
		c := g.customerFor(in)
		c.addUsed(in.Units)
		g.charge(&request{Request: in, customer: c, owner: g.ownerOf(c)}, 1)
	}
	g.countColdSend(g.serversByID[to])
}
