package policy

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// Quota checks from this gateway's records. The part of the quota that this gateway may draw on is determined in
// bucket_sharing.go; the arithmetic of buckets is in internal/ratelimit.

// refill refills a customer's token bucket and this gateway's share of its hard limit up to now. units are those of a
// request: an isolated gateway may save up that many, even if its part of the burst is less.
func (g *Gateway) refill(c *customer, units float64) {
	if !g.isolated() {
		units = 0
	}
	if !c.limitFilled && g.fleetJustStarted() {
		c.limitFilled, c.hardLimit.Tokens = true, c.hardLimit.Tokens+g.hardLimitShare(c).Burst
	}
	c.balance = g.quotaView(c).Refill(g.cfg.Plans[c.plan].quota(), g.now-c.refilledAt, c.reservedUnits, units)
	c.hardLimit.Refill(g.hardLimitShare(c), g.now-c.refilledAt, c.reservedUnits)
	c.refilledAt = g.now
}

// withinQuota reports whether a request is within its customer's quota, as far as this gateway knows.
func (g *Gateway) withinQuota(r *request) bool {
	c, p, view := r.customer, g.cfg.Plans[r.Plan], g.quotaView(r.customer)
	if p.MaxInFlight > 0 &&
		!ratelimit.SlotAvailable(p.MaxInFlight, c.inFlight+c.queued, g.inFlightElsewhere(c), c.setSize, view.Shared) {
		return false
	}
	return view.Allows(p.quota(), r.Units, g.rng.Float64)
}

// fleetJustStarted reports whether all gateways have just started, so that no hard limit has been drawn on before. If
// some gateways are not nearby, it returns true only after fullUpdateInterval, so that an older one among them has had
// the time to become known.
func (g *Gateway) fleetJustStarted() bool {
	noContact := func(peer int) bool { return g.peerLastContact[peer] == 0 }
	wait := fullUpdateInterval * time.Duration(min(1, g.cfg.Gateways-1-len(g.nearby)))
	return len(g.nearby) > 0 && !g.olderPeerKnown && g.hardLimitFillSince == g.startedAt && g.now-g.startedAt >= wait &&
		!slices.ContainsFunc(g.nearby, noContact)
}
