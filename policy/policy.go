package policy

// Every decision, in reading order: admission, quota, overload, servers, health, slow start, attempts, timers,
// messages of peers.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
	"sprucelane.example/sprucelane/internal/ruda"
)

// The constants of overload control. Here and below, "target" is the shortest latency target of all classes unless a
// class is named; none of the constants depends on a deployment.
const (
	overloadChecksPerTarget = 2                // overload is judged this often within the target
	recentWindow            = time.Second      // time constant of what counts as recent
	groupMemory             = 4 * recentWindow // time constant of the groups' requests and latencies
	lateShare               = 0.1              // the 90th percentile misses the target when this share is late
	lateByChance            = 1.0              // late attempts that are no overload, however few there are in all
	minCapacityShare        = 0.6              // share of the capacity that the group with the highest score may use
)

// The constants of servers' capacities, in attempts. Those that don't say otherwise are over all gateways.
const (
	slowTargetShare       = 0.65 // of its class's target: an attempt that takes longer shrinks the capacity
	initialCapacity       = 4.0  // of a server
	initialCapacityGrowth = 3.0  // times as fast a capacity grows until the first slow attempt
	minCapacity           = 2.0  // of a server
	minInitialInFlight    = 2.0  // of one gateway, over all servers: the initial capacities allow at least so many
)

// The constants of latencies and of the choice of a server.
const (
	latencyMemory      = 4                // in targets: time constant of a server's relative latency
	overdueFactor      = 2.0              // of its typical latency: an attempt in flight for longer counts as slow
	similarity         = 0.1              // costs and latencies that differ by less are taken to be equal
	latencyPriorWeight = 2.0              // in attempts: the weight of the prior that a server is like the others
	baseWork           = 1.0              // attempts of others that a server is assumed to have beside those known
	overtakenLimit     = 3                // an attempt is lost, or far longer than others, when so many overtook it
	lostAfterFactor    = 5.0              // of its expected latency: exceeded by chance by one attempt in 150
	throughputDecay    = 0.997            // of servers' throughput and concurrency, with each overload check
	workMemory         = 2 * recentWindow // time constant of the work behind a server's concurrency
)

// The constants of outlier ejection.
const (
	failuresToEject      = 2.0  // failures, decayed
	shareToEject         = 0.25 // and their share of all attempts
	consecutiveToEject   = 3    // or so many without a served attempt, whatever the share
	maxEjectionDoublings = 4    // an ejection lasts the target, doubled up to so many times
	rejectionMemory      = 20   // in targets: how long a group goes elsewhere after a server has rejected it
)

// The constants of retries and of waiting requests.
const (
	retriesPerRequest    = 0.2   // added to the retry budget with each request
	maxRetryBudget       = 10.0  // retries that may be saved up
	hedgesPerRequest     = 0.05  // added to the hedge budget; more would cost a busy fleet what it wins
	retryAfterDivisor    = 8     // of its class's target: how long a refused client is told to wait
	queueChecksPerTarget = 32    // the queue is tried this often within the target
	maxCustomers         = 20000 // records
	idleAfter            = time.Minute
)

// The constants of messages between gateways.
const (
	fullUpdateInterval = time.Second / 4        // between updates that hold the groups too, to one peer
	updateInterval     = time.Second / 30       // between updates, while there is something to say
	peerAliveFor       = 4 * fullUpdateInterval // a peer that was heard so lately hears this gateway, too
	staleUpdates       = 10                     // in fullUpdateInterval: silence after which a gateway is isolated
	nearbyDistance     = 3                      // places to either side at which gateways share customers' buckets
	maxOwnerQueries    = 2                      // queries about a request, and gateways that stand in for an owner
	queriesPerTarget   = 6                      // an owner is asked again after this part of the target
	peerRateShare      = 0.7                    // of Settings.PeerMessageRate that all peers together may use
	minPushSumWeight   = 0.05                   // a push-sum is not extrapolated from a smaller weight than this
	balanceConvergence = 0.03                   // of the difference of two copies of a bucket, with each update
)

// Timer tags. Those of requests have the request's ID above tagBits.
const (
	tagOverload = iota
	tagPeerUpdate
	tagWatch
	tagQueue
	tagDeadline // of a request, as the next two
	tagHedge    // a second attempt, or the end of a lost one
	tagQuery    // the query to the owner is unanswered
	tagBits     = 3
)

// requestTag gives the tag of a request's timer.
func requestTag(id RequestID, kind uint64) uint64 { return uint64(id)<<tagBits | kind }

