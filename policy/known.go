package policy

// This file owns what a gateway knows of its customers and its peers: the records, how they are made and forgotten, and
// the figures drawn from them. Nothing here may admit or refuse, send or tell.

import (
	"math"
	"slices"
	"time"
)

// newCustomer makes the record of a customer that this life has not met. What a former life let in isn't
// known: ceilings, and accounts too once an older peer is heard, are taken to have filled since birth.
func (g *Gateway) newCustomer(name uint64) *customer {
	c := &customer{key: name, refilledAt: g.now, lastSeen: g.now, sharedDemand: pushSum{decayedAt: g.now}}
	c.plan, c.firstGateway, c.setSize = splitCustomerKey(name)
	c.sharedDemand.pooled[1] = 1 - decayFactor(g.now-g.startedAt, g.demandMemory(c.plan)) // nothing was asked here in this life
	c.generation = byte((g.now-g.startedAt)/time.Second) &^ tailFlag
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)
	if g.drawsJointly(c) {
		n = 1
	}
	c.balance = p.Burst
	c.hardLimit.Fill(g.hardLimitPart(c), g.now-g.unseenFillSince, 0)
	if g.olderPeerKnown && (n > 1 || g.now-g.startedAt < peerAliveFor) { // later, all that was drawn from has been heard of
		c.balance = (g.now - g.startedAt).Seconds() * p.Rate / n
	}
	if g.customersByKey[name] == nil {
		g.customersByKey[name] = c
	}
	g.customers = append(g.customers, c)
	return c
}

// allNew tells whether the whole fleet has just started: no ceiling has been drawn from before this life.
// Where not all gateways are near, word of an older one has had the time to come from some places farther.
func (g *Gateway) fleetJustStarted() bool {
	unheard := func(p int) bool { return g.peerLastContact[p] == 0 }
	wait := fullUpdateInterval * time.Duration(min(1, g.cfg.Gateways-1-len(g.nearby)))
	return len(g.nearby) > 0 && !g.olderPeerKnown && g.unseenFillSince == g.startedAt && g.now-g.startedAt >= wait &&
		!slices.ContainsFunc(g.nearby, unheard)
}

// record finds or makes the record of a customer that a peer names, nil where the name makes no sense.
func (g *Gateway) recordFor(name uint64) *customer {
	plan, _, set := splitCustomerKey(name)
	if c := g.customersByKey[name]; c != nil || plan >= len(g.cfg.Plans) || set < 1 || set > g.cfg.Gateways ||
		len(g.customers) >= maxCustomers {
		return c
	}
	return g.newCustomer(name)
}

// whole tells whether the store of a customer is drawn on together: all its gateways hear of each draw at
// once, or this one and most of those near it do. Those cut off keep to their parts meanwhile: a half more
// than the quota is drawn at the worst. Those that are down draw nothing, and theirs must not lie idle.
func (g *Gateway) drawsJointly(c *customer) bool {
	unheard := func(p int) bool { return g.serves(p, c) && !g.peerAlive(p) }
	return g.sharesBucket(c) && (g.majorityAlive() || !slices.ContainsFunc(g.nearby, unheard))
}

func (g *Gateway) majorityAlive() bool { return 2*g.nearbyAlive()+1 > len(g.nearby) }

// demand gives what is asked here and what is asked in all. A gateway that hears nobody takes the others to
// be asked as much as itself, which holds the customer to its rate split over them.
func (g *Gateway) demand(c *customer) (mine, all float64) {
	memory, n := g.demandMemory(c.plan), float64(c.setSize)
	c.demand.decay(g.now, memory)
	mine = c.demand.sum / memory.Seconds()
	if g.isolated() || !g.sharesBucket(c) {
		return mine, mine * n
	}
	c.sharedDemand.decay(g.now, memory, 1)
	all = (c.sharedDemand.local[0] + n*c.sharedDemand.pooled[0]/math.Max(c.sharedDemand.pooled[1], minPushSumWeight)) / memory.Seconds()
	return mine, math.Max(mine, all)
}

func (g *Gateway) isolated() bool { return g.now-g.lastContact > staleUpdates*fullUpdateInterval }

// hearUse takes in what a peer has drawn for a customer since it last told. Of a record that was not known
// here it is what its store still lacks; to a gateway that has just started an older peer tells what is left.
// What a peer drew while it was not heard came out of its own part, whenever it tells of it.
func (g *Gateway) applyPeerUsage(c *customer, from int, e entry, late time.Duration) {
	if !g.sharesBucket(c) {
		return
	}
	g.refill(c, 0)
	p, h := g.cfg.Plans[c.plan], &c.peers[g.peerSlot(from)]
	burst, stale := p.Burst, late.Seconds()*p.HardLimitRate > p.HardLimitSlack
	var uneven bool
	if h.deficit, uneven = c.hardLimit.Take(g.hardLimitPart(c), e.limitWord, c.setSize, stale); uneven {
		g.queueUpdate(c, from)
	}
	drew := usedBetween(h.used, e.used)
	switch known := h.incarnation == g.incarnations[from] && h.generation == e.generation; {
	case !known && g.olderPeerKnown && g.now-g.startedAt < peerAliveFor:
		c.balance, drew = e.balance*burst-c.used, 0
	case h.receivedAt < g.peerResumedAt[from] && (known || g.now-g.peerResumedAt[from] < peerAliveFor):
		drew = 0
	case !known:
		drew = math.Min(e.used, (1-e.balance)*burst)
	}
	h.incarnation, h.receivedAt, h.generation, h.used, h.inFlight = g.incarnations[from], g.now, e.generation, e.used, e.inFlight
	c.balance -= drew
	// Views part where draws cross, and would stay apart for as long as the store is never full: the one that
	// sees more would take all. What was not yet told there is no difference.
	c.balance += balanceConvergence * (e.balance*burst - (c.used - h.ownUsedSent) - c.balance)
	c.balance = math.Max(-burst, c.balance)
}
