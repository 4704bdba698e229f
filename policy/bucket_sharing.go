package policy

import (
	"math"
	"slices"
	"time"
)

// Does this gateway draw on a customer's whole bucket or on a part of it, and what have its peers drawn? Read after
// quota.go; peers.go tells which gateways share a bucket.

// The constants of what gateways know of each other's draws.
const (
	minPushSumWeight   = 0.05 // a push-sum is not extrapolated from a smaller weight than this
	balanceConvergence = 0.03 // of the difference of two copies of a bucket, with each update
)

// drawsJointly tells whether this gateway draws on a customer's whole bucket: it receives updates of all of the
// customer's gateways, or of most of those nearby. Those that are partitioned from the majority draw on their parts
// meanwhile, which exceeds the quota by half at worst. The parts of gateways that are down must not lie idle.
func (g *Gateway) drawsJointly(c *customer) bool {
	timedOut := func(peer int) bool { return g.serves(peer, c) && !g.peerAlive(peer) }
	return g.sharesBucket(c) && (g.majorityAlive() || !slices.ContainsFunc(g.nearby, timedOut))
}

// majorityAlive tells whether this gateway and the nearby peers that are alive are a majority of them all.
func (g *Gateway) majorityAlive() bool { return 2*g.nearbyAlive()+1 > len(g.nearby) }

// isolated tells whether no peer's message was received for longer than staleUpdates full updates.
func (g *Gateway) isolated() bool { return g.now-g.lastContact > staleUpdates*fullUpdateInterval }

// demand gives the units a second that are asked here, and at all of the customer's gateways. An isolated gateway
// takes the others' demand to be as its own, which holds the customer to an even part of its rate.
func (g *Gateway) demand(c *customer) (here, total float64) {
	memory, n := g.demandMemory(c.plan), float64(c.setSize)
	c.demand.decay(g.now, memory)
	here = c.demand.sum / memory.Seconds()
	if g.isolated() || !g.sharesBucket(c) {
		return here, here * n
	}
	c.sharedDemand.decay(g.now, memory, 1)
	pooled, weight := c.sharedDemand.pooled[0], c.sharedDemand.pooled[1]
	total = (c.sharedDemand.local[0] + n*pooled/math.Max(weight, minPushSumWeight)) / memory.Seconds()
	return here, math.Max(here, total)
}

// applyPeerUsage takes in what a peer has drawn for a customer since its last update, and has a grant of its part of
// the hard limit returned to it where the two parts are uneven. delay is how late the update came.
func (g *Gateway) applyPeerUsage(c *customer, from int, e entry, delay time.Duration) {
	if !g.sharesBucket(c) {
		return
	}
	g.refill(c, 0)
	plan, peer := g.cfg.Plans[c.plan], &c.peers[g.peerSlot(from)]
	stale := delay.Seconds()*plan.HardLimitRate > plan.HardLimitSlack
	var uneven bool
	if peer.deficit, uneven = c.hardLimit.Receive(g.hardLimitShare(c), e.grant, c.setSize, stale); uneven {
		g.queueUpdate(c, from)
	}
	known := peer.incarnation == g.incarnations[from] && peer.generation == e.generation
	if !known && g.olderPeerKnown && g.now-g.startedAt < peerAliveFor { // an older peer knows what is left
		c.balance = e.balance*plan.Burst - c.used
	} else {
		c.balance -= g.drawnSinceUpdate(c, from, e, known)
	}
	peer.incarnation, peer.receivedAt, peer.generation = g.incarnations[from], g.now, e.generation
	peer.used, peer.inFlight = e.used, e.inFlight
	// Copies of a bucket diverge where draws cross, and would stay so while the bucket is never full: the gateway that
	// sees more would take all. What the peer had not been sent yet is no divergence.
	c.balance += balanceConvergence * (e.balance*plan.Burst - (c.used - peer.ownUsedSent) - c.balance)
	c.balance = math.Max(-plan.Burst, c.balance)
}

// drawnSinceUpdate gives the units that a peer has drawn from the bucket since its last update, by its next one.
// known tells whether the last one was of the same record of the peer.
func (g *Gateway) drawnSinceUpdate(c *customer, from int, e entry, known bool) float64 {
	peer := &c.peers[g.peerSlot(from)]
	switch {
	case peer.receivedAt < g.peerResumedAt[from] && (known || g.now-g.peerResumedAt[from] < peerAliveFor):
		return 0 // drawn while the peer was timed out, so from its own part
	case !known: // what the bucket lacks by the peer
		return math.Min(e.used, (1-e.balance)*g.cfg.Plans[c.plan].Burst)
	}
	return usedBetween(peer.used, e.used)
}
