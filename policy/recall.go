package policy

import (
	"math"
	"time"
)

// What outlasts the process in a store, and what comes from there. Nothing here chooses.

// Use is what is left of a customer's quota, as a gateway keeps it for its next life.
type Use struct {
	Name        uint64 // in messages
	Customer    CustomerID
	Account     float64       // units left, below 0 owed
	Since, Away time.Duration // of what is recalled: how long ago that was, and how long ago the former life was last known to live
}

// Uses gives what is left of the customers that were asked for since a moment.
func (g *Gateway) Uses(now, since Time) (list []Use) {
	g.tick(now)
	for _, c := range g.customers {
		if c.lastSeen >= since && g.set.Plans[c.plan].Rate > 0 {
			list = append(list, Use{Name: c.name, Customer: c.id, Account: c.account})
		}
	}
	return list
}

// Recall takes over what the former life of this gateway has kept. It comes before the first request. What it drew right before
// its end is not known: of the hard ceilings only what has filled since is taken to be there, and the fleet is not new.
func (g *Gateway) Recall(now Time, list []Use) {
	g.tick(now)
	g.elders = true
	for _, u := range list {
		c := g.record(u.Name)
		if c == nil || c.met {
			continue
		}
		p := g.set.Plans[c.plan]
		c.account = math.Max(-p.Burst, math.Min(p.Burst, u.Account+u.Since.Seconds()*p.Rate))
		c.ceiling.Left = 0
		c.ceiling.Fill(g.share(c), u.Away, 0)
		c.begun, c.lastSeen = true, now
	}
}

// Elsewhere notes what this gateway's other process, or its module of other settings, has sent to a server.
func (g *Gateway) Elsewhere(now Time, in Request, to ServerID, first bool) {
	g.tick(now)
	if first {
		c := g.customer(in)
		c.drew(in.Units)
		g.draw(&request{Request: in, cust: c, home: g.home(c)}, 1)
	}
	g.sentTo(g.byID[to])
}
