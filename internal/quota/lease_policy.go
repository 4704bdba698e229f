package quota

// Parameters of the sizes of leases. A lease takes inflow and depth from the pool, and the inflow into a full
// lease is lost. So if its demand is low or the pool is nearly empty, a holder is leased less than its demand and
// requests the rest as tokens from the pool.
const (
	leaseHeadroom       = 1.25        // ratio of lease rate to demand, with a well-filled pool
	emptyPoolHeadroom   = 0.6         // the same ratio with an empty pool; interpolated for levels in between
	fullHeadroomShare   = 0.6         // share of the pool's depth from which on the pool counts as well filled
	lowDemand           = token / 2   // per second; a lease for a lower demand is mostly idle
	lowDemandHeadroom   = 0.6         // ratio of lease rate to such a low demand, with a well-filled pool
	lowDemandDepthShare = 0.6         // share of the leasable depth up to which leases for such a low demand are granted
	maxDepthSeconds     = 2           // largest depth of a lease beyond its first token, in seconds of its rate
	minLeaseRate        = token / 100 // per second; no smaller lease is granted
	minLeaseChange      = 0.1         // relative change up to which an offer isn't replaced by another
	roundingTolerance   = token / 100 // by which a sum of leases that were rounded up in reports may exceed its bound
)

// rebalance recomputes all leases of a holder that the current reply doesn't contain yet, and removes idle
// allocations.
func (a *Allocator) rebalance(holder *leaseHolder) {
	holder.rebalancedAt = a.now
	kept := holder.ordered[:0]
	for _, alloc := range holder.ordered {
		if alloc.idle() {
			delete(holder.allocations, alloc.quota)
			continue
		}
		kept = append(kept, alloc)
		if alloc.sentSequence != holder.lastSequence {
			a.refill(alloc.quota)
			a.offerLease(holder, alloc)
		}
	}
	clear(holder.ordered[len(kept):])
	holder.ordered = kept
}

// offerLease offers the lease that a holder's demand entitles it to, within what is left of the budget. While the
// tenant isn't overcommitted, it makes no offer that is similar to the last one.
func (a *Allocator) offerLease(holder *leaseHolder, alloc *allocation) {
	q := alloc.quota
	next := q.fairShare(alloc)
	if !a.grantees.mayLease(holder.node) {
		next = lease{}
	}
	others := q.outstanding.minus(alloc.outstanding).plus(q.unaccounted)
	next.rate = min(next.rate, q.budget.maxLeasedRate-others.rate)
	next.depth = min(next.depth,
		q.maxLeasedDepthFor(alloc.demand)-others.depth,
		q.budget.depth-q.floor.bound()-others.depth) // the floor's tokens stay in the pool
	if next.rate < minLeaseRate || next.depth < tokens(minLeaseDepth) {
		next = lease{}
	}
	if next == alloc.offered || !q.overcommitted() && next.similar(alloc.offered) {
		return
	}
	alloc.setOutstanding(alloc.outstanding.max(next)) // a decrease counts only once it is acknowledged
	alloc.setOffered(holder, next)
	if alloc.unackedSequence == 0 { // an increase: it is sent in each reply until it is acknowledged
		alloc.unackedSequence = holder.lastSequence
		holder.unacked = append(holder.unacked, alloc)
	}
}

// fairShare returns the lease that a holder's share of the tenant's demand entitles it to, regardless of the
// leases of other holders.
func (q *tenantQuota) fairShare(alloc *allocation) lease {
	if alloc.demand <= 0 || !q.limited || q.removed || q.budget.maxLeasedRate <= 0 {
		return lease{}
	}
	share := alloc.demand.float() / max(q.demand, alloc.demand).float()
	fullness := q.poolFullness()
	headroom := emptyPoolHeadroom + (leaseHeadroom-emptyPoolHeadroom)*fullness
	if alloc.demand < lowDemand {
		headroom = lowDemandHeadroom * fullness
	}
	rate := min(share*q.budget.maxLeasedRate.float(), headroom*alloc.demand.float())
	holders := q.leaseCount
	if alloc.outstanding.isZero() {
		holders++
	}
	spare := max(0, q.budget.maxLeasedDepth.float()-float64(holders)*minLeaseDepth)
	depth := minLeaseDepth + min(spare*rate/q.budget.maxLeasedRate.float(), maxDepthSeconds*rate)
	return lease{tokens(rate), tokens(depth)}
}

// poolFullness returns 1 for a pool that is filled to fullHeadroomShare of its depth or more. Below that it falls
// linearly to 0 for an empty pool.
func (q *tenantQuota) poolFullness() float64 {
	return min(1, max(0, q.pool.level.float())/(fullHeadroomShare*max(token, q.poolDepth()).float()))
}

// maxLeasedDepthFor returns the summed depth of leases up to which a lease for a demand is granted. It is lower for
// a low demand: such leases are mostly idle, so they leave more to the pool.
func (q *tenantQuota) maxLeasedDepthFor(demand amount) amount {
	if demand < lowDemand {
		return amount(lowDemandDepthShare * float64(q.budget.maxLeasedDepth))
	}
	return q.budget.maxLeasedDepth
}

// overcommitted reports whether more is leased than the current limit allows, as may happen after a limit was lowered.
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
