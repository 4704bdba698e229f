package policy

import "math"

// Correction of the estimated units of requests by the units that servers report.

// reconcileUnits replaces the estimated units of a request by those in its answer. It does so once, at the gateway that
// keeps the bucket. Impossible numbers of units are ignored. The hard limit isn't corrected.
func (g *Gateway) reconcileUnits(r *request, units float64) {
	excess := units - r.Units
	if r.reconciled || r.overQuota || !(units > 0 && units <= math.Max(g.cfg.MaxUnits, r.Units)) || excess == 0 {
		return
	}
	if r.reconciled = true; r.owner < 0 {
		r.customer.balance -= excess
		r.customer.addUsed(excess)
		g.queueUpdate(r.customer, g.nearby...)
	} else if r.owner == g.cfg.Self {
		g.reconcileAtOwner(g.cfg.Self, r.customer.key, excess)
	} else {
		g.host.SendToPeer(r.owner, packReconcile(r.customer.key, excess))
	}
}

// reconcileAtOwner corrects the balance of a customer that this gateway owns by the units that a request drew beyond
// its estimate. excess is negative if the request drew less.
func (g *Gateway) reconcileAtOwner(from int, key uint64, excess float64) {
	_, first, setSize := splitCustomerKey(key)
	c := g.recordFor(ownerKey(key, g.cfg.Self))
	if c != nil && g.serves(from, &customer{firstGateway: first, setSize: setSize}) {
		c.balance -= math.Max(-g.cfg.MaxUnits, math.Min(g.cfg.MaxUnits, excess))
	}
}
