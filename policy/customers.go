package policy

import (
	"slices"
	"time"
)

// Which customers have a record, and what does a new record start with? Read after quota.go.

// The bounds of the records of customers.
const (
	maxCustomers = 20000 // records
	idleAfter    = time.Minute
	// evictedShare is the part of the records, one in so many, that go together where none has been idle: the search for
	// them is paid for once in as many new customers.
	evictedShare = 16
)

// customerFor finds or makes the record of a request's customer and adds the request to its demand. It returns nil
// where all records are in use: what they count stays counted, so none can go.
func (g *Gateway) customerFor(in Request) *customer {
	c := g.customersByID[in.Customer]
	setSize := max(1, min(in.SetSize, g.cfg.Gateways))
	in.FirstGateway = (in.FirstGateway%g.cfg.Gateways + g.cfg.Gateways) % g.cfg.Gateways
	key := customerKey(in.Customer, in.Plan, in.FirstGateway, setSize)
	if c == nil {
		if len(g.customers) >= g.maxCustomers && !g.makeRoom() {
			return nil
		}
		if c = g.customersByKey[key]; c == nil || c.seenHere {
			c = g.newCustomer(key)
		}
		c.id, c.seenHere = in.Customer, true
		g.customersByID[in.Customer] = c
	} else if c.key != key && g.customersByKey[key] == nil { // its set or plan has changed
		delete(g.customersByKey, c.key)
		g.customersByKey[key], c.key = c, key
	}
	c.setSize, c.firstGateway, c.plan, c.lastSeen = setSize, in.FirstGateway, in.Plan, g.now
	g.refill(c, in.Units)
	c.demand.add(g.now, g.demandMemory(in.Plan), 0)
	c.demand.sum, c.sharedDemand.local[0] = c.demand.sum+in.Units, c.sharedDemand.local[0]+in.Units
	g.queueUpdate(c, g.nearby...)
	return c
}

// newCustomer makes the record of a customer that this incarnation has not met. What an earlier incarnation admitted
// isn't known, so the hard limit, and the balance too once an older peer is known, are taken to have filled since the
// start only.
func (g *Gateway) newCustomer(key uint64) *customer {
	c := &customer{key: key, refilledAt: g.now, lastSeen: g.now, sharedDemand: pushSum{decayedAt: g.now}}
	c.plan, c.firstGateway, c.setSize = splitCustomerKey(key)
	c.sharedDemand.pooled[1] = 1 - decayFactor(g.now-g.startedAt, g.demandMemory(c.plan)) // no demand since the start
	c.generation = byte((g.now-g.startedAt)/time.Second) &^ tailFlag
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)
	if g.drawsJointly(c) {
		n = 1
	}
	c.balance = p.Burst
	c.hardLimit.Refill(g.hardLimitShare(c), g.now-g.unseenFillSince, 0)
	// Where the bucket is shared and this gateway is older than peerAliveFor it has received all that was drawn.
	if g.olderPeerKnown && (n > 1 || g.now-g.startedAt < peerAliveFor) {
		c.balance = (g.now - g.startedAt).Seconds() * p.Rate / n
	}
	if g.customersByKey[key] == nil {
		g.customersByKey[key] = c
	}
	g.customers = append(g.customers, c)
	return c
}

// recordFor finds or makes the record of a customer that a peer names, nil where the key is invalid or there are too
// many records.
func (g *Gateway) recordFor(key uint64) *customer {
	plan, _, setSize := splitCustomerKey(key)
	if c := g.customersByKey[key]; c != nil || plan >= len(g.cfg.Plans) || setSize < 1 || setSize > g.cfg.Gateways ||
		len(g.customers) >= g.maxCustomers {
		return c
	}
	return g.newCustomer(key)
}

// makeRoom evicts records where there are too many: those of customers that have been idle, or else the ones that were
// least recently seen. It reports whether there is room for another one. The hard limit of a record that is made anew
// counts as filled since now only, so that a customer gains nothing by being evicted.
func (g *Gateway) makeRoom() bool {
	g.unseenFillSince = g.now
	g.evictIdle(recentWindow)
	if len(g.customers) >= g.maxCustomers {
		g.evictLeastRecentlySeen()
	}
	return len(g.customers) < g.maxCustomers
}

// inUse tells whether a customer has requests without an answer or attempts in flight, which its record counts or is to
// count once they are sent.
func (c *customer) inUse() bool { return c.requests > 0 }

// evictIdle drops the records not in use of customers that have asked nothing for longer than idle.
func (g *Gateway) evictIdle(idle time.Duration) {
	g.evict(func(c *customer) bool { return g.now-c.lastSeen > idle })
}

// evictLeastRecentlySeen drops one record in evictedShare, of those not in use the least recently seen ones.
func (g *Gateway) evictLeastRecentlySeen() {
	left := max(1, g.maxCustomers/evictedShare) // of equally old ones some stay
	var seen []Time
	for _, c := range g.customers {
		if !c.inUse() {
			seen = append(seen, c.lastSeen)
		}
	}
	if len(seen) == 0 {
		return
	}
	slices.Sort(seen)
	latest := seen[min(left, len(seen))-1]
	g.evict(func(c *customer) bool {
		if left == 0 || c.lastSeen > latest {
			return false
		}
		left--
		return true
	})
}

// evict drops the records that are chosen, but for those in use.
func (g *Gateway) evict(chosen func(*customer) bool) {
	g.customers = slices.DeleteFunc(g.customers, func(c *customer) bool {
		if c.inUse() || !chosen(c) {
			return false
		}
		if c.seenHere {
			delete(g.customersByID, c.id)
		}
		if g.customersByKey[c.key] == c {
			delete(g.customersByKey, c.key)
		}
		c.pendingPeers = 0
		return true
	})
	g.dropSentUpdates()
}
