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
	c := &customer{name: name, at: g.now, lastSeen: g.now, told: tally{at: g.now}}
	c.plan, c.first, c.set = ofName(name)
	c.told.pool[1] = 1 - fading(g.now-g.born, g.memory(c.plan)) // nothing was asked here in this life
	c.made = byte((g.now-g.born)/time.Second) &^ withTail
	p, n := g.set.Plans[c.plan], float64(c.set)
	if g.whole(c) {
		n = 1
	}
	c.account = p.Burst
	c.ceiling.Fill(g.share(c), g.now-g.fullSince, 0)
	if g.elders && (n > 1 || g.now-g.born < heardFor) { // later, all that was drawn from has been heard of
		c.account = (g.now - g.born).Seconds() * p.Rate / n
	}
	if g.byShort[name] == nil {
		g.byShort[name] = c
	}
	g.customers = append(g.customers, c)
	return c
}

// allNew tells whether the whole fleet has just started: no ceiling has been drawn from before this life.
// Where not all gateways are near, word of an older one has had the time to come from some places farther.
func (g *Gateway) allNew() bool {
	unheard := func(p int) bool { return g.peerHeard[p] == 0 }
	wait := tellEvery * time.Duration(min(1, g.set.Gateways-1-len(g.near)))
	return len(g.near) > 0 && !g.elders && g.fullSince == g.born && g.now-g.born >= wait &&
		!slices.ContainsFunc(g.near, unheard)
}

// record finds or makes the record of a customer that a peer names, nil where the name makes no sense.
func (g *Gateway) record(name uint64) *customer {
	plan, _, set := ofName(name)
	if c := g.byShort[name]; c != nil || plan >= len(g.set.Plans) || set < 1 || set > g.set.Gateways ||
		len(g.customers) >= maxCustomers {
		return c
	}
	return g.newCustomer(name)
}

// whole tells whether the store of a customer is drawn on together: all its gateways hear of each draw at
// once, or this one and most of those near it do. Those cut off keep to their parts meanwhile: a half more
// than the quota is drawn at the worst. Those that are down draw nothing, and theirs must not lie idle.
func (g *Gateway) whole(c *customer) bool {
	unheard := func(p int) bool { return g.serves(p, c) && !g.hears(p) }
	return g.shared(c) && (g.hearsMost() || !slices.ContainsFunc(g.near, unheard))
}

func (g *Gateway) hearsMost() bool { return 2*g.nearHeard()+1 > len(g.near) }

// demand gives what is asked here and what is asked in all. A gateway that hears nobody takes the others to
// be asked as much as itself, which holds the customer to its rate split over them.
func (g *Gateway) demand(c *customer) (mine, all float64) {
	memory, n := g.memory(c.plan), float64(c.set)
	c.demand.fade(g.now, memory)
	mine = c.demand.sum / memory.Seconds()
	if g.deaf() || !g.shared(c) {
		return mine, mine * n
	}
	c.told.fade(g.now, memory, 1)
	all = (c.told.own[0] + n*c.told.pool[0]/math.Max(c.told.pool[1], leastWeight)) / memory.Seconds()
	return mine, math.Max(mine, all)
}

func (g *Gateway) deaf() bool { return g.now-g.heard > staleTells*tellEvery }

// hearUse takes in what a peer has drawn for a customer since it last told. Of a record that was not known
// here it is what its store still lacks; to a gateway that has just started an older peer tells what is left.
// What a peer drew while it was not heard came out of its own part, whenever it tells of it.
func (g *Gateway) hearUse(c *customer, from int, e entry, late time.Duration) {
	if !g.shared(c) {
		return
	}
	g.refill(c, 0)
	p, h := g.set.Plans[c.plan], &c.heard[g.slot(from)]
	burst, stale := p.Burst, late.Seconds()*p.CeilingRate > p.CeilingSlack
	var uneven bool
	if h.lacks, uneven = c.ceiling.Take(g.share(c), e.word, c.set, stale); uneven {
		g.news(c, from)
	}
	drew := usedBetween(h.used, e.used)
	switch known := h.life == g.lives[from] && h.made == e.made; {
	case !known && g.elders && g.now-g.born < heardFor:
		c.account, drew = e.store*burst-c.used, 0
	case h.at < g.peerBack[from] && (known || g.now-g.peerBack[from] < heardFor):
		drew = 0
	case !known:
		drew = math.Min(e.used, (1-e.store)*burst)
	}
	h.life, h.at, h.made, h.used, h.out = g.lives[from], g.now, e.made, e.used, e.out
	c.account -= drew
	// Views part where draws cross, and would stay apart for as long as the store is never full: the one that
	// sees more would take all. What was not yet told there is no difference.
	c.account += viewsMeet * (e.store*burst - (c.used - h.told) - c.account)
	c.account = math.Max(-burst, c.account)
}
