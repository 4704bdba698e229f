package policy

import (
	"slices"
	"time"
)

// The records of customers: their creation, the state that a new record starts with, and their eviction.

const (
	maxCustomers = 20000 // most records that are kept
	idleAfter    = time.Minute
	// evictionDivisor divides the number of records into the number evicted together if no customer has been idle.
	// Evicting many at once spreads the cost of the search over as many new customers.
	evictionDivisor = 16
)

// customerFor returns the record of a request's customer, creating it if necessary, and adds the request to its demand.
// It returns nil if a record is needed but all records are in use: their counts must be kept, so none can be evicted.
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
	} else if c.key != key && g.customersByKey[key] == nil { // the customer's set of gateways or plan has changed
		delete(g.customersByKey, c.key)
		g.customersByKey[key], c.key = c, key
	}
	c.setSize, c.firstGateway, c.plan, c.lastSeen = setSize, in.FirstGateway, in.Plan, g.now
	g.refill(c, in.Units)
	c.demand.add(g.now, g.demandTimeConstant(in.Plan), 0)
	c.demand.sum, c.sharedDemand.local[0] = c.demand.sum+in.Units, c.sharedDemand.local[0]+in.Units
	g.queueUpdate(c, g.nearby...)
	return c
}

// newCustomer creates the record of a customer that has no record in this incarnation. The units that an earlier
// incarnation admitted aren't known, so the hard limit is assumed to have been empty at the start and to have filled
// since. Once an older peer is known, the same is assumed for the balance.
func (g *Gateway) newCustomer(key uint64) *customer {
	c := &customer{key: key, refilledAt: g.now, lastSeen: g.now, sharedDemand: pushSum{decayedAt: g.now}}
	c.plan, c.firstGateway, c.setSize = splitCustomerKey(key)
	c.sharedDemand.pooled[1] = 1 - decayFactor(g.now-g.startedAt, g.demandTimeConstant(c.plan)) // no demand since start
	c.generation = byte((g.now-g.startedAt)/time.Second) &^ tailFlag
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)
	if g.drawsOnWholeBucket(c) {
		n = 1
	}
	c.balance = p.Burst
	c.hardLimit.Refill(g.hardLimitShare(c), g.now-g.hardLimitFillSince, 0)
	// If the bucket is shared and this gateway is older than peerAliveFor, it has received all draws.
	if g.olderPeerKnown && (n > 1 || g.now-g.startedAt < peerAliveFor) {
		c.balance = (g.now - g.startedAt).Seconds() * p.Rate / n
	}
	if g.customersByKey[key] == nil {
		g.customersByKey[key] = c
	}
	g.customers = append(g.customers, c)
	return c
}

// recordFor returns the record of a customer that a peer names by its key, creating it if necessary. It returns nil if
// the key is invalid, or if there is no record and no room for one.
func (g *Gateway) recordFor(key uint64) *customer {
	plan, _, setSize := splitCustomerKey(key)
	if c := g.customersByKey[key]; c != nil || plan >= len(g.cfg.Plans) || setSize < 1 || setSize > g.cfg.Gateways ||
		len(g.customers) >= g.maxCustomers {
		return c
	}
	return g.newCustomer(key)
}

// makeRoom evicts records if there are too many: those of idle customers or, if that isn't enough, the least recently
// seen ones. It reports whether there is room for another record. Hard limits of records created later are assumed to
// have filled since now only, so that a customer gains nothing by being evicted.
func (g *Gateway) makeRoom() bool {
	g.hardLimitFillSince = g.now
	g.evictIdle(recentWindow)
	if len(g.customers) >= g.maxCustomers {
		g.evictLeastRecentlySeen()
	}
	return len(g.customers) < g.maxCustomers
}

// inUse reports whether a customer has unanswered requests or attempts in flight. Its record counts them, or will count
// them once they are sent, so it can't be evicted.
func (c *customer) inUse() bool { return c.requests > 0 }

// evictIdle drops the records that are not in use and whose customers have sent no request for longer than idle.
func (g *Gateway) evictIdle(idle time.Duration) {
	g.evict(func(c *customer) bool { return g.now-c.lastSeen > idle })
}

// evictLeastRecentlySeen drops one in evictionDivisor of the records, choosing the least recently seen ones not in use.
func (g *Gateway) evictLeastRecentlySeen() {
	left := max(1, g.maxCustomers/evictionDivisor) // still to be dropped; some of several equally old records stay
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

// evict drops the chosen records, except those in use.
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
