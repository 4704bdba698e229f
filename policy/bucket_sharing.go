package policy

import (
	"math"
	"slices"
	"time"
)

// Token buckets that are shared by several gateways: whether this gateway draws on the whole bucket or on a part of it,
// and the accounting of its peers' draws. Which gateways share a bucket is defined in peers.go.

const (
	minPushSumWeight   = 0.05 // the least weight from which a push-sum total is extrapolated
	balanceConvergence = 0.03 // share of the difference between two copies of a bucket that each update removes
)

// drawsOnWholeBucket reports whether this gateway draws on a customer's whole bucket: it receives updates from all of
// the customer's gateways, or from most nearby gateways. A majority is enough because the parts of gateways that are
// down must not lie idle. Gateways that are partitioned from the majority draw on their parts meanwhile, which
// exceeds the quota by half at worst.
func (g *Gateway) drawsOnWholeBucket(c *customer) bool {
	isTimedOutMember := func(peer int) bool { return g.serves(peer, c) && !g.peerAlive(peer) }
	return g.sharesBucket(c) && (g.majorityAlive() || !slices.ContainsFunc(g.nearby, isTimedOutMember))
}

// majorityAlive reports whether this gateway and the nearby peers that are alive are a majority of this gateway and its
// nearby peers.
func (g *Gateway) majorityAlive() bool { return 2*g.nearbyAlive()+1 > len(g.nearby) }

// isolated reports whether no message of any peer was received for longer than staleUpdates times fullUpdateInterval.
func (g *Gateway) isolated() bool { return g.now-g.lastContact > staleUpdates*fullUpdateInterval }

// demand returns the units a second that the customer requests here, and at all of its gateways. An isolated gateway
// assumes that the demand at each of the others equals its own, which limits the customer to an even part of its rate.
// It assumes the same for a customer whose bucket isn't shared.
func (g *Gateway) demand(c *customer) (here, total float64) {
	timeConstant, n := g.demandTimeConstant(c.plan), float64(c.setSize)
	c.demand.decay(g.now, timeConstant)
	here = c.demand.sum / timeConstant.Seconds()
	if g.isolated() || !g.sharesBucket(c) {
		return here, here * n
	}
	c.sharedDemand.decay(g.now, timeConstant, 1)
	pooled, weight := c.sharedDemand.pooled[0], c.sharedDemand.pooled[1]
	total = (c.sharedDemand.local[0] + n*pooled/math.Max(weight, minPushSumWeight)) / timeConstant.Seconds()
	return here, math.Max(here, total)
}

// applyPeerUsage applies the units that a peer has drawn for a customer since its last update. If the two gateways'
// shares of the hard limit are uneven, it queues an update to the peer, which carries a grant. delay is how much longer
// the update took than the fastest one.
func (g *Gateway) applyPeerUsage(c *customer, from int, e entry, delay time.Duration) {
	if !g.sharesBucket(c) {
		return
	}
	g.refill(c, 0)
	plan, peer := g.cfg.Plans[c.plan], &c.peers[g.peerIndex(from)]
	stale := delay.Seconds()*plan.HardLimitRate > plan.HardLimitSlack
	var uneven bool
	if peer.deficit, uneven = c.hardLimit.Receive(g.hardLimitShare(c), e.grant, c.setSize, stale); uneven {
		g.queueUpdate(c, from)
	}
	known := peer.incarnation == g.incarnations[from] && peer.generation == e.generation
	if !known && g.olderPeerKnown && g.now-g.startedAt < peerAliveFor { // an older peer knows the balance
		c.balance = e.balance*plan.Burst - c.used
	} else {
		c.balance -= g.drawnSinceUpdate(c, from, e, known)
	}
	peer.incarnation, peer.receivedAt, peer.generation = g.incarnations[from], g.now, e.generation
	peer.used, peer.inFlight = e.used, e.inFlight
	// Copies of a bucket diverge when updates cross, and would stay different while the bucket is never full; the gateway
	// that sees the higher balance would draw everything. Units that the peer had not been sent yet are not a divergence.
	c.balance += balanceConvergence * (e.balance*plan.Burst - (c.used - peer.ownUsedSent) - c.balance)
	c.balance = math.Max(-plan.Burst, c.balance)
}

// drawnSinceUpdate returns the units that a peer has drawn from the bucket between its last update and the update e.
// known reports whether the last update was of the same record of the peer.
func (g *Gateway) drawnSinceUpdate(c *customer, from int, e entry, known bool) float64 {
	peer := &c.peers[g.peerIndex(from)]
	switch {
	case peer.receivedAt < g.peerResumedAt[from] && (known || g.now-g.peerResumedAt[from] < peerAliveFor):
		return 0 // drawn while the peer was timed out, so from the peer's own part
	case !known: // the units that are missing from the bucket according to the peer
		return math.Min(e.used, (1-e.balance)*g.cfg.Plans[c.plan].Burst)
	}
	return usedBetween(peer.used, e.used)
}