// advance sets the time; the first event starts the gateway.
func (g *Gateway) advance(now Time) {
	g.now, g.peerLastContact[g.cfg.Self] = now, now
	if g.started {
		return
	}
	g.started, g.startedAt, g.unseenFillSince, g.lastShed, g.lastContact = true, now, now, now-recentWindow, now
	for i := range g.classLatency { // a guess, until answers tell
		g.classLatency[i] = decayingMean{sum: g.cfg.Classes[i].LatencyTarget.Seconds() / 4, weight: 1, decayedAt: now}
	}
	if g.cfg.Subscribe {
		g.host.Watch()
	}
	g.host.Timer(tagOverload, g.overloadInterval())
	if g.cfg.Peers && g.cfg.Gateways > 1 {
		g.sendUpdates()
	}
}

// overloadInterval is the time between overload checks.
func (g *Gateway) overloadInterval() time.Duration {
	return max(g.shortestTarget()/overloadChecksPerTarget, g.cfg.Tick)
}

// ---- Admission ----

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
	r := &request{Request: in, arrivedAt: now, customer: g.customerFor(in)}
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
	g.host.Timer(requestTag(in.ID, tagDeadline), in.Deadline-now-2*g.cfg.Tick)
	if ownerDecides {
		g.queryOwner(r)
	} else {
		g.admit(r, within)
	}
}

