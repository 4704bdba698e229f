package policy

import "math"

// Admission of requests, by the capacity, load shedding, the hard limit and the quota. An admitted request is passed to
// dispatch (dispatch.go).

// Request handles a client's request: it refuses it, queries the customer's owner about it, or dispatches it. A request
// that can't be served is refused before it draws any units.
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
	if !(in.Units >= 0 && in.Units <= math.MaxInt32) { // also catches NaN, which would make the balance NaN for good
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

// withinQuotaHere reports whether a request is within its customer's quota as decided by this gateway, either as the
// owner or from its copy or part of the bucket. An owner without room for its record of the bucket decides from its
// part, as if the customer had no owner.
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

// mustRefuse reports whether a request is refused regardless of its quota: its group is shed, its hard limit is
// reached, or there is no capacity. Requests beyond their quota are not checked against the capacity; admit decides
// on them.
func (g *Gateway) mustRefuse(r *request, within, ownerDecides bool) bool {
	group := &g.groups[g.groupOf(r)]
	refuse := group.shed || r.owner < 0 && !r.customer.withinHardLimit(g.cfg.Plans[r.Plan], r.Units)
	capacity := g.totalCapacity() * group.capacityShare
	free := capacity + g.burstAllowance(capacity) - g.load() - float64(len(g.queue))
	if !refuse && within && free < 1 && g.rng.Float64() >= free {
		refuse = true
		// A request that the owner decides on may be beyond its quota, so it is no evidence of overload.
		g.capacityReached = g.capacityReached || group.capacityShare >= 1 && !ownerDecides
	}
	// Under overload, a request that would be late at any server is refused if it takes longer than is typical of its
	// class. If the whole class would be late, load shedding decides instead.
	if g.overloaded && g.expectedLatency(r) > g.cfg.Classes[r.Class].LatencyTarget {
		refuse = refuse || g.typicalLatency(r) > (1+similarity)*g.classTypicalLatency(r.Class)
	}
	return refuse
}

// burstAllowance returns by how many attempts this gateway may exceed its capacity. The attempts of many gateways
// together can be within the fleet's capacity while those of one gateway exceed its own by chance. The allowance is two
// standard deviations of a Poisson distribution, scaled down to 0 where this gateway's part of a server's initial
// capacity is one attempt or more.
func (g *Gateway) burstAllowance(capacity float64) float64 {
	return 2 * math.Sqrt(capacity*math.Max(0, 1-initialCapacity/float64(g.cfg.Gateways)))
}

// admit dispatches a request that is within its customer's quota. A request beyond the quota is dispatched only if its
// value exceeds its cost and there is no overload, and refused otherwise. The hard limit is enforced without help from
// peers: a gateway draws on its own share of rate and burst, here or at the first owner. The share of a new incarnation
// has only what has filled since its start, because the previous incarnation may have used up everything.
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
