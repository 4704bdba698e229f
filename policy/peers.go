package policy

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// Peers: which gateways share a customer, which peers are alive, and the updates that gateways exchange.

const (
	fullUpdateInterval = time.Second / 4        // between updates to a peer that include the groups
	updateInterval     = time.Second / 30       // between updates to a peer, while there are changes to send
	peerAliveFor       = 4 * fullUpdateInterval // a peer heard from this recently is assumed to receive messages from here
	staleUpdates       = 10                     // in fullUpdateInterval: a gateway without messages for longer is isolated
	nearbyDistance     = 3                      // greatest distance in numbers at which gateways share customers' buckets
	peerRateShare      = 0.7                    // share of Settings.PeerMessageRate that all peers together may use
)

// peerAlive reports whether a message from a peer was received within peerAliveFor.
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

// peerIndex returns a gateway's distance from the gateway that is nearbyDistance places before this one, in the circle
// of gateway numbers. Nearby gateways thus have the first indexes.
func (g *Gateway) peerIndex(peer int) int {
	return (peer - g.cfg.Self + nearbyDistance + g.cfg.Gateways) % g.cfg.Gateways
}

// serves reports whether a gateway is in a customer's set.
func (g *Gateway) serves(gateway int, c *customer) bool {
	return ((gateway-c.firstGateway)%g.cfg.Gateways+g.cfg.Gateways)%g.cfg.Gateways < c.setSize
}

// sharesBucket reports whether a customer's set is small enough for all its gateways to be near each other.
func (g *Gateway) sharesBucket(c *customer) bool {
	return len(g.nearby) > 0 && c.setSize <= nearbyDistance+1
}

// ownerCandidate returns the gateway that owns a customer with a large set if k is 0, and otherwise the kth gateway
// that stands in for it.
func (g *Gateway) ownerCandidate(c *customer, k int) int {
	return (c.firstGateway + (int(c.key>>32)+k)%c.setSize) % g.cfg.Gateways
}

// queueUpdate queues an update of a customer for those of the peers that share the customer's bucket.
func (g *Gateway) queueUpdate(c *customer, peers ...int) {
	for _, p := range peers {
		if g.sharesBucket(c) && g.serves(p, c) && g.peerIndex(p) <= 2*nearbyDistance {
			if c.pendingPeers == 0 {
				g.pendingUpdates = append(g.pendingUpdates, c)
			}
			c.pendingPeers |= 1 << g.peerIndex(p)
		}
	}
}

// resendInFlight queues the numbers of attempts in flight for a peer again, as an earlier update may have been lost.
func (g *Gateway) resendInFlight(to int) {
	for _, c := range g.customers {
		if c.inFlight+c.queued > 0 && g.cfg.Plans[c.plan].MaxInFlight > 0 {
			g.queueUpdate(c, to)
		}
	}
}