// withinQuotaHere tells whether a request is within its customer's quota, by this gateway as the owner or by its copy
// or part of the bucket.
func (g *Gateway) withinQuotaHere(r *request) bool {
	if r.owner == g.cfg.Self {
		q := ownerQuery{from: g.cfg.Self, token: uint32(r.ID), customerKey: r.customer.key, units: r.Units}
		return g.answerQuery(q).lastQueryAdmitted
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

// ---- Quota ----

// customerFor finds or makes the record of a request's customer and adds the request to its demand.
func (g *Gateway) customerFor(in Request) *customer {
	c := g.customersByID[in.Customer]
	setSize := max(1, min(in.SetSize, g.cfg.Gateways))
	in.FirstGateway = (in.FirstGateway%g.cfg.Gateways + g.cfg.Gateways) % g.cfg.Gateways
	key := customerKey(in.Customer, in.Plan, in.FirstGateway, setSize)
	if c == nil {
		if len(g.customers) >= maxCustomers {
			g.unseenFillSince = g.now
			g.evictIdle(recentWindow)
		}
		if c = g.customersByKey[key]; c == nil || c.seenHere {
			c = g.newCustomer(key)
		}
		c.id, c.seenHere = in.Customer, true
		g.customersByID[in.Customer] = c
	} else if c.key != key && g.customersByKey[key] == nil { // its set or plan has changed
		delete(g.customersByKey, c.key)
		g.customersByKey[key], c.key = c, key
	}
	c.setSize, c.firstGateway, c.plan, c.lastSeen = setSize, in.FirstGateway, in.Plan, g.now
	g.refill(c, in.Units)
	c.demand.add(g.now, g.demandMemory(in.Plan), 0)
	c.demand.sum, c.sharedDemand.local[0] = c.demand.sum+in.Units, c.sharedDemand.local[0]+in.Units
	g.queueUpdate(c, g.nearby...)
	return c
}

// refill brings the token bucket and this gateway's share of the hard limit up to date. A gateway that is isolated may
// save up the units of one request, though its part of the burst be less.
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

// withinQuota tells whether a request is within its customer's quota, by what is known here.
func (g *Gateway) withinQuota(r *request) bool {
	c, p, view := r.customer, g.cfg.Plans[r.Plan], g.quotaView(r.customer)
	if p.MaxInFlight > 0 &&
		!ledger.SlotAvailable(p.MaxInFlight, c.inFlight+c.queued, g.inFlightElsewhere(c), c.setSize, view.Shared) {
		return false
	}
	return view.Allows(p.quota(), r.Units, g.rng.Float64)
}

// ownerOf gives the gateway that owns the bucket of a customer whose set is too large to share it, below 0 where the
// set isn't. All gateways name the same owner as long as none suspects it.
func (g *Gateway) ownerOf(c *customer) int {
	for k := 0; k <= maxOwnerQueries && len(g.nearby) > 0 && !g.sharesBucket(c) && g.majorityAlive(); k++ {
		if p := g.ownerCandidate(c, k); g.suspectedUntil[p] <= g.now {
			return p
		}
	}
	return -1
}

// queryOwner asks a request's owner whether the request is within the quota. An owner that doesn't answer is
// suspected, and this gateway's part of the bucket decides.
func (g *Gateway) queryOwner(r *request) {
	if r.queries++; r.queries > maxOwnerQueries {
		g.suspectedUntil[r.owner], r.owner = g.now+staleUpdates*fullUpdateInterval, -1
		g.admit(r, g.withinQuota(r))
		return
	}
	if r.queries == 1 { // answers to an earlier incarnation's queries must not match
		g.lastQuery++
		r.queryToken = g.lastQuery + uint32(g.startedAt/time.Millisecond)<<tagBits
		g.pendingQueries[r.queryToken] = r
	}
	g.host.SendToPeer(r.owner, packQuery(ownerQuery{token: r.queryToken, customerKey: r.customer.key, units: r.Units}))
	g.host.Timer(requestTag(r.ID, tagQuery), max(g.cfg.Tick, g.shortestTarget()/queriesPerTarget))
}

// answerQuery decides, as the owner, about a request and gives the customer's record with the answer, nil where the
// query is invalid. A query that is repeated gets the same answer and draws nothing more.
func (g *Gateway) answerQuery(q ownerQuery) *customer {
	c := g.recordFor(ownerKey(q.customerKey, g.cfg.Self))
	if c != nil && c.lastQuery != q {
		g.refill(c, q.units)
		c.demand.sum, c.lastSeen, c.lastQuery = c.demand.sum+q.units, g.now, q
		c.lastQueryAdmitted = c.withinHardLimit(g.cfg.Plans[c.plan], q.units) &&
			g.withinQuota(&request{Request: Request{Plan: c.plan, Units: q.units}, customer: c})
		if c.lastQueryAdmitted {
			c.balance, c.hardLimit.Tokens = c.balance-q.units, c.hardLimit.Tokens-q.units
		}
	}
	return c
}

// ---- Overload ----

// checkOverload judges the load and sheds the group with the highest RUDA score while there is overload: one more
// each recentWindow. Without overload the groups are taken back one by one.
func (g *Gateway) checkOverload() {
	g.host.Timer(tagOverload, g.overloadInterval())
	g.checkInFlight()
	scores := g.sheddingScores()
	g.learnWarmThroughput()
	g.learnConcurrency()
	g.fleetLatency = g.meanRelativeLatency()
	g.shareCapacity(scores)
	g.overloaded = g.overloadedNow()
	g.capacityReached = false
	if g.overloaded {
		g.calmChecks = 0
		if g.now-g.lastShed >= recentWindow { // shedding a group takes so long to show
			g.shedTop(scores)
		}
	} else if g.calmChecks++; len(g.shedGroups) > 0 && g.calmChecks >= overloadChecksPerTarget {
		g.calmChecks = 0
		last := g.shedGroups[len(g.shedGroups)-1]
		g.shedGroups, g.groups[last].shed = g.shedGroups[:len(g.shedGroups)-1], false
		g.host.Log(fmt.Sprintf("lift %s", g.groupName(last)))
	}
	g.evictIdle(idleAfter)
}

// checkInFlight counts the attempts in flight that are slow, late or lost by now, as though they had ended.
func (g *Gateway) checkInFlight() {
	for _, a := range g.inFlight {
		elapsed, target := g.now-a.sentAt, g.cfg.Classes[a.request.Class].LatencyTarget
		if a.untimed() {
			continue
		}
		if elapsed.Seconds() > slowTargetShare*target.Seconds() && a.overtakenBy < overtakenLimit {
			g.learnCapacity(a, elapsed)
		}
		if elapsed > target {
			g.countLateness(a, true)
			g.markLost(a)
		}
		silence := g.now - max(a.sentAt, a.server.lastServed)
		if silence > lostAfterFactor*g.expectedLatency(a.request) {
			g.suspect(a)
		}
	}
}

// overloadedNow tells whether there is overload: the capacity was reached, or the 90th percentile of a class misses
// its target while the fleet is loaded. A fleet with little to do is late for other reasons, which shedding can't
// help.
func (g *Gateway) overloadedNow() bool {
	overloaded := g.capacityReached
	for i := range g.lateness {
		late := &g.lateness[i]
		late.decay(g.now, recentWindow)
		overloaded = overloaded || late.sum > lateShare*late.weight+lateByChance && g.load() > g.totalCapacity()/2
	}
	return overloaded
}

// sheddingScores gives the RUDA scores f of the groups that have lately sent requests, and 0 for the others. A
// group's resource r is the latency of its attempts, its q the number of them, both over all gateways; the variables
// have the paper's names.
func (g *Gateway) sheddingScores() []float64 {
	f, r := make([]float64, len(g.groups)), make([]float64, len(g.groups))
	q, sumR, sumQ := make([]float64, len(g.groups)), 0.0, 0.0
	for _, a := range g.inFlight {
		r[g.groupOf(a.request)] += min(g.now-a.sentAt, g.cfg.Classes[a.request.Class].Deadline).Seconds()
	}
	for i := range g.groups {
		t := &g.groups[i].latency
		t.decay(g.now, groupMemory, 0)
		q[i], r[i] = t.total(groupRequests, g.cfg.Gateways), r[i]+t.total(groupSeconds, g.cfg.Gateways)
		sumQ, sumR = sumQ+q[i], sumR+r[i]
	}
	for i := range g.groups {
		if q[i] >= 0.5 {
			f[i] = ruda.Score(g.groups[i].value, r[i], sumR, q[i], sumQ)
		}
	}
	return f
}

// shareCapacity gives each group its share of the capacity, by the order of the scores: the group with the highest
// one is the first to find no capacity.
func (g *Gateway) shareCapacity(scores []float64) {
	order := slices.Clone(scores)
	slices.Sort(order)
	order = slices.DeleteFunc(order, func(x float64) bool { return x <= 0 })
	for i := range g.groups {
		if rank, known := slices.BinarySearch(order, scores[i]); known && len(order) > 1 {
			g.groups[i].capacityShare = 1 - (1-minCapacityShare)*float64(rank)/float64(len(order)-1)
		}
	}
}

// shedTop sheds the group with the highest score, unless it is the only one left.
func (g *Gateway) shedTop(scores []float64) {
	best, left := -1, 0
	for i := range g.groups {
		if !g.groups[i].shed && scores[i] > 0 {
			if left++; best < 0 || scores[i] > scores[best] {
				best = i
			}
		}
	}
	if left < 2 {
		return
	}
	g.lastShed, g.groups[best].shed = g.now, true
	g.shedGroups = append(g.shedGroups, best)
	g.host.Log(fmt.Sprintf("cut %s f=%.2f", g.groupName(best), scores[best]))
}

// ---- Servers ----

// Servers takes a server list in, or that there is none.
func (g *Gateway) Servers(now Time, kind ListKind, list []ServerInfo) {
	g.advance(now)
	if kind == ListFailed {
		least := g.overloadInterval()
		g.watching, g.watchBackoff = false, min(max(2*g.watchBackoff, least), max(g.cfg.ListRefreshWithin/4, least))
		g.host.Timer(tagWatch, g.watchBackoff)
		return
	}
	g.watching, g.watchBackoff = true, 0
	if kind != ListChanges {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, info := range list {
		g.updateServer(info)
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		// What a server was sent while it warmed up counts if it is listed again.
		old := !s.listed && s.inFlight == 0 && !s.slowStartBudget.SentWithin(now, g.cfg.SlowStartWindow)
		if old {
			delete(g.serversByID, s.ID)
		}
		return old
	})
	g.retryQueue()
}

// updateServer takes an entry of a server list in. Of a server whose process is another one now only the accounting
// of attempts is kept.
func (g *Gateway) updateServer(info ServerInfo) {
	s := g.serversByID[info.ID]
	if s == nil {
		s = &server{}
		g.serversByID[info.ID], g.servers = s, append(g.servers, s)
	}
	if info.StartedAt != s.StartedAt || s.slowStartBudget.CreditedAt == 0 {
		*s = server{inFlight: s.inFlight, lost: s.lost, suspectedAttempts: s.suspectedAttempts,
			slowStartBudget: ledger.SlowStartBudget{Sent: s.slowStartBudget.Sent, Credit: g.rng.Float64(), CreditedAt: g.now}}
	}
	s.ServerInfo, s.listed = info, info.State == Ready
}

// pickServer gives the server with the least expected wait that a request may be sent to, nil where there is none. It
// prefers servers that have capacity, were not tried for the request, and have not rejected its group. While more
// than half of the servers are ejected, ejection is ignored: the fault is elsewhere (Envoy's panic threshold).
func (g *Gateway) pickServer(r *request) *server {
	heedEjection := 2*g.countListed(g.ejected) <= g.listedServers()
	best, least := (*server)(nil), 0.0
	for round := 0; round < 2 && best == nil; round++ {
		for _, s := range g.servers {
			if !s.listed || !g.mayRunOn(r, s, r.attempts) || (heedEjection && g.ejected(s)) || !g.withinSlowStartBudget(s) {
				continue
			}
			if round == 0 && !g.preferred(r, s) {
				continue
			}
			if cost := g.expectedWait(s) * (1 + similarity*g.rng.Float64()); best == nil || cost < least {
				best, least = s, cost
			}
		}
	}
	return best
}

// preferred tells whether a server has capacity for a request, wasn't tried for it, and hasn't rejected its group.
func (g *Gateway) preferred(r *request, s *server) bool {
	rejects := s.rejectedUntil != nil && s.rejectedUntil[g.groupOf(r)] > g.now
	return !rejects && !r.wasTried(s) && s.load() < math.Max(1, g.capacityOf(s))
}

// expectedWait is a server's relative latency times the attempts at it. An attempt in flight for longer than
// overdueFactor of its typical latency counts with the latency that it has reached.
func (g *Gateway) expectedWait(s *server) float64 {
	s.relativeLatency.decay(g.now, latencyMemory*g.shortestTarget())
	sum, n := s.relativeLatency.sum+latencyPriorWeight, s.relativeLatency.weight+latencyPriorWeight
	for _, a := range g.inFlight {
		if a.server == s && a.overtakenBy < overtakenLimit && !a.untimed() {
			if x := (g.now - a.sentAt).Seconds() / g.typicalLatency(a.request); x > overdueFactor {
				sum += x
				n++
			}
		}
	}
	if s.slowStartBudget.Credit >= 1 && g.warmth(s) < 1 { // its turn comes first: some servers warm up only by working
		return 0
	}
	return sum / n * (s.load() + s.peersInFlight + baseWork) / g.warmth(s)
}

// SetPriors takes in estimates of servers, each for one process of its server. They replace the relative latency and
// the capacity, and may put off the turn of a server that warms up; they change nothing else.
func (g *Gateway) SetPriors(now Time, list []Prior) {
	g.advance(now)
	for _, p := range list {
		s := g.serversByID[p.ID]
		if s == nil || !s.listed || s.StartedAt != p.StartedAt || !(p.RelativeLatency*p.Weight > 0) {
			continue
		}
		s.relativeLatency = decayingMean{sum: p.RelativeLatency * p.Weight, weight: p.Weight, decayedAt: now}
		s.capacity = cmp.Or(p.Capacity, s.capacity)
		if p.SlowStartBudgetTaken {
			s.slowStartBudget.Credit = math.Min(s.slowStartBudget.Credit, 0)
		}
	}
}

// SetPeerLoads takes in the load of other gateways at servers, which changes their expected waits and nothing else.
func (g *Gateway) SetPeerLoads(now Time, list []Load) {
	g.advance(now)
	for _, l := range list {
		if s := g.serversByID[l.ID]; s != nil {
			s.peersInFlight = math.Max(0, l.Attempts)
		}
	}
}

// ---- Health ----

// ejected tells whether a server is ejected. After an ejection it gets one attempt at a time, until one is served.
func (g *Gateway) ejected(s *server) bool {
	return g.now < s.ejectedUntil || (s.ejections > 0 && s.load() > 0)
}

// recordHealth counts a failed or served attempt for its server and ejects the server where it has failed too often.
// Each ejection that follows soon is twice as long; a served attempt takes one doubling back.
func (g *Gateway) recordHealth(s *server, failed bool) {
	s.failures.addBool(g.now, 4*latencyMemory*g.shortestTarget(), failed)
	if !failed {
		s.consecutiveFailures, s.lastServed, s.servedTotal = 0, g.now, s.servedTotal+1
		if s.ejections > 0 && g.now >= s.ejectedUntil {
			s.ejections, s.failures = s.ejections-1, decayingMean{decayedAt: g.now}
		}
		return
	}
	s.consecutiveFailures++
	if g.now >= s.ejectedUntil && (s.ejections > 0 || s.consecutiveFailures >= consecutiveToEject ||
		(s.failures.sum >= failuresToEject && s.failures.sum >= shareToEject*s.failures.weight)) {
		s.ejectedUntil = g.now + g.shortestTarget()<<min(s.ejections, maxEjectionDoublings)
		s.ejections = min(s.ejections+1, maxEjectionDoublings)
		g.host.Log(fmt.Sprintf("eject server %d, failures %.0f of %.0f", s.ID, s.failures.sum, s.failures.weight))
	}
}

// ---- Slow start ----

// warmth is the least share of its full capacity that a server has, by the time since its start: 1 for a warm one.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt == 0 || age >= g.cfg.WarmupTime || g.cfg.WarmupTime <= 0 {
		return 1
	}
	from := math.Max(0.01, g.cfg.InitialWarmth)
	return from + (1-from)*math.Max(0, age.Seconds())/g.cfg.WarmupTime.Seconds()
}

