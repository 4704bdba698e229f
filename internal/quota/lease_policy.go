package quota

// How leases follow demand. A lease takes inflow and depth from the pool, and what flows into a lease that is
// full is lost: so a holder with little demand, or with a pool that is nearly empty, gets less than its
// demand and asks the pool for the rest.
const (
	leaseHeadroom       = 1.25        // lease rate over demand, with a well-filled pool
	emptyPoolHeadroom   = 0.6         // the same with an empty pool; between the two it is interpolated
	fullHeadroomShare   = 0.6         // of the pool's depth: from this level on the headroom is full
	lowDemand           = token / 2   // per second; a lease for less demand is mostly idle
	lowDemandHeadroom   = 0.6         // lease rate over such demand, with a well-filled pool
	lowDemandDepthShare = 0.6         // of the depth that may be leased: up to it there are leases for such demand
	maxDepthSeconds     = 2           // the most that a lease holds beside the first token, in seconds of its rate
	minLeaseRate        = token / 100 // per second; no smaller lease is granted
	minLeaseChange      = 0.1         // relative change below which an offer isn't replaced by another
	roundingTolerance   = token / 100 // by which rounded-up reports of leases may exceed the sum that they are part of
)

// rebalance recomputes all leases of a holder that this reply doesn't contain yet, and forgets idle
// allocations.
func (a *Allocator) rebalance(holder *leaseHolder) {
	holder.rebalancedAt = a.now
	kept := holder.ordered[:0]
	for _, part := range holder.ordered {
		if part.idle() {
			delete(holder.allocations, part.quota)
			continue
		}
		kept = append(kept, part)
		if part.sentSequence != holder.lastSequence {
			a.refill(part.quota)
			a.offerLease(holder, part)
		}
	}
	clear(holder.ordered[len(kept):])
	holder.ordered = kept
}

// offerLease offers the lease that a holder's demand entitles it to, within what is left of the budget,
// unless it hardly differs from the last offer.
func (a *Allocator) offerLease(holder *leaseHolder, part *allocation) {
	q := part.quota
	next := q.fairShare(part)
	if !a.grantees.mayLease(holder.node) {
		next = lease{}
	}
	others := q.outstanding.minus(part.outstanding).plus(q.unaccounted)
	next.rate = min(next.rate, q.budget.maxLeasedRate-others.rate)
	next.depth = min(next.depth,
		q.maxLeasedDepthFor(part.demand)-others.depth,
		q.budget.depth-q.floor.bound()-others.depth) // the floor's tokens stay in the pool
	if next.rate < minLeaseRate || next.depth < tokens(minLeaseDepth) {
		next = lease{}
	}
	if next == part.offered || !q.overcommitted() && next.similar(part.offered) {
		return
	}
	part.setOutstanding(part.outstanding.max(next)) // a decrease counts only once it is acknowledged
	part.setOffered(holder, next)
	if part.unackedSequence == 0 { // an increase: it is sent in each reply until it is acknowledged
		part.unackedSequence = holder.lastSequence
		holder.unacked = append(holder.unacked, part)
	}
}

// fairShare is the lease that a holder's share of the tenant's demand entitles it to, whatever others hold.
func (q *tenantQuota) fairShare(part *allocation) lease {
	if part.demand <= 0 || !q.limited || q.removed || q.budget.maxLeasedRate <= 0 {
		return lease{}
	}
	share := part.demand.float() / max(q.demand, part.demand).float()
	fullness := q.poolFullness()
	headroom := emptyPoolHeadroom + (leaseHeadroom-emptyPoolHeadroom)*fullness
	if part.demand < lowDemand {
		headroom = lowDemandHeadroom * fullness
	}
	rate := min(share*q.budget.maxLeasedRate.float(), headroom*part.demand.float())
	holders := q.leaseCount
	if part.outstanding.isZero() {
		holders++
	}
	spare := max(0, q.budget.maxLeasedDepth.float()-float64(holders)*minLeaseDepth)
	depth := minLeaseDepth + min(spare*rate/q.budget.maxLeasedRate.float(), maxDepthSeconds*rate)
	return lease{tokens(rate), tokens(depth)}
}

// poolFullness is 1 for a pool that is filled to fullHeadroomShare or more, and falls to 0 as it empties.
func (q *tenantQuota) poolFullness() float64 {
	return min(1, max(0, q.pool.level.float())/(fullHeadroomShare*max(token, q.poolDepth()).float()))
}

// maxLeasedDepthFor bounds the summed depth at which a lease for a demand is granted. Leases for low demand
// are mostly idle, so they leave more to the pool.
func (q *tenantQuota) maxLeasedDepthFor(demand amount) amount {
	if demand < lowDemand {
		return amount(lowDemandDepthShare * float64(q.budget.maxLeasedDepth))
	}
	return q.budget.maxLeasedDepth
}

// overcommitted reports whether more is leased than the current limit allows, as after a limit was lowered.
func (q *tenantQuota) overcommitted() bool {
	total := q.outstanding.plus(q.unaccounted)
	return total.rate > q.budget.maxLeasedRate+roundingTolerance || total.depth > q.budget.maxLeasedDepth+roundingTolerance
}

// similar reports whether two leases differ too little to replace one by the other.
func (l lease) similar(other lease) bool {
	return l.isZero() == other.isZero() && near(l.rate, other.rate) && near(l.depth, other.depth)
}

// near reports whether a differs from b by at most minLeaseChange of b.
func near(a, b amount) bool {
	difference := max(a-b, b-a)
	return difference.float() <= minLeaseChange*b.float()
}
