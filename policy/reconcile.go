package policy

import "math"

// How are the estimated units of a request corrected by those that it drew? This file decides nothing.

// reconcileUnits corrects, once and where the bucket is kept, the estimated units of a request by those in its
// answer. Units that can't be are ignored. The hard limit keeps to the estimate.
func (g *Gateway) reconcileUnits(r *request, units float64) {
	more := units - r.Units
	if r.reconciled || r.overQuota || !(units > 0 && units <= math.Max(g.cfg.MaxUnits, r.Units)) || more == 0 {
		return
	}
	if r.reconciled = true; r.owner < 0 {
		r.customer.balance -= more
		r.customer.addUsed(more)
		g.queueUpdate(r.customer, g.nearby...)
	} else if r.owner == g.cfg.Self {
		g.reconcileAtOwner(g.cfg.Self, r.customer.key, more)
	} else {
		g.host.SendToPeer(r.owner, packReconcile(r.customer.key, more))
	}
}

// reconcileAtOwner takes in that a request of a customer that this gateway owns drew more, or less, than was
// estimated.
func (g *Gateway) reconcileAtOwner(from int, key uint64, more float64) {
	_, first, setSize := splitCustomerKey(key)
	c := g.recordFor(ownerKey(key, g.cfg.Self))
	if c != nil && g.serves(from, &customer{firstGateway: first, setSize: setSize}) {
		c.balance -= math.Max(-g.cfg.MaxUnits, math.Min(g.cfg.MaxUnits, more))
	}
}