// inFlightElsewhere returns the number of attempts that a customer has in flight through its other gateways. The
// number that a peer has sent counts for peerAliveFor, within which it would have been sent again. For a peer that
// has timed out, the peer's part of the limit is assumed.
func (g *Gateway) inFlightElsewhere(c *customer) (n int) {
	for _, p := range g.nearby {
		peer := &c.peers[g.peerIndex(p)]
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

// quotaView returns a customer's bucket as seen by this gateway.
func (g *Gateway) quotaView(c *customer) ratelimit.QuotaView {
	here, total := g.demand(c)
	return ratelimit.QuotaView{Balance: c.balance, LocalDemand: here, TotalDemand: total, Gateways: c.setSize,
		Shared: g.drawsOnWholeBucket(c)}
}

// hardLimitShare returns the share of the hard limit that a record of a customer has.
func (g *Gateway) hardLimitShare(c *customer) ratelimit.Limit {
	p, n := g.cfg.Plans[c.plan], float64(c.setSize)*g.hardLimitHolders(c)
	return ratelimit.Limit{Rate: p.HardLimitRate / n, Burst: p.HardLimitBurst / n}
}

// hardLimitHolders returns 2 if a customer's first owner holds one half of the hard limit and all the customer's
// gateways together hold the other half, and 1 otherwise. The limit is halved only if half of it is enough for the
// quota.
func (g *Gateway) hardLimitHolders(c *customer) float64 {
	p, ownersRecord := g.cfg.Plans[c.plan], c.setSize == 1 && !c.seenHere
	if p.HardLimitRate >= 2*p.Rate && p.HardLimitBurst >= 2*p.Burst && len(g.nearby) > 0 &&
		(ownersRecord || !g.sharesBucket(c)) {
		return 2
	}
	return 1
}

// excessDelay returns how much longer a peer's message took than the peer's fastest message. The peer's age serves as
// its clock, which may drift from the clock here by one part in maxDrift. restarted reports whether the age has
// started anew.
func (g *Gateway) excessDelay(from int, age time.Duration, restarted bool) time.Duration {
	const maxDrift = 1000 // the clocks drift apart by at most one part in this many
	offset, least := g.now-age, g.peerClockOffset[from]+(g.now-g.peerLastContact[from])/maxDrift
	if restarted || g.peerClockOffset[from] == 0 || offset < least {
		least = offset
	}
	g.peerClockOffset[from] = least
	return offset - least
}

// sendUpdates sends each nearby peer an update of the customers' use of their quotas. Every fullUpdateInterval the
// update also has the peer's push-sum part of the groups' figures.
func (g *Gateway) sendUpdates() {
	every := updateInterval
	if rate := peerRateShare * g.cfg.PeerMessageRate; rate > 0 {
		every = max(every, time.Duration(float64(len(g.nearby))/rate*float64(time.Second)))
	}
	g.host.Timer(tagPeerUpdate, every)
	for i := range g.nearby {
		g.sendUpdate(g.nearby[i:])
	}
	g.dropSentUpdates()
}

// dropSentUpdates removes customers from the pending updates if no peer has an update of them to receive.
func (g *Gateway) dropSentUpdates() {
	g.pendingUpdates = slices.DeleteFunc(g.pendingUpdates, func(c *customer) bool { return c.pendingPeers == 0 })
}

// sendUpdate sends an update to the first of the peers if there is anything to send. The others are sent their
// updates later in this round; the push-sum masses are split so that a part is left for each of them.
func (g *Gateway) sendUpdate(peers []int) {
	to := peers[0]
	out := update{age: g.now - g.startedAt, olderPeer: g.olderPeerKnown}
	full := g.now-g.fullUpdateAt[to] >= fullUpdateInterval
	if full {
		out.entries[groupSection] = g.groupEntries(float64(len(peers)))
		g.resendInFlight(to)
	}
	out.entries[customerSection] = g.customerEntries(peers)
	if full || len(out.entries[customerSection]) > 0 {
		g.host.SendToPeer(to, packUpdate(out, g.schema))
	}
	if full {
		g.fullUpdateAt[to] = g.now
	}
}

// groupEntries removes the groups' parts for one peer from their push-sums and returns them as entries. peersLeft is
// the number of peers, including this one, that have yet to receive their parts in this round.
func (g *Gateway) groupEntries(peersLeft float64) (list []entry) {
	for i := range g.groups {
		t := &g.groups[i].latency
		t.decay(g.now, groupTimeConstant, 0)
		list = append(list, entry{key: uint64(i), mass: t.split(peersLeft, float64(g.cfg.Gateways))})
	}
	return list
}

// customerEntries returns the entries of the customers with a pending update for the first of the peers, as many as fit
// into a message. The rest are sent in order with later messages.
func (g *Gateway) customerEntries(peers []int) (list []entry) {
	to := peers[0]
	left := messageBytes - headerBytes - sectionCount - len(g.groups)*maxEntrySize(groupSection) // bytes
	for _, c := range g.pendingUpdates {
		if c.pendingPeers>>g.peerIndex(to)&1 == 0 || left < maxEntrySize(customerSection) {
			continue
		}
		e := g.customerEntry(c, peers)
		list, left = append(list, e), left-e.encodedSize()
	}
	return list
}

// customerEntry returns a customer's entry for the first of the peers. It subtracts the tokens that it grants the peer.
func (g *Gateway) customerEntry(c *customer, peers []int) entry {
	to := peers[0]
	sharing := slices.DeleteFunc(slices.Clone(peers), func(p int) bool { return !g.serves(p, c) })
	g.refill(c, 0)
	c.sharedDemand.decay(g.now, g.demandTimeConstant(c.plan), 1)
	peer := &c.peers[g.peerIndex(to)]
	e := entry{key: c.key, mass: c.sharedDemand.split(float64(len(sharing)), float64(c.setSize)),
		generation: c.generation, used: c.used, balance: c.balance / math.Max(g.cfg.Plans[c.plan].Burst, 1e-9),
		grant:    c.hardLimit.Grant(g.hardLimitShare(c), peer.deficit, c.setSize),
		inFlight: byte(min(255, c.inFlight+c.queued))}
	c.pendingPeers &^= 1 << g.peerIndex(to)
	peer.ownUsedSent, peer.deficit = c.used, 0
	return e
}

// applyUpdate applies a peer's update, unless the update is a duplicate or older than one already applied, which the
// peer's age in it shows. An age that is lower by staleUpdates times fullUpdateInterval or more belongs to another
// incarnation of the peer.
func (g *Gateway) applyUpdate(from int, in update) {
	last, contactedBefore := g.peerAge[from], g.peerLastContact[from] != 0
	if contactedBefore && in.age <= last && last-in.age < staleUpdates*fullUpdateInterval {
		return
	}
	if contactedBefore && !g.peerAlive(from) {
		g.peerResumedAt[from] = g.now
	}
	restarted := in.age < last || !contactedBefore
	delay := g.excessDelay(from, in.age, restarted)
	if restarted { // the peer has no records yet
		g.incarnations[from]++
		for _, c := range g.customers {
			g.queueUpdate(c, from)
		}
	}
	g.peerAge[from], g.peerLastContact[from], g.lastContact = in.age, g.now, g.now
	muchOlder := in.age > g.now-g.startedAt+staleUpdates*fullUpdateInterval
	if !g.olderPeerKnown && (in.olderPeer || muchOlder) { // nearby peers must learn of it at once
		g.olderPeerKnown = true
		clear(g.fullUpdateAt)
	}
	for _, e := range in.entries[groupSection] {
		if e.key < uint64(len(g.groups)) {
			g.groups[e.key].latency.merge(g.now, groupTimeConstant, 0, e.mass)
		}
	}
	for _, e := range in.entries[customerSection] {
		if c := g.recordFor(e.key); c != nil && g.serves(g.cfg.Self, c) && g.serves(from, c) {
			e.mass[1] = math.Min(e.mass[1], 1) // an unbounded weight from a peer could make the estimated sum vanish
			c.sharedDemand.merge(g.now, g.demandTimeConstant(c.plan), 1, e.mass)
			g.applyPeerUsage(c, from, e, delay)
		}
	}
}
