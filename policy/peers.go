package policy

import (
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
)

// Which gateways share a customer, and what is known of them. Nothing here chooses.

// nearHeard counts the gateways near by that are heard.
func (g *Gateway) nearHeard() (n int) {
	for _, p := range g.near {
		if g.hears(p) {
			n++
		}
	}
	return n
}

// news notes that a customer's other gateways, or one of them, have something to hear of it.
func (g *Gateway) news(c *customer, peers ...int) {
	for _, p := range peers {
		if g.shared(c) && g.serves(p, c) && g.slot(p) <= 2*tellPeers {
			if c.untold == 0 {
				g.untold = append(g.untold, c)
			}
			c.untold |= 1 << g.slot(p)
		}
	}
}

func (g *Gateway) serves(gateway int, c *customer) bool {
	return ((gateway-c.first)%g.set.Gateways+g.set.Gateways)%g.set.Gateways < c.set
}

// outElsewhere gives the attempts that a customer has out through its other gateways. What was last told counts for as long
// as it would have been told again; of one that isn't heard its part is taken to be out.
func (g *Gateway) outElsewhere(c *customer) (n int) {
	for _, p := range g.near {
		h := &c.heard[g.slot(p)]
		switch {
		case !g.serves(p, c):
		case !g.hears(p):
			n += g.set.Plans[c.plan].Open / c.set
		case g.now-h.at <= heardFor:
			n += int(h.out)
		}
	}
	return n
}

// renewOut has a peer told again of what customers have out, should word of it have been lost.
func (g *Gateway) renewOut(to int) {
	for _, c := range g.customers {
		if c.out+c.waiting > 0 && g.set.Plans[c.plan].Open > 0 {
			g.news(c, to)
		}
	}
}

// hears tells whether a peer has lately been heard.
func (g *Gateway) hears(peer int) bool {
	return g.peerHeard[peer] != 0 && g.now-g.peerHeard[peer] <= heardFor
}

// slot numbers the gateways from tellPeers places before this one: those near it have the first numbers.
func (g *Gateway) slot(peer int) int {
	return (peer - g.set.Me + tellPeers + g.set.Gateways) % g.set.Gateways
}

// shared tells whether a customer's set is small enough for its gateways to be near each other.
func (g *Gateway) shared(c *customer) bool { return len(g.near) > 0 && c.set <= tellPeers+1 }

// view gives how this gateway sees a customer's store.
func (g *Gateway) view(c *customer) ledger.View {
	mine, all := g.demand(c)
	return ledger.View{Left: c.account, Mine: mine, All: all, N: c.set, Whole: g.whole(c)}
}

// share gives what a record's part of the ceiling is of.
func (g *Gateway) share(c *customer) ledger.Limit {
	p, n := g.set.Plans[c.plan], float64(c.set)*g.keepers(c)
	return ledger.Limit{Rate: p.CeilingRate / n, Burst: p.CeilingBurst / n}
}

// lateBy tells how much later than the fastest one a peer's message has come, by its clock and this one's, which may
// drift by a thousandth.
func (g *Gateway) lateBy(from int, age time.Duration, anew bool) time.Duration {
	lag, most := g.now-age, g.peerLag[from]+(g.now-g.peerHeard[from])/1000
	if anew || g.peerLag[from] == 0 || lag < most {
		most = lag
	}
	g.peerLag[from] = most
	return lag - most
}

// keepers is 2 where a customer's first home keeps half of the hard ceiling and all parts together the other, else 1. Half
// must be enough for the quota.
func (g *Gateway) keepers(c *customer) float64 {
	p, own := g.set.Plans[c.plan], c.set == 1 && !c.met // a home's record
	if p.CeilingRate >= 2*p.Rate && p.CeilingBurst >= 2*p.Burst && len(g.near) > 0 && (own || !g.shared(c)) {
		return 2
	}
	return 1
}

// homeOf gives a customer's first home, or the kth that stands in for it.
func (g *Gateway) homeOf(c *customer, k int) int {
	return (c.first + (int(c.name>>32)+k)%c.set) % g.set.Gateways
}