// withinSlowStartBudget tells whether a server may be sent one more attempt as far as its warm-up goes: what it can
// do is estimated from what it has served here while cold and from what warm servers serve.
func (g *Gateway) withinSlowStartBudget(s *server) bool {
	warmth := g.warmth(s)
	limit := ledger.SlowStartLimit{Window: g.cfg.SlowStartWindow, Multiple: g.cfg.SlowStartMultiple,
		Gateways: g.cfg.Gateways,
		Capacity: math.Max(warmth*g.warmThroughput, s.coldThroughput(g)), Slowdown: g.coldLatency.smoothed()}
	return warmth >= 1 || limit.Window <= 0 || limit.Multiple <= 0 || s.slowStartBudget.Allows(g.now, limit)
}

// ---- Attempts ----

// dispatch sends a request to a server, or queues it while there is none.
func (g *Gateway) dispatch(r *request) {
	s := g.pickServer(r)
	r.setQueued(s == nil && r.attempts == 0)
	if s == nil {
		g.queue = append(g.queue, r)
		if !g.queueTimerSet {
			g.queueTimerSet = true
			g.host.Timer(tagQueue, max(g.cfg.Tick, g.shortestTarget()/queueChecksPerTarget))
		}
		return
	}
	g.addAttempt(&attempt{request: r, server: s, sentAt: g.now, chosenAt: g.now})
	if r.attempts == 1 {
		r.customer.addUsed(r.Units)
		g.queueUpdate(r.customer, g.nearby...)
	}
	g.groups[g.groupOf(r)].latency.local[groupRequests]++
	g.host.Send(r.ID, s.ID, r.Deadline)
	g.setHedgeTimer(r)
}

