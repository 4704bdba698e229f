package policy

import (
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
)

// Which gateways share a customer, and what is known of them. Nothing here chooses.

// nearHeard counts the gateways near by that are heard.
func (g *Gateway) nearbyAlive() (n int) {
	for _, p := range g.nearby {
		if g.peerAlive(p) {
			n++
		}
	}
	return n
}

// news notes that a customer's other gateways, or one of them, have something to hear of it.
func (g *Gateway) queueUpdate(c *customer, peers ...int) {
	for _, p := range peers {
		if g.sharesBucket(c) && g.serves(p, c) && g.peerSlot(p) <= 2*nearbyDistance {
			if c.pendingPeers == 0 {
				g.pendingUpdates = append(g.pendingUpdates, c)
			}
			c.pendingPeers |= 1 << g.peerSlot(p)
		}
	}
}

func (g *Gateway) serves(gateway int, c *customer) bool {
	return ((gateway-c.firstGateway)%g.cfg.Gateways+g.cfg.Gateways)%g.cfg.Gateways < c.setSize
}

// outElsewhere gives the attempts that a customer has out through its other gateways. What was last told counts for as long
// as it would have been told again; of one that isn't heard its part is taken to be out.
func (g *Gateway) inFlightElsewhere(c *customer) (n int) {
	for _, p := range g.nearby {
		h := &c.peers[g.peerSlot(p)]
		switch {
		case !g.serves(p, c):
		case !g.peerAlive(p):
			n += g.cfg.Plans[c.plan].MaxInFlight / c.setSize
		case g.now-h.receivedAt <= peerAliveFor:
			n += int(h.inFlight)
		}
	}
	return n
}

// renewOut has a peer told again of what customers have out, should word of it have been lost.
func (g *Gateway) refreshInFlight(to int) {
	for _, c := range g.customers {
		if c.inFlight+c.queued > 0 && g.cfg.Plans[c.plan].MaxInFlight > 0 {
			g.queueUpdate(c, to)
		}
	}
}

// hears tells whether a peer has lately been heard.
func (g *Gateway) peerAlive(peer int) bool {
	return g.peerLastContact[peer] != 0 && g.now-g.peerLastContact[peer] <= peerAliveFor
}

// slot numbers the gateways from tellPeers places before this one: those near it have the first numbers.
func (g *Gateway) peerSlot(peer int) int {
	return (peer - g.cfg.Self + nearbyDistance + g.cfg.Gateways) % g.cfg.Gateways
}

// shared tells whether a customer's set is small enough for its gateways to be near each other.
func (g *Gateway) sharesBucket(c *customer) bool {
	return len(g.nearby) > 0 && c.setSize <= nearbyDistance+1
}

// view gives how this gateway sees a customer's store.
func (g *Gateway) quotaView(c *customer) ledger.View {
	mine, all := g.demand(c)
	return ledger.View{Left: c.balance, Mine: mine, All: all, N: c.setSize, Whole: g.drawsJointly(c)}
}

// share gives what a record's part of the ceiling is of.
func (g *Gateway) hardLimitPart(c *customer) ledger.Limit {
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)*g.hardLimitHolders(c)
	return ledger.Limit{Rate: p.HardLimitRate / n, Burst: p.HardLimitBurst / n}
}

// lateBy tells how much later than the fastest one a peer's message has come, by its clock and this one's, which may
// drift by a thousandth.
func (g *Gateway) excessDelay(from int, age time.Duration, anew bool) time.Duration {
	lag, most := g.now-age, g.peerClockOffset[from]+(g.now-g.peerLastContact[from])/1000
	if anew || g.peerClockOffset[from] == 0 || lag < most {
		most = lag
	}
	g.peerClockOffset[from] = most
	return lag - most
}

// keepers is 2 where a customer's first home keeps half of the hard ceiling and all parts together the other, else 1. Half
// must be enough for the quota.
func (g *Gateway) hardLimitHolders(c *customer) float64 {
	p, own := g.cfg.Plans[c.plan], c.setSize == 1 && !c.seenHere // a home's record
	if p.HardLimitRate >= 2*p.Rate && p.HardLimitBurst >= 2*p.Burst && len(g.nearby) > 0 && (own || !g.sharesBucket(c)) {
		return 2
	}
	return 1
}

// homeOf gives a customer's first home, or the kth that stands in for it.
func (g *Gateway) ownerCandidate(c *customer, k int) int {
	return (c.firstGateway + (int(c.key>>32)+k)%c.setSize) % g.cfg.Gateways
}
