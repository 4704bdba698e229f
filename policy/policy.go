package policy

// This file owns every decision, in reading order: intake, quota, overload, servers, health, cold start, attempts, peers.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
	"sprucelane.example/sprucelane/internal/ruda"
)

// The constants. None is read off a deployment; most are shares of a setting.
const (
	overloadChecksPerTarget = 2                      // overload is judged twice in the shortest aim
	recentWindow            = time.Second            // attempts that count as recent
	groupMemory             = 4 * recentWindow       // how long the counts behind f are remembered
	lateShare               = 0.1                    // the 90th percentile passes the aim when a tenth is late
	lateByChance            = 1.0                    // late attempt that is taken for chance, however few the others
	overtakenLimit          = 3                      // one that so many sent later to its server pass is lost, or long
	slowTargetShare         = 0.65                   // room is held where a tenth of the answers take this share of their aim
	initialCapacity         = 4.0                    // first room: attempts at a server, over all gateways
	initialCapacityGrowth   = 3.0                    // times as fast it grows until the first slow answer
	minCapacity             = 2.0                    // and the least it shrinks to
	minInitialInFlight      = 2.0                    // attempts out here that the first rooms allow, however many gateways
	minCapacityShare        = 0.6                    // share of the room that the group with the top f may fill
	latencyMemory           = 4                      // in shortest aims: how long a server's pace is remembered
	overdueFactor           = 2.0                    // typical latencies until an open attempt tells of its server's pace
	costNoise               = 0.1                    // servers whose cost differs by less are alike
	latencyPriorWeight      = 2.0                    // attempts' worth of trust that a server is like the others
	baseWork                = 1.0                    // work taken to be at a server beside our own, in attempts
	failuresToEject         = 2.0                    // failures in memory
	shareToEject            = 0.25                   // and their share
	consecutiveToEject      = 3                      // or so many in a row, whatever was served before: a process died
	rejectionMemory         = 20                     // in shortest aims: how long a group that was turned away goes elsewhere
	maxEjectionDoublings    = 4                      // longest ejection: aim x 2 to this
	throughputDecay         = 0.997                  // each beat, of what a warm server was seen to do
	workMemory              = 2 * recentWindow       // how long work that was done counts for a server's width
	retriesPerRequest       = 0.2                    // further attempts for each request
	lostAfterFactor         = 5.0                    // times what it should take: by chance once in a hundred and fifty
	hedgesPerRequest        = 0.05                   // second copies for each request: more cost a busy fleet what they win
	retryAfterDivisor       = 8                      // of the aim: refused clients are told to ask again so soon
	maxRetryBudget          = 10.0                   // further attempts that may be saved up
	queueChecksPerTarget    = 32                     // a held request is tried so often in the shortest aim
	fullUpdateInterval      = time.Second / 4        // peers are told this often at most, where each has many
	updateInterval          = time.Second / 30       // and near ones of draws
	peerAliveFor            = 4 * fullUpdateInterval // a peer that was told so may be taken to know, and to be known
	nearbyDistance          = 3                      // places to either side where gateways share stores
	maxOwnerQueries         = 2                      // times that a home is asked, and gateways that may stand in as one
	queriesPerTarget        = 6                      // of the shortest aim: how long an answer is waited for
	staleUpdates            = 10                     // unheard for so many times tellEvery, peers are taken to be silent
	peerRateShare           = 0.7                    // of a peer's intake that all others together may use
	minPushSumWeight        = 0.05                   // a sum over the gateways is not drawn up from a smaller part than this
	maxCustomers            = 20000                  // remembered at once
	idleAfter               = time.Minute            // a customer is forgotten
	balanceConvergence      = 0.03                   // of the way, with each message, what two see of a store draws together
)

const (
	tagOverload = iota
	tagPeerUpdate
	tagWatch
	tagQueue
	tagDeadline // with a request's id above it, as the next
	tagHedge
	tagQuery
	tagBits = 3
)

// requestTag gives the tag of a request's timer.
func requestTag(id RequestID, kind uint64) uint64 { return uint64(id)<<tagBits | kind }