// setHedgeTimer sets the time at which a request that has no answer gets a second attempt or, where that isn't
// permitted, its attempt is looked at as one that may be lost.
func (g *Gateway) setHedgeTimer(r *request) {
	class := g.cfg.Classes[r.Class]
	if g.cfg.Hedging && r.attempts == 1 && !class.Streaming {
		g.host.Timer(requestTag(r.ID, tagHedge), class.LatencyTarget/2)
	} else if !g.cfg.Hedging && g.cfg.Cancel && !class.Streaming && class.Idempotency != NotIdempotent {
		g.host.Timer(requestTag(r.ID, tagHedge), lostAfterFactor*g.expectedLatency(r))
	}
}

// mayRunOn tells whether an attempt of a request may be sent to a server: while other attempts are in flight or may
// have run, only where the server drops a repeat, or where a repeat is harmless. number is the attempt's own.
func (g *Gateway) mayRunOn(r *request, s *server, number int) bool {
	class := g.cfg.Classes[r.Class]
	return !slices.ContainsFunc(slices.Concat(r.mayHaveRun, r.inFlight), func(other *attempt) bool {
		if other.number == number {
			return false
		}
		past := g.now-other.chosenAt >= class.DedupWindow-2*g.cfg.Tick
		return class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey && (past ||
			class.DedupScope == ScopeZone && other.server.Zone != s.Zone ||
			class.DedupScope == ScopeCell && other.server.Cell != s.Cell)
	})
}

