package policy

import (
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
)

// Which gateways share a customer, which peers are alive, and which updates they are to receive. This file decides
// nothing.

// peerAlive tells whether a peer was heard within peerAliveFor.
func (g *Gateway) peerAlive(peer int) bool {
	return g.peerLastContact[peer] != 0 && g.now-g.peerLastContact[peer] <= peerAliveFor
}

// nearbyAlive counts the nearby peers that are alive.
func (g *Gateway) nearbyAlive() (n int) {
	for _, p := range g.nearby {
		if g.peerAlive(p) {
			n++
		}
	}
	return n
}

// peerSlot numbers the gateways from nearbyDistance places before this one on, so that nearby ones have the first
// numbers.
func (g *Gateway) peerSlot(peer int) int {
	return (peer - g.cfg.Self + nearbyDistance + g.cfg.Gateways) % g.cfg.Gateways
}

// serves tells whether a gateway is in a customer's set.
func (g *Gateway) serves(gateway int, c *customer) bool {
	return ((gateway-c.firstGateway)%g.cfg.Gateways+g.cfg.Gateways)%g.cfg.Gateways < c.setSize
}

// sharesBucket tells whether a customer's set is small enough for all its gateways to be near each other.
func (g *Gateway) sharesBucket(c *customer) bool {
	return len(g.nearby) > 0 && c.setSize <= nearbyDistance+1
}

// ownerCandidate gives the gateway that owns a customer with a large set, or the kth that stands in for it.
func (g *Gateway) ownerCandidate(c *customer, k int) int {
	return (c.firstGateway + (int(c.key>>32)+k)%c.setSize) % g.cfg.Gateways
}

// queueUpdate notes that peers are to receive an update of a customer, those of them that share its bucket.
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

// resendInFlight has a peer sent the numbers of attempts in flight again, as an update of them may have been lost.
func (g *Gateway) resendInFlight(to int) {
	for _, c := range g.customers {
		if c.inFlight+c.queued > 0 && g.cfg.Plans[c.plan].MaxInFlight > 0 {
			g.queueUpdate(c, to)
		}
	}
}

// inFlightElsewhere gives the attempts that a customer has in flight through its other gateways. What a peer has sent
// counts for as long as it would have been sent again; of a peer that has timed out its part is assumed.
func (g *Gateway) inFlightElsewhere(c *customer) (n int) {
	for _, p := range g.nearby {
		peer := &c.peers[g.peerSlot(p)]
		switch {
		case !g.serves(p, c):
		case !g.peerAlive(p):
			n += g.cfg.Plans[c.plan].MaxInFlight / c.setSize
		case g.now-peer.receivedAt <= peerAliveFor:
			n += int(peer.inFlight)
		}
	}
	return n
}

// quotaView gives how this gateway sees a customer's bucket.
func (g *Gateway) quotaView(c *customer) ledger.QuotaView {
	here, total := g.demand(c)
	return ledger.QuotaView{Balance: c.balance, LocalDemand: here, TotalDemand: total, Gateways: c.setSize,
		Shared: g.drawsJointly(c)}
}

// hardLimitShare gives the share of the hard limit that a record of a customer has.
func (g *Gateway) hardLimitShare(c *customer) ledger.Limit {
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)*g.hardLimitHolders(c)
	return ledger.Limit{Rate: p.HardLimitRate / n, Burst: p.HardLimitBurst / n}
}

// hardLimitHolders is 2 where a customer's first owner holds one half of the hard limit and the parts of all its
// gateways together the other, else 1. The limit is halved only where half of it is enough for the quota.
func (g *Gateway) hardLimitHolders(c *customer) float64 {
	p, ownersRecord := g.cfg.Plans[c.plan], c.setSize == 1 && !c.seenHere
	if p.HardLimitRate >= 2*p.Rate && p.HardLimitBurst >= 2*p.Burst && len(g.nearby) > 0 &&
		(ownersRecord || !g.sharesBucket(c)) {
		return 2
	}
	return 1
}

// excessDelay gives how much longer than the fastest one a peer's message took. The peer's clock is its age, which
// may drift from the clock here by a thousandth. restarted tells that the age has started anew.
func (g *Gateway) excessDelay(from int, age time.Duration, restarted bool) time.Duration {
	const maxDrift = 1000 // one in this many
	offset, least := g.now-age, g.peerClockOffset[from]+(g.now-g.peerLastContact[from])/maxDrift
	if restarted || g.peerClockOffset[from] == 0 || offset < least {
		least = offset
	}
	g.peerClockOffset[from] = least
	return offset - least
}