func (g *Gateway) advance(now Time) {
	g.now, g.peerLastContact[g.cfg.Self] = now, now
	if !g.started {
		g.started, g.startedAt, g.unseenFillSince, g.lastShed, g.lastContact = true, now, now, now-recentWindow, now
		for i := range g.classLatency {
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
}

func (g *Gateway) overloadInterval() time.Duration {
	return max(g.shortestTarget()/overloadChecksPerTarget, g.cfg.Tick)
}

// ---- Intake ----

// Request takes a client's try in. Order matters: what can't be served is refused before it draws anything.
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
	if !(in.Units >= 0 && in.Units <= math.MaxInt32) { // a number that is none must not poison an account
		in.Units = 1
	}
	r := &request{Request: in, arrivedAt: now, customer: g.customerFor(in)}
	g.retryBudget = math.Min(maxRetryBudget, g.retryBudget+retriesPerRequest)
	g.hedgeBudget = math.Min(hedgesPerRequest*maxRetryBudget/retriesPerRequest, g.hedgeBudget+hedgesPerRequest)
	grp := &g.groups[g.groupOf(r)]
	r.owner = g.ownerOf(r.customer)
	asks := r.owner >= 0 && r.owner != g.cfg.Self
	within := asks || r.owner < 0 && g.withinQuota(r) ||
		r.owner == g.cfg.Self && g.answerQuery(ownerQuery{g.cfg.Self, uint32(in.ID), r.customer.key, in.Units}).lastQueryAdmitted
	no := grp.shed || r.owner < 0 && !r.customer.withinHardLimit(g.cfg.Plans[in.Plan], in.Units)
	room := g.totalCapacity() * grp.capacityShare
	left := room + g.burstAllowance(room) - g.load() - float64(len(g.queue))
	if !no && within && left < 1 && g.rng.Float64() >= left {
		g.capacityReached, no = g.capacityReached || grp.capacityShare >= 1 && !asks, true // what is asked about may be beyond its quota
	}
	// What would be late whoever takes it makes room at once. What is like its class is the cuts' affair.
	if g.overloaded && g.expectedLatency(r) > g.cfg.Classes[in.Class].LatencyTarget {
		no = no || g.typicalLatency(r) > (1+costNoise)*g.classTypicalLatency(in.Class)
	}
	if no {
		g.answerUnserved(r)
		return
	}
	g.requests[in.ID] = r
	g.host.Timer(requestTag(in.ID, tagDeadline), in.Deadline-now-2*g.cfg.Tick)
	if asks {
		g.queryOwner(r)
	} else {
		g.admit(r, within)
	}
}

// chance is how far what is out here may pass this gateway's room though the fleet has no more than its own:
// two deviations of what comes at random, where of a server's first room less than one attempt is ours.
func (g *Gateway) burstAllowance(room float64) float64 {
	return 2 * math.Sqrt(room*math.Max(0, 1-initialCapacity/float64(g.cfg.Gateways)))
}

// settle sends on what is inside its customer's quota, and refuses what isn't where that would not pay.
// Rule 5 is kept with no help from others: an own share of rate and store, here or at the first home, and a
// new life starts with what has filled since its birth, as the former life may have spent all it had.
func (g *Gateway) admit(r *request, within bool) {
	delete(g.pendingQueries, r.queryToken)
	p := g.cfg.Plans[r.Plan]
	r.limitAtOwner = within && r.owner >= 0 && r.owner == g.ownerCandidate(r.customer, 0) && g.hardLimitHolders(r.customer) > 1
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

// customer finds or makes the record of a request's customer and counts what it asks.
func (g *Gateway) customerFor(in Request) *customer {
	c := g.customersByID[in.Customer]
	n := max(1, min(in.SetSize, g.cfg.Gateways))
	in.FirstGateway = (in.FirstGateway%g.cfg.Gateways + g.cfg.Gateways) % g.cfg.Gateways
	name := customerKey(in.Customer, in.Plan, in.FirstGateway, n)
	if c == nil {
		if len(g.customers) >= maxCustomers {
			g.unseenFillSince = g.now
			g.evictIdle(recentWindow)
		}
		if c = g.customersByKey[name]; c == nil || c.seenHere {
			c = g.newCustomer(name)
		}
		c.id, c.seenHere = in.Customer, true
		g.customersByID[in.Customer] = c
	} else if c.key != name && g.customersByKey[name] == nil { // its set or plan has changed
		delete(g.customersByKey, c.key)
		g.customersByKey[name], c.key = c, name
	}
	c.setSize, c.firstGateway, c.plan, c.lastSeen = n, in.FirstGateway, in.Plan, g.now
	g.refill(c, in.Units)
	c.demand.add(g.now, g.demandMemory(in.Plan), 0)
	c.demand.sum, c.sharedDemand.local[0] = c.demand.sum+in.Units, c.sharedDemand.local[0]+in.Units
	g.queueUpdate(c, g.nearby...)
	return c
}

// refill brings the quota's store and the ceiling's part up to date. What isn't drawn on together is parts.
func (g *Gateway) refill(c *customer, units float64) {
	if !g.isolated() { // held to its part alone, a gateway may save up one request
		units = 0
	}
	if !c.limitFilled && g.fleetJustStarted() {
		c.limitFilled, c.hardLimit.Left = true, c.hardLimit.Left+g.hardLimitPart(c).Burst
	}
	c.balance = g.quotaView(c).Fill(g.cfg.Plans[c.plan].quota(), g.now-c.refilledAt, c.reservedUnits, units)
	c.hardLimit.Fill(g.hardLimitPart(c), g.now-c.refilledAt, c.reservedUnits)
	c.refilledAt = g.now
}

// withinQuota tells whether a request is inside its customer's quota, by what is known here.
func (g *Gateway) withinQuota(r *request) bool {
	c, p, v := r.customer, g.cfg.Plans[r.Plan], g.quotaView(r.customer)
	if p.MaxInFlight > 0 && !ledger.Slot(p.MaxInFlight, c.inFlight+c.queued, g.inFlightElsewhere(c), c.setSize, v.Whole) {
		return false
	}
	return v.Covers(p.quota(), r.Units, g.rng.Float64)
}

// home gives the gateway that keeps the store of a customer whose set is too wide to share it: each request
// is asked about there. It is the same for all until it is found silent. Below 0: there is none.
func (g *Gateway) ownerOf(c *customer) int {
	for k := 0; k <= maxOwnerQueries && len(g.nearby) > 0 && !g.sharesBucket(c) && g.majorityAlive(); k++ {
		if p := g.ownerCandidate(c, k); g.suspectedUntil[p] <= g.now {
			return p
		}
	}
	return -1
}

// ask asks a request's home whether it is inside the quota. Where that is silent the part here decides.
func (g *Gateway) queryOwner(r *request) {
	if r.queries++; r.queries > maxOwnerQueries {
		g.suspectedUntil[r.owner], r.owner = g.now+staleUpdates*fullUpdateInterval, -1
		g.admit(r, g.withinQuota(r))
		return
	}
	if r.queries == 1 { // a token of another life must not fit
		g.lastQuery++
		r.queryToken = g.lastQuery + uint32(g.startedAt/time.Millisecond)<<tagBits
		g.pendingQueries[r.queryToken] = r
	}
	g.host.Tell(r.owner, packQuery(ownerQuery{token: r.queryToken, customerKey: r.customer.key, units: r.Units}))
	g.host.Timer(requestTag(r.ID, tagQuery), max(g.cfg.Tick, g.shortestTarget()/queriesPerTarget))
}

// answer decides about a request of a customer that is at home here and gives the store's record, nil where
// the question makes no sense. What is asked again has the same answer and draws nothing more.
func (g *Gateway) answerQuery(q ownerQuery) *customer {
	c := g.recordFor(ownerKey(q.customerKey, g.cfg.Self))
	if c != nil && c.lastQuery != q {
		g.refill(c, q.units)
		c.demand.sum, c.lastSeen, c.lastQuery = c.demand.sum+q.units, g.now, q
		c.lastQueryAdmitted = c.withinHardLimit(g.cfg.Plans[c.plan], q.units) &&
			g.withinQuota(&request{Request: Request{Plan: c.plan, Units: q.units}, customer: c})
		if c.lastQueryAdmitted {
			c.balance, c.hardLimit.Left = c.balance-q.units, c.hardLimit.Left-q.units
		}
	}
	return c
}

// ---- Overload ----

// onBeat moves the cuts: RUDA's top group goes while a class's 90th percentile misses its aim, one more each
// second it still does, and they come back one by one.
func (g *Gateway) checkOverload() {
	g.host.Timer(tagOverload, g.overloadInterval())
	for _, a := range g.inFlight {
		took, aim := g.now-a.sentAt, g.cfg.Classes[a.request.Class].LatencyTarget
		if !a.untimed() && took.Seconds() > slowTargetShare*aim.Seconds() && a.overtakenBy < overtakenLimit {
			g.learnCapacity(a, took)
		}
		if !a.untimed() && took > aim {
			g.countLateness(a, true)
			g.markLost(a)
		}
		if quiet := g.now - max(a.sentAt, a.server.lastServed); !a.untimed() && quiet > lostAfterFactor*g.expectedLatency(a.request) {
			g.suspect(a)
		}
	}
	f := g.sheddingScores()
	g.learnWarmThroughput()
	g.learnConcurrency()
	g.fleetLatency = g.meanRelativeLatency()
	g.shareCapacity(f)
	g.overloaded, g.capacityReached = g.capacityReached, false
	for i := range g.lateness { // a fleet with little to do is late by its own tails: no cut can help it
		m := &g.lateness[i]
		m.decay(g.now, recentWindow)
		g.overloaded = g.overloaded || m.sum > lateShare*m.weight+lateByChance && g.load() > g.totalCapacity()/2
	}
	if g.overloaded {
		g.calmChecks = 0
		if g.now-g.lastShed >= recentWindow { // a cut gets so long to show before the next
			g.shedTop(f)
		}
	} else if g.calmChecks++; len(g.shedGroups) > 0 && g.calmChecks >= overloadChecksPerTarget {
		g.calmChecks = 0
		last := g.shedGroups[len(g.shedGroups)-1]
		g.shedGroups, g.groups[last].shed = g.shedGroups[:len(g.shedGroups)-1], false
		g.host.Log(fmt.Sprintf("lift %s", g.groupName(last)))
	}
	g.evictIdle(idleAfter)
}

// roomFor bounds the attempts out at once, so that no queue grows past what the aims allow. A server's room
// follows the 90th percentile of its answers against a share of the aim: a late one takes what nine gave.
func (g *Gateway) totalCapacity() float64 {
	room := 0.0
	for _, s := range g.servers {
		if s.listed {
			room += g.capacityOf(s)
		}
	}
	return room
}

func (g *Gateway) capacityOf(s *server) float64 {
	if s.capacity == 0 {
		s.capacity = math.Max(initialCapacity/float64(g.cfg.Gateways), minInitialInFlight/math.Max(float64(g.listedServers()), 1))
	}
	s.capacity = math.Max(s.capacity, math.Max(minCapacity, g.serverConcurrency)/float64(g.cfg.Gateways))
	if s.suspectedAttempts > 0 { // for one that finds out whether anything comes from there
		return math.Min(1, s.capacity)
	}
	return s.capacity
}

// learnRoom takes an answer's news in. Where a server's room is under one, all rooms move with it.
func (g *Gateway) learnCapacity(a *attempt, took time.Duration) {
	if a.countedSlow {
		return
	}
	a.countedSlow = took.Seconds() > slowTargetShare*g.cfg.Classes[a.request.Class].LatencyTarget.Seconds()
	own, all := g.capacityOf(a.server), g.totalCapacity()
	if half := g.load()+1 <= all/2; half && (!a.countedSlow || all > 2*minInitialInFlight) ||
		!a.countedSlow && a.server.load()+1 <= own/2 {
		return
	}
	step := lateShare
	if a.countedSlow {
		step, g.slowAnswerSeen = step-1, true
	} else if !g.slowAnswerSeen { // nothing tells yet that the first room is enough
		step *= initialCapacityGrowth
	}
	part := math.Min(1, own)
	a.server.capacity += step * part
	for _, s := range g.servers {
		s.capacity += step * (1 - part) * g.capacityOf(s) / math.Max(all, 1e-9)
	}
}

// count adds an attempt to its class's counts when it ends, or once it is late though still out. Left out are
// servers slow on the whole and attempts that later ones have passed: neither lateness is overload.
func (g *Gateway) countLateness(a *attempt, late bool) {
	sick := a.server.relativeLatency.sum > overdueFactor*(a.server.relativeLatency.weight+latencyPriorWeight)
	if a.countedLate || sick || late && a.overtakenBy >= overtakenLimit {
		return
	}
	a.countedLate = true
	g.lateness[a.request.Class].addBool(g.now, recentWindow, late)
}

// score gives groups that sent requests f = 1/v x share of latency / share of requests, over all gateways.
func (g *Gateway) sheddingScores() []float64 {
	f, r := make([]float64, len(g.groups)), make([]float64, len(g.groups))
	q, sumR, sumQ := make([]float64, len(g.groups)), 0.0, 0.0
	for _, a := range g.inFlight {
		r[g.groupOf(a.request)] += min(g.now-a.sentAt, g.cfg.Classes[a.request.Class].Deadline).Seconds()
	}
	for i := range g.groups {
		t := &g.groups[i].latency
		t.decay(g.now, groupMemory, 0)
		q[i], r[i] = t.estimate(groupRequests, g.cfg.Gateways), r[i]+t.estimate(groupSeconds, g.cfg.Gateways)
		sumQ, sumR = sumQ+q[i], sumR+r[i]
	}
	for i := range g.groups {
		if q[i] >= 0.5 {
			f[i] = rudaScore(g.groups[i].value, r[i], sumR, q[i], sumQ)
		}
	}
	return f
}

// shareRoom gives the groups their part of the room in the order of f: the top one is refused first.
func (g *Gateway) shareCapacity(f []float64) {
	order := slices.Clone(f)
	slices.Sort(order)
	order = slices.DeleteFunc(order, func(x float64) bool { return x <= 0 })
	for i := range g.groups {
		if at, known := slices.BinarySearch(order, f[i]); known && len(order) > 1 {
			g.groups[i].capacityShare = 1 - (1-minCapacityShare)*float64(at)/float64(len(order)-1)
		}
	}
}

// cutTop refuses the group with the top f. One group always stays.
func (g *Gateway) shedTop(f []float64) {
	best, left := -1, 0
	for i := range g.groups {
		if !g.groups[i].shed && f[i] > 0 {
			if left++; best < 0 || f[i] > f[best] {
				best = i
			}
		}
	}
	if left < 2 {
		return
	}
	g.lastShed, g.groups[best].shed = g.now, true
	g.shedGroups = append(g.shedGroups, best)
	g.host.Log(fmt.Sprintf("cut %s f=%.2f", g.groupName(best), f[best]))
}

func rudaScore(v, r, sumR, q, sumQ float64) float64 {
	return ruda.Score(v, r, sumR, q, sumQ)
}

// ---- Servers ----

// Servers takes news of the server list in.
func (g *Gateway) Servers(now Time, kind ListKind, list []ServerInfo) {
	g.advance(now)
	if kind == ListFailed {
		g.watching, g.watchBackoff = false, min(max(2*g.watchBackoff, g.overloadInterval()), max(g.cfg.ListRefreshWithin/4, g.overloadInterval()))
		g.host.Timer(tagWatch, g.watchBackoff)
		return
	}
	g.watching, g.watchBackoff = true, 0
	if kind != ListChanges {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, in := range list {
		s := g.serversByID[in.ID]
		if s == nil {
			s = &server{}
			g.serversByID[in.ID], g.servers = s, append(g.servers, s)
		}
		if in.StartedAt != s.StartedAt || s.coldBudget.At == 0 { // another process now
			*s = server{inFlight: s.inFlight, lost: s.lost, suspectedAttempts: s.suspectedAttempts,
				coldBudget: ledger.Cold{Sends: s.coldBudget.Sends, Turn: g.rng.Float64(), At: now}}
		}
		s.ServerInfo, s.listed = in, in.State == Ready
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		old := !s.listed && s.inFlight == 0 && !s.coldBudget.Recent(now, g.cfg.ColdWindow)
		if old { // what a cold server was sent lately is kept, should it be listed again
			delete(g.serversByID, s.ID)
		}
		return old
	})
	g.retryQueue()
}

// pick gives the usable server with the least expected wait for a request, nil where there is none.
func (g *Gateway) pickServer(r *request) *server {
	trust := 2*g.countListed(g.ejected) <= g.listedServers() // when most look bad the fault is elsewhere: judge none
	best, least := (*server)(nil), 0.0
	for round := 0; round < 2 && best == nil; round++ {
		for _, s := range g.servers {
			if !s.listed || !g.mayRunOn(r, s, r.attempts) || (trust && g.ejected(s)) || !g.withinColdBudget(s) {
				continue
			}
			away := s.rejectedUntil != nil && s.rejectedUntil[g.groupOf(r)] > g.now
			if round == 0 && (away || r.wasTried(s) || s.load() >= math.Max(1, g.capacityOf(s))) {
				continue
			}
			if cost := g.expectedWait(s) * (1 + costNoise*g.rng.Float64()); best == nil || cost < least {
				best, least = s, cost
			}
		}
	}
	return best
}

// cost is a server's expected wait: its pace times what is at it. The pace is its recent latency over the
// typical one of each attempt's class; attempts out for longer than that count as far as they have come.
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
	if s.coldBudget.Turn >= 1 && g.warmth(s) < 1 { // some servers warm by the work they do
		return 0
	}
	return sum / n * (s.load() + s.othersInFlight + baseWork) / g.warmth(s)
}

// Learn takes priors of servers in, each for one life of its server. They move guesses, of pace and of room,
// and may delay a cold turn.
func (g *Gateway) SetPriors(now Time, list []Prior) {
	g.advance(now)
	for _, p := range list {
		if s := g.serversByID[p.ID]; s != nil && s.listed && s.StartedAt == p.StartedAt && p.RelativeLatency*p.Weight > 0 {
			s.relativeLatency = decayingMean{sum: p.RelativeLatency * p.Weight, weight: p.Weight, decayedAt: now}
			s.capacity = cmp.Or(p.Capacity, s.capacity)
			if p.ColdBudgetTaken {
				s.coldBudget.Turn = math.Min(s.coldBudget.Turn, 0)
			}
		}
	}
}

// Crowd takes in what others have out at the servers. It moves the expected waits and nothing else.
func (g *Gateway) SetOthersLoads(now Time, list []Load) {
	g.advance(now)
	for _, l := range list {
		if s := g.serversByID[l.ID]; s != nil {
			s.othersInFlight = math.Max(0, l.Attempts)
		}
	}
}

// ---- Health ----

func (g *Gateway) ejected(s *server) bool {
	return g.now < s.ejectedUntil || (s.ejections > 0 && s.load() > 0)
}

// judge counts an attempt's end for or against its server.
func (g *Gateway) recordHealth(s *server, failed bool) {
	s.failures.addBool(g.now, 4*latencyMemory*g.shortestTarget(), failed)
	if s.consecutiveFailures++; !failed {
		if s.consecutiveFailures, s.lastServed, s.servedTotal = 0, g.now, s.servedTotal+1; s.ejections > 0 && g.now >= s.ejectedUntil {
			s.ejections, s.failures = s.ejections-1, decayingMean{decayedAt: g.now}
		}
		return
	}
	if g.now >= s.ejectedUntil && (s.ejections > 0 || s.consecutiveFailures >= consecutiveToEject ||
		(s.failures.sum >= failuresToEject && s.failures.sum >= shareToEject*s.failures.weight)) {
		s.ejectedUntil = g.now + g.shortestTarget()<<min(s.ejections, maxEjectionDoublings)
		s.ejections = min(s.ejections+1, maxEjectionDoublings)
		g.host.Log(fmt.Sprintf("eject server %d, failures %.0f of %.0f", s.ID, s.failures.sum, s.failures.weight))
	}
}

// ---- Cold start ----

// warmth is the least share of its capacity that a server has after its start.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt == 0 || age >= g.cfg.WarmupTime || g.cfg.WarmupTime <= 0 {
		return 1
	}
	from := math.Max(0.01, g.cfg.InitialWarmth)
	return from + (1-from)*math.Max(0, age.Seconds())/g.cfg.WarmupTime.Seconds()
}