// Outcome takes the end of an attempt in, and decides what follows for its request.
func (g *Gateway) Outcome(now Time, o Outcome) {
	g.advance(now)
	r := g.requests[o.ID]
	a := g.removeAttempt(r, o.Attempt)
	if a == nil {
		return
	}
	g.learnFromOutcome(a, o)
	if o.Ending == Served {
		g.reconcileUnits(r, o.Units)
	}
	if o.Answered || o.Ending == Served || r.closed {
		g.finish(r)
		return
	}
	if o.BodyConsumed { // no further attempt is possible
		r.attempts = max(r.attempts, g.cfg.MaxAttempts)
	}
	if o.Ending != Rejected && o.Ending != NotConnected && o.Ending != NeverSent {
		r.mayHaveRun = append(r.mayHaveRun, a)
	}
	if len(r.inFlight) == 0 && !r.streaming {
		g.retryOrAnswer(r)
	}
	g.retryQueue()
}

// learnFromOutcome updates what is known of an attempt's server and of the load by how it ended.
func (g *Gateway) learnFromOutcome(a *attempt, o Outcome) {
	r, s, class := a.request, a.server, g.cfg.Classes[a.request.Class]
	memory := latencyMemory * g.shortestTarget()
	g.countWasted(s, o.Ending)
	took := max(o.Elapsed, 0)
	s.applyLoadReport(g, o.LoadReport)
	ratio, late := took.Seconds()/g.typicalLatency(r), took > class.LatencyTarget
	switch o.Ending {
	case Served:
		g.learnFromServed(a, took, ratio)
	case Errored, NotConnected, ConnectionLost:
		g.recordHealth(s, true) // a failure that comes quickly doesn't make the server fast: its latency isn't counted
	case Rejected:
		if late = g.recordRejection(s, r); late {
			took = max(took, class.LatencyTarget)
			s.relativeLatency.add(g.now, memory, took.Seconds()/g.typicalLatency(r))
			g.learnCapacity(a, took)
		}
	case TimedOut, Cancelled:
		if ratio > 1 && a.overtakenBy < overtakenLimit {
			s.relativeLatency.add(g.now, memory, ratio)
		}
	}
	quick := (o.Ending == Errored || o.Ending == Rejected) && !late // says nothing of the load
	if o.Ending != NeverSent && o.Ending != Cancelled && !quick {
		g.countLateness(a, late)
		g.groups[g.groupOf(r)].latency.local[groupSeconds] += min(took, class.Deadline).Seconds()
	}
}

