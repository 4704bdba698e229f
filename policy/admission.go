package policy

import "math"

// Is a request taken in? Capacity, load shedding, the hard limit and the quota decide, in this order; a request that is
// taken in goes on to dispatch.go. Read first.

// Request takes a client's request in: it is refused, asked about at its customer's owner, or sent on. What can't be
// served is refused before it draws anything.
func (g *Gateway) Request(now Time, in Request) {
	g.advance(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.Plan < 0 || in.Plan >= len(g.cfg.Plans) ||
		in.Deadline-now <= 2*g.cfg.Tick {
		g.host.Refuse(in.ID, 0)
		return
	}
	if !(in.Units >= 0 && in.Units <= math.MaxInt32) { // NaN would make a balance NaN for good
		in.Units = 1
	}
	customer := g.customerFor(in)
	if customer == nil {
		g.host.Refuse(in.ID, 0)
		return
	}
	r := &request{Request: in, arrivedAt: now, customer: customer}
	g.retryBudget = math.Min(maxRetryBudget, g.retryBudget+retriesPerRequest)
	g.hedgeBudget = math.Min(hedgesPerRequest*maxRetryBudget/retriesPerRequest, g.hedgeBudget+hedgesPerRequest)
	r.owner = g.ownerOf(r.customer)
	ownerDecides := r.owner >= 0 && r.owner != g.cfg.Self
	within := ownerDecides || g.withinQuotaHere(r)
	if g.mustRefuse(r, within, ownerDecides) {
		g.answerUnserved(r)
		return
	}
	g.requests[in.ID] = r
	customer.requests++
	g.host.Timer(requestTag(in.ID, tagDeadline), in.Deadline-now-2*g.cfg.Tick)
	if ownerDecides {
		g.queryOwner(r)
	} else {
		g.admit(r, within)
	}
}

// withinQuotaHere tells whether a request is within its customer's quota, by this gateway as the owner or by its copy
// or part of the bucket. An owner without room for its record of the bucket decides by its part, as if it had none.
func (g *Gateway) withinQuotaHere(r *request) bool {
	if r.owner == g.cfg.Self {
		q := ownerQuery{from: g.cfg.Self, token: uint32(r.ID), customerKey: r.customer.key, units: r.Units}
		if bucket := g.answerQuery(q); bucket != nil {
			return bucket.lastQueryAdmitted
		}
		r.owner = -1
	}
	return g.withinQuota(r)
}

// mustRefuse tells whether a request is refused whatever its quota says: its group is shed, its hard limit reached,
// or there is no capacity. The capacity is not held against requests beyond their quota: admit judges these.
func (g *Gateway) mustRefuse(r *request, within, ownerDecides bool) bool {
	group := &g.groups[g.groupOf(r)]
	refuse := group.shed || r.owner < 0 && !r.customer.withinHardLimit(g.cfg.Plans[r.Plan], r.Units)
	capacity := g.totalCapacity() * group.capacityShare
	free := capacity + g.burstAllowance(capacity) - g.load() - float64(len(g.queue))
	if !refuse && within && free < 1 && g.rng.Float64() >= free {
		refuse = true
		// A request that the owner decides on may be beyond its quota, so it is no sign of overload.
		g.capacityReached = g.capacityReached || group.capacityShare >= 1 && !ownerDecides
	}
	// Under overload a request that would be late at any server is refused, if it takes longer than its class does:
	// where the whole class would be late, load shedding decides.
	if g.overloaded && g.expectedLatency(r) > g.cfg.Classes[r.Class].LatencyTarget {
		refuse = refuse || g.typicalLatency(r) > (1+similarity)*g.classTypicalLatency(r.Class)
	}
	return refuse
}

// burstAllowance is by how much the attempts in flight here may exceed this gateway's capacity while those of the
// whole fleet don't exceed the fleet's: two standard deviations of a Poisson number, where this gateway's part of a
// server's initial capacity is less than one attempt.
func (g *Gateway) burstAllowance(capacity float64) float64 {
	return 2 * math.Sqrt(capacity*math.Max(0, 1-initialCapacity/float64(g.cfg.Gateways)))
}

// admit sends on a request that is within its customer's quota, and refuses one that isn't where it wouldn't pay. The
// hard limit is kept without help from peers: a gateway draws on its own part of rate and burst, here or at the first
// owner, and a new incarnation starts with what has filled since its start, as the earlier one may have used up all.
func (g *Gateway) admit(r *request, within bool) {
	delete(g.pendingQueries, r.queryToken)
	p := g.cfg.Plans[r.Plan]
	r.limitAtOwner = within && r.owner >= 0 && r.owner == g.ownerCandidate(r.customer, 0) &&
		g.hardLimitHolders(r.customer) > 1
	if !r.limitAtOwner && !r.customer.withinHardLimit(p, r.Units) ||
		!within && (p.OverQuotaValue <= p.OverQuotaCost || g.overloaded || len(g.shedGroups) > 0) {
		g.answerUnserved(r)
		return
	}
	r.overQuota = !within
	g.charge(r, 1)
	g.dispatch(r)
}