// coldRoom keeps rule 4, by what a server was seen to answer here while cold, and what a warm one answers.
func (g *Gateway) withinColdBudget(s *server) bool {
	w := g.warmth(s)
	l := ledger.ColdLimit{Window: g.cfg.ColdWindow, Multiple: g.cfg.ColdMultiple, N: g.cfg.Gateways,
		Does: math.Max(w*g.warmThroughput, s.coldThroughput(g)), Slower: g.coldLatency.smoothed()}
	return w >= 1 || l.Window <= 0 || l.Multiple <= 0 || s.coldBudget.Covers(g.now, l)
}

// ---- Attempts ----

// dispatch sends a request on, or holds it while no server may take it.
func (g *Gateway) dispatch(r *request) {
	s := g.pickServer(r)
	if r.setQueued(s == nil && r.attempts == 0); s == nil {
		if g.queue = append(g.queue, r); !g.queueTimerSet {
			g.queueTimerSet = true
			g.host.Timer(tagQueue, max(g.cfg.Tick, g.shortestTarget()/queueChecksPerTarget))
		}
		return
	}
	if g.addAttempt(&attempt{request: r, server: s, sentAt: g.now, chosenAt: g.now}); r.attempts == 1 {
		r.customer.addUsed(r.Units)
		g.queueUpdate(r.customer, g.nearby...)
	}
	g.groups[g.groupOf(r)].latency.local[groupRequests]++
	g.host.Send(r.ID, s.ID, r.Deadline)
	if g.cfg.Hedging && r.attempts == 1 && !g.cfg.Classes[r.Class].Streaming {
		g.host.Timer(requestTag(r.ID, tagHedge), g.cfg.Classes[r.Class].LatencyTarget/2)
	} else if !g.cfg.Hedging && g.cfg.Cancel && !g.cfg.Classes[r.Class].Streaming &&
		g.cfg.Classes[r.Class].Idempotency != NotIdempotent {
		g.host.Timer(requestTag(r.ID, tagHedge), lostAfterFactor*g.expectedLatency(r))
	}
}