// learnFromServed updates what is known by a served attempt. ratio is its latency over the typical one.
func (g *Gateway) learnFromServed(a *attempt, took time.Duration, ratio float64) {
	s, memory := a.server, latencyMemory*g.shortestTarget()
	for _, other := range g.inFlight {
		if other.server == s && other.sentAt < a.sentAt {
			other.overtakenBy++
		}
		if other.server == s && other.suspected { // where a later one was quick, it is lost and doesn't just wait
			g.clearSuspicion(other, other.sentAt < a.sentAt && ratio < overdueFactor)
		}
	}
	g.learnCapacity(a, took)
	g.learnLatency(a.request, took)
	g.workDone.add(g.now, workMemory, math.Min(took.Seconds(), g.serviceTime(a)))
	s.relativeLatency.add(g.now, memory, ratio)
	s.answers.add(g.now, 2*g.cfg.SlowStartWindow, 1)
	if warmth := g.warmth(s); warmth < 1 { // a server that is slower than its warmth explains gets fewer turns
		g.coldLatency.add(g.now, memory, ratio*warmth)
		g.coldServiceTime.add(g.now, memory, took.Seconds()*warmth)
	}
	g.recordHealth(s, false)
}

// recordRejection notes that a server has rejected a group, and tells whether the server is overloaded: it has lately
// rejected several plans, and several classes where there are several. Else it limits one plan or class, whose
// requests go elsewhere for a while.
func (g *Gateway) recordRejection(s *server, r *request) bool {
	if s.rejectedUntil == nil {
		s.rejectedUntil = make([]Time, len(g.groups))
	}
	s.rejectedUntil[g.groupOf(r)] = g.now + rejectionMemory*g.shortestTarget()
	plans, classes := false, len(g.cfg.Classes) == 1
	for i, until := range s.rejectedUntil {
		if until > g.now {
			plans = plans || i%len(g.cfg.Plans) != r.Plan
			classes = classes || i/len(g.cfg.Plans) != r.Class
		}
	}
	return plans && classes
}

// retryOrAnswer decides what follows when a request has no attempt in flight: a retry or the final answer.
func (g *Gateway) retryOrAnswer(r *request) {
	left := r.Deadline - g.now - 2*g.cfg.Tick
	if r.attempts < max(1, g.cfg.MaxAttempts) && g.retryBudget >= 1 && left.Seconds() > g.typicalLatency(r) &&
		slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.listed && g.mayRunOn(r, s, r.attempts)
		}) {
		g.retryBudget--
		g.dispatch(r)
		return
	}
	g.answerUnserved(r)
}

// answerUnserved gives a request the final answer of one that wasn't served: a refusal where it hasn't run or may run
// again, else a failure.
func (g *Gateway) answerUnserved(r *request) {
	class := g.cfg.Classes[r.Class]
	if len(r.mayHaveRun) == 0 && len(r.inFlight) == 0 || class.Idempotency == Idempotent {
		g.host.Refuse(r.ID, min(g.cfg.MaxRetryAfter, class.LatencyTarget/retryAfterDivisor))
	} else {
		g.host.Fail(r.ID)
	}
	g.finish(r)
}

// finish notes that a request has its final answer, and gives its units back where none were drawn.
func (g *Gateway) finish(r *request) {
	if !r.closed && (r.attempts == 0 || r.BodyPending) && r.charged {
		g.charge(r, -1)
	}
	r.closed = true
	r.setQueued(false)
	delete(g.pendingQueries, r.queryToken)
	if len(r.inFlight) == 0 {
		delete(g.requests, r.ID)
	}
}

// hedge sends a second attempt of a request that has waited for half its target, while there is no overload and a
// server that wasn't tried.
func (g *Gateway) hedge(r *request) {
	if g.hedgeBudget < 1 || g.overloaded || len(g.shedGroups) > 0 {
		return
	}
	if s := g.pickServer(r); s == nil || r.wasTried(s) {
		return
	}
	g.hedgeBudget--
	g.dispatch(r)
}

// cancelLost cancels a request's only attempt where it seems lost, so that another is sent elsewhere: later attempts
// have overtaken it and it takes far longer than expected. This is for sites that don't permit a second attempt
// beside the first. While too few have overtaken the attempt it is looked at again.
func (g *Gateway) cancelLost(r *request) {
	expected := g.expectedLatency(r)
	if left := r.arrivedAt + g.cfg.Classes[r.Class].LatencyTarget - g.now; g.retryBudget < 1 || left < expected {
		return
	}
	a := r.inFlight[0]
	if wait := a.sentAt + lostAfterFactor*expected - g.now; wait > 0 || a.overtakenBy < overtakenLimit {
		g.host.Timer(requestTag(r.ID, tagHedge), max(wait, expected/2, g.cfg.Tick))
	} else if s := g.pickServer(r); s != nil && !r.wasTried(s) {
		g.host.Cancel(r.ID, a.number)
	}
}

// retryQueue dispatches the queued requests again, oldest first. A request that had no attempt and would be late is
// refused.
func (g *Gateway) retryQueue() {
	queue := g.queue
	g.queue = nil
	for _, r := range queue {
		if r.closed {
			continue
		}
		if r.attempts == 0 && r.arrivedAt+g.cfg.Classes[r.Class].LatencyTarget-g.now < g.expectedLatency(r) {
			g.answerUnserved(r)
			continue
		}
		g.dispatch(r)
	}
}

// ClientGone takes in that a client has left: its request needs no answer.
func (g *Gateway) ClientGone(now Time, id RequestID) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		g.finish(r)
	}
}

// ---- Timers ----

// Timer takes a timer in that Host.Timer has set. One that is no longer needed has no effect.
func (g *Gateway) Timer(now Time, tag uint64) {
	g.advance(now)
	switch {
	case tag == tagOverload:
		g.checkOverload()
	case tag == tagPeerUpdate:
		g.sendUpdates()
	case tag == tagWatch && !g.watching && g.cfg.Subscribe:
		g.host.Watch()
	case tag == tagQueue:
		g.queueTimerSet = false
		g.retryQueue()
	default:
		if r := g.requests[TimerRequest(tag)]; r != nil && !r.closed && !r.streaming {
			g.requestTimer(r, tag&(1<<tagBits-1))
		}
	}
}

// requestTimer takes a timer of a request in that has no final answer yet.
func (g *Gateway) requestTimer(r *request, kind uint64) {
	switch kind {
	case tagDeadline:
		putOff := r.BodyPending && len(r.inFlight) > 0 || g.now < r.Deadline-2*g.cfg.Tick
		if !putOff {
			g.answerUnserved(r)
		}
	case tagHedge:
		if r.BodyPending || len(r.inFlight) != 1 || r.attempts >= g.cfg.MaxAttempts {
			return
		}
		if g.cfg.Hedging {
			g.hedge(r)
		} else {
			g.cancelLost(r)
		}
	case tagQuery:
		if g.pendingQueries[r.queryToken] == r {
			g.queryOwner(r)
		}
	}
}

// ---- Messages of peers ----

// PeerMessage takes a peer's message in. One that can't be read is dropped whole.
func (g *Gateway) PeerMessage(now Time, from int, message []byte) {
	g.advance(now)
	if from < 0 || from >= g.cfg.Gateways || from == g.cfg.Self {
		return
	}
	if q, ok := unpackQuery(message, from); ok {
		if c := g.answerQuery(q); c != nil {
			g.host.SendToPeer(from, packAnswer(q.token, c.lastQueryAdmitted))
		}
		return
	}
	if key, units, ok := unpackReconcile(message); ok {
		g.reconcileAtOwner(from, key, units)
		return
	}
	if token, admitted, ok := unpackAnswer(message); ok {
		if r := g.pendingQueries[token]; r != nil && r.owner == from {
			g.admit(r, admitted)
		}
		return
	}
	in, ok := unpackUpdate(message, g.schema)
	if !ok {
		g.invalidMessages++
		return
	}
	g.applyUpdate(from, in)
}