// mayRunOn keeps rule 2: once another attempt may have run or is out, one goes only where its repeat is
// harmless.
func (g *Gateway) mayRunOn(r *request, s *server, no int) bool {
	c := g.cfg.Classes[r.Class]
	return !slices.ContainsFunc(slices.Concat(r.mayHaveRun, r.inFlight), func(a *attempt) bool {
		t, past := a.server, g.now-a.chosenAt >= c.DedupWindow-2*g.cfg.Tick
		return a.number != no && (c.Idempotency == NotIdempotent || c.Idempotency == IdempotentByKey && (past ||
			c.DedupScope == ScopeZone && t.Zone != s.Zone || c.DedupScope == ScopeCell && t.Cell != s.Cell))
	})
}

// Outcome takes the end of an attempt in.
func (g *Gateway) Outcome(now Time, o Outcome) {
	g.advance(now)
	r := g.requests[o.ID]
	a := g.removeAttempt(r, o.Attempt)
	if a == nil {
		return
	}
	s, class := a.server, g.cfg.Classes[r.Class]
	g.countWasted(s, o.Ending)
	took := max(o.Elapsed, 0)
	s.applyLoadReport(g, o.LoadReport)
	ratio, late := took.Seconds()/g.typicalLatency(r), took > class.LatencyTarget
	switch o.Ending {
	case Served:
		for _, b := range g.inFlight {
			if b.server == s && b.sentAt < a.sentAt {
				b.overtakenBy++
			}
			if b.server == s && b.suspected { // where a later one was quick, it is lost and not only waiting
				g.clearSuspicion(b, b.sentAt < a.sentAt && ratio < overdueFactor)
			}
		}
		g.learnCapacity(a, took)
		g.learnLatency(r, took)
		g.workDone.add(now, workMemory, math.Min(took.Seconds(), g.serviceTime(a)))
		s.relativeLatency.add(now, latencyMemory*g.shortestTarget(), ratio)
		s.answers.add(now, 2*g.cfg.ColdWindow, 1)
		if w := g.warmth(s); w < 1 { // where it is slower than that explains, its turns are too many
			g.coldLatency.add(now, latencyMemory*g.shortestTarget(), ratio*w)
			g.coldServiceTime.add(now, latencyMemory*g.shortestTarget(), took.Seconds()*w)
		}
		g.recordHealth(s, false)
	case Errored, NotConnected, ConnectionLost:
		g.recordHealth(s, true) // a quick failure is no sign of speed: the pace stays as it was
	case Rejected:
		if late = g.recordRejection(s, r); late {
			took = max(took, class.LatencyTarget)
			s.relativeLatency.add(now, latencyMemory*g.shortestTarget(), took.Seconds()/g.typicalLatency(r))
			g.learnCapacity(a, took)
		}
	case TimedOut, Cancelled:
		if ratio > 1 && a.overtakenBy < overtakenLimit {
			s.relativeLatency.add(now, latencyMemory*g.shortestTarget(), ratio)
		}
	}
	quick := (o.Ending == Errored || o.Ending == Rejected) && !late // tells nothing of the load
	if o.Ending != NeverSent && o.Ending != Cancelled && !quick {
		g.countLateness(a, late)
		g.groups[g.groupOf(r)].latency.local[groupSeconds] += min(took, class.Deadline).Seconds()
	}
	if o.Ending == Served {
		g.reconcileUnits(r, o.Units)
	}
	if o.Answered || o.Ending == Served || r.closed {
		g.finish(r)
		return
	}
	if o.BodyConsumed { // there is nothing left to be sent again
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

// turnedAway remembers that a server turned a group away, and tells whether it is full for all. Where it is
// one plan or one class only, that is a limit on them: they go elsewhere.
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

// again decides what follows when no attempt is left: one more, or the final answer.
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

// giveUp gives the final answer that rule 2 permits.
func (g *Gateway) answerUnserved(r *request) {
	if len(r.mayHaveRun) == 0 && len(r.inFlight) == 0 || g.cfg.Classes[r.Class].Idempotency == Idempotent {
		g.host.Refuse(r.ID, min(g.cfg.MaxRetryAfter, g.cfg.Classes[r.Class].LatencyTarget/retryAfterDivisor))
	} else {
		g.host.Fail(r.ID)
	}
	g.finish(r)
}

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

// hedge sends a second copy of what has waited half its aim, where that is allowed and the fleet has room.
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

// abandon ends a request's only attempt for another elsewhere, where no second copy may be out beside it:
// later ones have passed it and it takes far longer than it should, so its connection fell silent, or its
// server has it no more. While nobody has passed it, it is looked at again.
func (g *Gateway) cancelLost(r *request) {
	if left := r.arrivedAt + g.cfg.Classes[r.Class].LatencyTarget - g.now; g.retryBudget < 1 || left < g.expectedLatency(r) {
		return
	}
	a := r.inFlight[0]
	if wait := a.sentAt + lostAfterFactor*g.expectedLatency(r) - g.now; wait > 0 || a.overtakenBy < overtakenLimit {
		g.host.Timer(requestTag(r.ID, tagHedge), max(wait, g.expectedLatency(r)/2, g.cfg.Tick))
	} else if s := g.pickServer(r); s != nil && !r.wasTried(s) {
		g.host.Cancel(r.ID, a.number)
	}
}

// pump tries held requests again, oldest first.
func (g *Gateway) retryQueue() {
	list := g.queue
	g.queue = nil
	for _, r := range list {
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

// ClientGone tells that the client left: no answer is owed.
func (g *Gateway) ClientGone(now Time, id RequestID) {
	g.advance(now)
	if r := g.requests[id]; r != nil {
		g.finish(r)
	}
}

// Timer takes a timer in. One that nothing needs any more does nothing.
func (g *Gateway) Timer(now Time, tag uint64) {
	g.advance(now)
	r := g.requests[RequestID(tag>>tagBits)]
	switch kind := tag & (1<<tagBits - 1); {
	case tag == tagOverload:
		g.checkOverload()
	case tag == tagPeerUpdate:
		g.sendUpdates()
	case tag == tagWatch && !g.watching && g.cfg.Subscribe:
		g.host.Watch()
	case tag == tagQueue:
		g.queueTimerSet = false
		g.retryQueue()
	case r == nil || r.closed || r.streaming:
	case kind == tagDeadline && (r.BodyPending && len(r.inFlight) > 0 || now < r.Deadline-2*g.cfg.Tick): // put off
	case kind == tagDeadline:
		g.answerUnserved(r)
	case kind == tagHedge && (r.BodyPending || len(r.inFlight) != 1 || r.attempts >= g.cfg.MaxAttempts): // too late
	case kind == tagHedge && g.cfg.Hedging:
		g.hedge(r)
	case kind == tagHedge:
		g.cancelLost(r)
	case kind == tagQuery && g.pendingQueries[r.queryToken] == r:
		g.queryOwner(r)
	}
}

// ---- Peers ----

// tell passes news of the customers' use on to the peers near by, and now and then a share of all demand.
func (g *Gateway) sendUpdates() {
	every, peers := updateInterval, g.nearby
	if most := peerRateShare * g.cfg.PeerMessageRate; most > 0 {
		every = max(every, time.Duration(float64(len(peers))/most*float64(time.Second)))
	}
	g.host.Timer(tagPeerUpdate, every)
	for ; len(peers) > 0; peers = peers[1:] {
		var list [sectionCount][]entry
		to := peers[0]
		full := g.now-g.fullUpdateAt[to] >= fullUpdateInterval
		for i := 0; full && i < len(g.groups); i++ {
			t := &g.groups[i].latency
			t.decay(g.now, groupMemory, 0)
			list[groupSection] = append(list[groupSection],
				entry{key: uint64(i), mass: t.split(float64(len(peers)), float64(g.cfg.Gateways))})
		}
		if full {
			g.refreshInFlight(to)
		}
		room := messageBytes - headerBytes - sectionCount - len(g.groups)*maxEntrySize(groupSection)
		for _, c := range g.pendingUpdates { // in turn
			if c.pendingPeers>>g.peerSlot(to)&1 == 0 || room < maxEntrySize(customerSection) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(peers), func(p int) bool { return !g.serves(p, c) })
			g.refill(c, 0)
			c.sharedDemand.decay(g.now, g.demandMemory(c.plan), 1)
			mass := c.sharedDemand.split(float64(len(others)), float64(c.setSize))
			h, store := &c.peers[g.peerSlot(to)], c.balance/math.Max(g.cfg.Plans[c.plan].Burst, 1e-9)
			word := c.hardLimit.Word(g.hardLimitPart(c), h.deficit, c.setSize)
			e := entry{c.key, mass, c.generation, c.used, store, word, byte(min(255, c.inFlight+c.queued))}
			list[customerSection], room = append(list[customerSection], e), room-e.encodedSize()
			c.pendingPeers &^= 1 << g.peerSlot(to)
			h.ownUsedSent, h.deficit = c.used, 0
		}
		if full || len(list[customerSection]) > 0 {
			g.host.Tell(to, packMessage(g.now-g.startedAt, g.olderPeerKnown, g.schema, list))
		}
		if full {
			g.fullUpdateAt[to] = g.now
		}
	}
	g.pendingUpdates = slices.DeleteFunc(g.pendingUpdates, func(c *customer) bool { return c.pendingPeers == 0 })
}

// PeerMessage takes a peer's shares in. Anything odd is dropped whole, and so is what comes twice or late.
func (g *Gateway) PeerMessage(now Time, from int, m []byte) {
	g.advance(now)
	if from < 0 || from >= g.cfg.Gateways || from == g.cfg.Self {
		return
	}
	if q, ok := unpackQuery(m, from); ok {
		if c := g.answerQuery(q); c != nil {
			g.host.Tell(from, packAnswer(q.token, c.lastQueryAdmitted))
		}
		return
	}
	if name, units, ok := unpackReconcile(m); ok {
		g.reconcileAtOwner(from, name, units)
		return
	}
	if token, inside, ok := unpackAnswer(m); ok {
		if r := g.pendingQueries[token]; r != nil && r.owner == from {
			g.admit(r, inside)
		}
		return
	}
	age, elders, list, ok := g.unpack(m)
	last, before := g.peerAge[from], g.peerLastContact[from] != 0
	if !ok || before && age <= last && last-age < staleUpdates*fullUpdateInterval {
		return
	}
	if before && !g.peerAlive(from) {
		g.peerResumedAt[from] = now
	}
	late := g.excessDelay(from, age, age < last || !before)
	if age < last || !before { // another life, which knows nothing yet: it hears of all
		g.incarnations[from]++
		for _, c := range g.customers {
			g.queueUpdate(c, from)
		}
	}
	g.peerAge[from], g.peerLastContact[from], g.lastContact = age, now, now
	if !g.olderPeerKnown && (elders || age > now-g.startedAt+staleUpdates*fullUpdateInterval) { // those near are to know it, too
		g.olderPeerKnown = true
		clear(g.fullUpdateAt)
	}
	for _, e := range list[groupSection] {
		if e.key < uint64(len(g.groups)) {
			g.groups[e.key].latency.merge(now, groupMemory, 0, e.mass)
		}
	}
	for _, e := range list[customerSection] { // no peer alone may thin a sum out
		if c := g.recordFor(e.key); c != nil && g.serves(g.cfg.Self, c) && g.serves(from, c) {
			e.mass[1] = math.Min(e.mass[1], 1)
			c.sharedDemand.merge(now, g.demandMemory(c.plan), 1, e.mass)
			g.applyPeerUsage(c, from, e, late)
		}
	}
}
