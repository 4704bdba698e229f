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
	beatsPerAim  = 2                // overload is judged twice in the shortest aim
	judgedOver   = time.Second      // attempts that count as recent
	countsOver   = 4 * judgedOver   // how long the counts behind f are remembered
	lateShare    = 0.1              // the 90th percentile passes the aim when a tenth is late
	lateAlone    = 1.0              // late attempt that is taken for chance, however few the others
	passedBy     = 3                // one that so many sent later to its server pass is lost, or long
	roomAim      = 0.65             // room is held where a tenth of the answers take this share of their aim
	roomStart    = 4.0              // first room: attempts at a server, over all gateways
	roomEager    = 3.0              // times as fast it grows until the first slow answer
	roomLeast    = 2.0              // and the least it shrinks to
	leastOut     = 2.0              // attempts out here that the first rooms allow, however many gateways
	roomFirst    = 0.6              // share of the room that the group with the top f may fill
	paceMemory   = 4                // in shortest aims: how long a server's pace is remembered
	overdue      = 2.0              // typical latencies until an open attempt tells of its server's pace
	likeness     = 0.1              // servers whose cost differs by less are alike
	pacePrior    = 2.0              // attempts' worth of trust that a server is like the others
	idleWork     = 1.0              // work taken to be at a server beside our own, in attempts
	failsToEject = 2.0              // failures in memory
	shareToEject = 0.25             // and their share
	rowToEject   = 3                // or so many in a row, whatever was served before: a process died
	awayFor      = 20               // in shortest aims: how long a group that was turned away goes elsewhere
	ejectDoubles = 4                // longest ejection: aim x 2 to this
	provenFades  = 0.997            // each beat, of what a warm server was seen to do
	widthOver    = 2 * judgedOver   // how long work that was done counts for a server's width
	retryShare   = 0.2              // further attempts for each request
	lostAfter    = 5.0              // times what it should take: by chance once in a hundred and fifty
	copyShare    = 0.05             // second copies for each request: more cost a busy fleet what they win
	comeAgain    = 8                // of the aim: refused clients are told to ask again so soon
	retryStore   = 10.0             // further attempts that may be saved up
	heldTurns    = 32               // a held request is tried so often in the shortest aim
	tellEvery    = time.Second / 4  // peers are told this often at most, where each has many
	tellNews     = time.Second / 30 // and near ones of draws
	heardFor     = 4 * tellEvery    // a peer that was told so may be taken to know, and to be known
	tellPeers    = 3                // places to either side where gateways share stores
	askTries     = 2                // times that a home is asked, and gateways that may stand in as one
	askTurns     = 6                // of the shortest aim: how long an answer is waited for
	staleTells   = 10               // unheard for so many times tellEvery, peers are taken to be silent
	intakeShare  = 0.7              // of a peer's intake that all others together may use
	leastWeight  = 0.05             // a sum over the gateways is not drawn up from a smaller part than this
	maxCustomers = 20000            // remembered at once
	idleAfter    = time.Minute      // a customer is forgotten
	viewsMeet    = 0.03             // of the way, with each message, what two see of a store draws together
)

const (
	tagBeat = iota
	tagTell
	tagWatch
	tagPump
	tagFinal // with a request's id above it, as the next
	tagHedge
	tagAsk
	tagBits = 3
)

func (g *Gateway) tick(now Time) {
	g.now, g.peerHeard[g.set.Me] = now, now
	if !g.started {
		g.started, g.born, g.fullSince, g.lastCut, g.heard = true, now, now, now-judgedOver, now
		for i := range g.typical {
			g.typical[i] = mean{sum: g.set.Classes[i].Aim.Seconds() / 4, n: 1, at: now}
		}
		if g.set.Subscribe {
			g.host.Watch()
		}
		g.host.Timer(tagBeat, g.beat())
		if g.set.Peers && g.set.Gateways > 1 {
			g.tell()
		}
	}
}

func (g *Gateway) beat() time.Duration { return max(g.shortAim()/beatsPerAim, g.set.Tick) }

// ---- Intake ----

// Request takes a client's try in. Order matters: what can't be served is refused before it draws anything.
func (g *Gateway) Request(now Time, in Request) {
	g.tick(now)
	if g.requests[in.ID] != nil {
		return
	}
	if in.Class < 0 || in.Class >= len(g.set.Classes) || in.Plan < 0 || in.Plan >= len(g.set.Plans) ||
		in.Deadline-now <= 2*g.set.Tick {
		g.host.Refuse(in.ID, 0)
		return
	}
	if !(in.Units >= 0 && in.Units <= math.MaxInt32) { // a number that is none must not poison an account
		in.Units = 1
	}
	r := &request{Request: in, arrived: now, cust: g.customer(in)}
	g.retries = math.Min(retryStore, g.retries+retryShare)
	g.copies = math.Min(copyShare*retryStore/retryShare, g.copies+copyShare)
	grp := &g.groups[g.groupOf(r)]
	r.home = g.home(r.cust)
	asks := r.home >= 0 && r.home != g.set.Me
	within := asks || r.home < 0 && g.withinQuota(r) ||
		r.home == g.set.Me && g.answer(question{g.set.Me, uint32(in.ID), r.cust.name, in.Units}).inside
	no := grp.cut || r.home < 0 && !r.cust.under(g.set.Plans[in.Plan], in.Units)
	room := g.roomFor() * grp.part
	left := room + g.chance(room) - g.load() - float64(len(g.held))
	if !no && within && left < 1 && g.rng.Float64() >= left {
		g.full, no = g.full || grp.part >= 1 && !asks, true // what is asked about may be beyond its quota
	}
	// What would be late whoever takes it makes room at once. What is like its class is the cuts' affair.
	if g.pressed && g.need(r) > g.set.Classes[in.Class].Aim {
		no = no || g.expect(r) > (1+likeness)*g.typicalOf(in.Class)
	}
	if no {
		g.giveUp(r)
		return
	}
	g.requests[in.ID] = r
	g.host.Timer(uint64(in.ID)<<tagBits|tagFinal, in.Deadline-now-2*g.set.Tick)
	if asks {
		g.ask(r)
	} else {
		g.settle(r, within)
	}
}

// chance is how far what is out here may pass this gateway's room though the fleet has no more than its own:
// two deviations of what comes at random, where of a server's first room less than one attempt is ours.
func (g *Gateway) chance(room float64) float64 {
	return 2 * math.Sqrt(room*math.Max(0, 1-roomStart/float64(g.set.Gateways)))
}

// settle sends on what is inside its customer's quota, and refuses what isn't where that would not pay.
// Rule 5 is kept with no help from others: an own share of rate and store, here or at the first home, and a
// new life starts with what has filled since its birth, as the former life may have spent all it had.
func (g *Gateway) settle(r *request, within bool) {
	delete(g.asks, r.token)
	p := g.set.Plans[r.Plan]
	r.kept = within && r.home >= 0 && r.home == g.homeOf(r.cust, 0) && g.keepers(r.cust) > 1
	if !r.kept && !r.cust.under(p, r.Units) ||
		!within && (p.OverWorth <= p.OverCost || g.pressed || len(g.cuts) > 0) {
		g.giveUp(r)
		return
	}
	r.over = !within
	g.draw(r, 1)
	g.dispatch(r)
}

// ---- Quota ----

// customer finds or makes the record of a request's customer and counts what it asks.
func (g *Gateway) customer(in Request) *customer {
	c := g.byName[in.Customer]
	n := max(1, min(in.SetSize, g.set.Gateways))
	in.FirstDoor = (in.FirstDoor%g.set.Gateways + g.set.Gateways) % g.set.Gateways
	name := tellName(in.Customer, in.Plan, in.FirstDoor, n)
	if c == nil {
		if len(g.customers) >= maxCustomers {
			g.fullSince = g.now
			g.forget(judgedOver)
		}
		if c = g.byShort[name]; c == nil || c.met {
			c = g.newCustomer(name)
		}
		c.id, c.met = in.Customer, true
		g.byName[in.Customer] = c
	} else if c.name != name && g.byShort[name] == nil { // its set or plan has changed
		delete(g.byShort, c.name)
		g.byShort[name], c.name = c, name
	}
	c.set, c.first, c.plan, c.lastSeen = n, in.FirstDoor, in.Plan, g.now
	g.refill(c, in.Units)
	c.demand.add(g.now, g.memory(in.Plan), 0)
	c.demand.sum, c.told.own[0] = c.demand.sum+in.Units, c.told.own[0]+in.Units
	g.news(c, g.near...)
	return c
}

// refill brings the quota's store and the ceiling's part up to date. What isn't drawn on together is parts.
func (g *Gateway) refill(c *customer, units float64) {
	if !g.deaf() { // held to its part alone, a gateway may save up one request
		units = 0
	}
	if !c.begun && g.allNew() {
		c.begun, c.ceiling.Left = true, c.ceiling.Left+g.share(c).Burst
	}
	c.account = g.view(c).Fill(g.set.Plans[c.plan].quota(), g.now-c.at, c.coming, units)
	c.ceiling.Fill(g.share(c), g.now-c.at, c.coming)
	c.at = g.now
}

// withinQuota tells whether a request is inside its customer's quota, by what is known here.
func (g *Gateway) withinQuota(r *request) bool {
	c, p, v := r.cust, g.set.Plans[r.Plan], g.view(r.cust)
	if p.Open > 0 && !ledger.Slot(p.Open, c.out+c.waiting, g.outElsewhere(c), c.set, v.Whole) {
		return false
	}
	return v.Covers(p.quota(), r.Units, g.rng.Float64)
}

// home gives the gateway that keeps the store of a customer whose set is too wide to share it: each request
// is asked about there. It is the same for all until it is found silent. Below 0: there is none.
func (g *Gateway) home(c *customer) int {
	for k := 0; k <= askTries && len(g.near) > 0 && !g.shared(c) && g.hearsMost(); k++ {
		if p := g.homeOf(c, k); g.silent[p] <= g.now {
			return p
		}
	}
	return -1
}

// ask asks a request's home whether it is inside the quota. Where that is silent the part here decides.
func (g *Gateway) ask(r *request) {
	if r.asked++; r.asked > askTries {
		g.silent[r.home], r.home = g.now+staleTells*tellEvery, -1
		g.settle(r, g.withinQuota(r))
		return
	}
	if r.asked == 1 { // a token of another life must not fit
		g.lastAsk++
		r.token = g.lastAsk + uint32(g.born/time.Millisecond)<<tagBits
		g.asks[r.token] = r
	}
	g.host.Tell(r.home, packAsk(question{token: r.token, customer: r.cust.name, units: r.Units}))
	g.host.Timer(uint64(r.ID)<<tagBits|tagAsk, max(g.set.Tick, g.shortAim()/askTurns))
}

// answer decides about a request of a customer that is at home here and gives the store's record, nil where
// the question makes no sense. What is asked again has the same answer and draws nothing more.
func (g *Gateway) answer(q question) *customer {
	c := g.record(atHome(q.customer, g.set.Me))
	if c != nil && c.question != q {
		g.refill(c, q.units)
		c.demand.sum, c.lastSeen, c.question = c.demand.sum+q.units, g.now, q
		c.inside = c.under(g.set.Plans[c.plan], q.units) &&
			g.withinQuota(&request{Request: Request{Plan: c.plan, Units: q.units}, cust: c})
		if c.inside {
			c.account, c.ceiling.Left = c.account-q.units, c.ceiling.Left-q.units
		}
	}
	return c
}

// ---- Overload ----

// onBeat moves the cuts: RUDA's top group goes while a class's 90th percentile misses its aim, one more each
// second it still does, and they come back one by one.
func (g *Gateway) onBeat() {
	g.host.Timer(tagBeat, g.beat())
	for _, a := range g.open {
		took, aim := g.now-a.sent, g.set.Classes[a.req.Class].Aim
		if !a.untimed() && took.Seconds() > roomAim*aim.Seconds() && a.passed < passedBy {
			g.learnRoom(a, took)
		}
		if !a.untimed() && took > aim {
			g.count(a, true)
			g.lose(a)
		}
		if quiet := g.now - max(a.sent, a.server.answered); !a.untimed() && quiet > lostAfter*g.need(a.req) {
			g.suspect(a)
		}
	}
	f := g.score()
	g.proven()
	g.learnWidth()
	g.pace = g.meanPace()
	g.shareRoom(f)
	g.pressed, g.full = g.full, false
	for i := range g.late { // a fleet with little to do is late by its own tails: no cut can help it
		m := &g.late[i]
		m.fade(g.now, judgedOver)
		g.pressed = g.pressed || m.sum > lateShare*m.n+lateAlone && g.load() > g.roomFor()/2
	}
	if g.pressed {
		g.calm = 0
		if g.now-g.lastCut >= judgedOver { // a cut gets so long to show before the next
			g.cutTop(f)
		}
	} else if g.calm++; len(g.cuts) > 0 && g.calm >= beatsPerAim {
		g.calm = 0
		last := g.cuts[len(g.cuts)-1]
		g.cuts, g.groups[last].cut = g.cuts[:len(g.cuts)-1], false
		g.host.Log(fmt.Sprintf("lift %s", g.groupName(last)))
	}
	g.forget(idleAfter)
}

// roomFor bounds the attempts out at once, so that no queue grows past what the aims allow. A server's room
// follows the 90th percentile of its answers against a share of the aim: a late one takes what nine gave.
func (g *Gateway) roomFor() float64 {
	room := 0.0
	for _, s := range g.servers {
		if s.listed {
			room += g.roomOf(s)
		}
	}
	return room
}

func (g *Gateway) roomOf(s *server) float64 {
	if s.room == 0 {
		s.room = math.Max(roomStart/float64(g.set.Gateways), leastOut/math.Max(float64(g.present()), 1))
	}
	s.room = math.Max(s.room, math.Max(roomLeast, g.width)/float64(g.set.Gateways))
	if s.suspects > 0 { // for one that finds out whether anything comes from there
		return math.Min(1, s.room)
	}
	return s.room
}

// learnRoom takes an answer's news in. Where a server's room is under one, all rooms move with it.
func (g *Gateway) learnRoom(a *attempt, took time.Duration) {
	if a.slowSeen {
		return
	}
	a.slowSeen = took.Seconds() > roomAim*g.set.Classes[a.req.Class].Aim.Seconds()
	own, all := g.roomOf(a.server), g.roomFor()
	if half := g.load()+1 <= all/2; half && (!a.slowSeen || all > 2*leastOut) ||
		!a.slowSeen && a.server.load()+1 <= own/2 {
		return
	}
	step := lateShare
	if a.slowSeen {
		step, g.slowOnce = step-1, true
	} else if !g.slowOnce { // nothing tells yet that the first room is enough
		step *= roomEager
	}
	part := math.Min(1, own)
	a.server.room += step * part
	for _, s := range g.servers {
		s.room += step * (1 - part) * g.roomOf(s) / math.Max(all, 1e-9)
	}
}

// count adds an attempt to its class's counts when it ends, or once it is late though still out. Left out are
// servers slow on the whole and attempts that later ones have passed: neither lateness is overload.
func (g *Gateway) count(a *attempt, late bool) {
	sick := a.server.pace.sum > overdue*(a.server.pace.n+pacePrior)
	if a.lateSeen || sick || late && a.passed >= passedBy {
		return
	}
	a.lateSeen = true
	g.late[a.req.Class].count(g.now, judgedOver, late)
}

// score gives groups that sent requests f = 1/v x share of latency / share of requests, over all gateways.
func (g *Gateway) score() []float64 {
	f, r := make([]float64, len(g.groups)), make([]float64, len(g.groups))
	q, sumR, sumQ := make([]float64, len(g.groups)), 0.0, 0.0
	for _, a := range g.open {
		r[g.groupOf(a.req)] += min(g.now-a.sent, g.set.Classes[a.req.Class].Deadline).Seconds()
	}
	for i := range g.groups {
		t := &g.groups[i].told
		t.fade(g.now, countsOver, 0)
		q[i], r[i] = t.all(groupQ, g.set.Gateways), r[i]+t.all(groupR, g.set.Gateways)
		sumQ, sumR = sumQ+q[i], sumR+r[i]
	}
	for i := range g.groups {
		if q[i] >= 0.5 {
			f[i] = utility(g.groups[i].v, r[i], sumR, q[i], sumQ)
		}
	}
	return f
}

// shareRoom gives the groups their part of the room in the order of f: the top one is refused first.
func (g *Gateway) shareRoom(f []float64) {
	order := slices.Clone(f)
	slices.Sort(order)
	order = slices.DeleteFunc(order, func(x float64) bool { return x <= 0 })
	for i := range g.groups {
		if at, known := slices.BinarySearch(order, f[i]); known && len(order) > 1 {
			g.groups[i].part = 1 - (1-roomFirst)*float64(at)/float64(len(order)-1)
		}
	}
}

// cutTop refuses the group with the top f. One group always stays.
func (g *Gateway) cutTop(f []float64) {
	best, left := -1, 0
	for i := range g.groups {
		if !g.groups[i].cut && f[i] > 0 {
			if left++; best < 0 || f[i] > f[best] {
				best = i
			}
		}
	}
	if left < 2 {
		return
	}
	g.lastCut, g.groups[best].cut = g.now, true
	g.cuts = append(g.cuts, best)
	g.host.Log(fmt.Sprintf("cut %s f=%.2f", g.groupName(best), f[best]))
}

func utility(v, r, sumR, q, sumQ float64) float64 {
	return ruda.Score(v, r, sumR, q, sumQ)
}

// ---- Servers ----

// Servers takes news of the server list in.
func (g *Gateway) Servers(now Time, kind ListKind, list []ServerInfo) {
	g.tick(now)
	if kind == ListFailed {
		g.watching, g.rewatch = false, min(max(2*g.rewatch, g.beat()), max(g.set.MustAsk/4, g.beat()))
		g.host.Timer(tagWatch, g.rewatch)
		return
	}
	g.watching, g.rewatch = true, 0
	if kind != ListChanges {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, in := range list {
		s := g.byID[in.ID]
		if s == nil {
			s = &server{}
			g.byID[in.ID], g.servers = s, append(g.servers, s)
		}
		if in.Since != s.Since || s.cold.At == 0 { // another process now
			*s = server{out: s.out, lost: s.lost, suspects: s.suspects,
				cold: ledger.Cold{Sends: s.cold.Sends, Turn: g.rng.Float64(), At: now}}
		}
		s.ServerInfo, s.listed = in, in.State == Ready
	}
	g.servers = slices.DeleteFunc(g.servers, func(s *server) bool {
		old := !s.listed && s.out == 0 && !s.cold.Recent(now, g.set.Fall)
		if old { // what a cold server was sent lately is kept, should it be listed again
			delete(g.byID, s.ID)
		}
		return old
	})
	g.pump()
}

// pick gives the usable server with the least expected wait for a request, nil where there is none.
func (g *Gateway) pick(r *request) *server {
	trust := 2*g.listed(g.ejected) <= g.present() // when most look bad the fault is elsewhere: judge none
	best, least := (*server)(nil), 0.0
	for round := 0; round < 2 && best == nil; round++ {
		for _, s := range g.servers {
			if !s.listed || !g.mayRunOn(r, s, r.attempts) || (trust && g.ejected(s)) || !g.coldRoom(s) {
				continue
			}
			away := s.away != nil && s.away[g.groupOf(r)] > g.now
			if round == 0 && (away || r.wasTried(s) || s.load() >= math.Max(1, g.roomOf(s))) {
				continue
			}
			if cost := g.cost(s) * (1 + likeness*g.rng.Float64()); best == nil || cost < least {
				best, least = s, cost
			}
		}
	}
	return best
}

// cost is a server's expected wait: its pace times what is at it. The pace is its recent latency over the
// typical one of each attempt's class; attempts out for longer than that count as far as they have come.
func (g *Gateway) cost(s *server) float64 {
	s.pace.fade(g.now, paceMemory*g.shortAim())
	sum, n := s.pace.sum+pacePrior, s.pace.n+pacePrior
	for _, a := range g.open {
		if a.server == s && a.passed < passedBy && !a.untimed() {
			if x := (g.now - a.sent).Seconds() / g.expect(a.req); x > overdue {
				sum += x
				n++
			}
		}
	}
	if s.cold.Turn >= 1 && g.warmth(s) < 1 { // some servers warm by the work they do
		return 0
	}
	return sum / n * (s.load() + s.others + idleWork) / g.warmth(s)
}

// Learn takes priors of servers in, each for one life of its server. They move guesses, of pace and of room,
// and may delay a cold turn.
func (g *Gateway) Learn(now Time, list []Prior) {
	g.tick(now)
	for _, p := range list {
		if s := g.byID[p.ID]; s != nil && s.listed && s.Since == p.Since && p.Pace*p.Weight > 0 {
			s.pace = mean{sum: p.Pace * p.Weight, n: p.Weight, at: now}
			s.room = cmp.Or(p.Room, s.room)
			if p.Cold {
				s.cold.Turn = math.Min(s.cold.Turn, 0)
			}
		}
	}
}

// Crowd takes in what others have out at the servers. It moves the expected waits and nothing else.
func (g *Gateway) Crowd(now Time, list []Load) {
	g.tick(now)
	for _, l := range list {
		if s := g.byID[l.ID]; s != nil {
			s.others = math.Max(0, l.Others)
		}
	}
}

// ---- Health ----

func (g *Gateway) ejected(s *server) bool {
	return g.now < s.ejectedUntil || (s.ejections > 0 && s.load() > 0)
}

// judge counts an attempt's end for or against its server.
func (g *Gateway) judge(s *server, failed bool) {
	s.fails.count(g.now, 4*paceMemory*g.shortAim(), failed)
	if s.row++; !failed {
		if s.row, s.answered, s.served = 0, g.now, s.served+1; s.ejections > 0 && g.now >= s.ejectedUntil {
			s.ejections, s.fails = s.ejections-1, mean{at: g.now}
		}
		return
	}
	if g.now >= s.ejectedUntil && (s.ejections > 0 || s.row >= rowToEject ||
		(s.fails.sum >= failsToEject && s.fails.sum >= shareToEject*s.fails.n)) {
		s.ejectedUntil = g.now + g.shortAim()<<min(s.ejections, ejectDoubles)
		s.ejections = min(s.ejections+1, ejectDoubles)
		g.host.Log(fmt.Sprintf("eject server %d, failures %.0f of %.0f", s.ID, s.fails.sum, s.fails.n))
	}
}

// ---- Cold start ----

// warmth is the least share of its capacity that a server has after its start.
func (g *Gateway) warmth(s *server) float64 {
	age := g.now - s.Since
	if s.Since == 0 || age >= g.set.WarmWithin || g.set.WarmWithin <= 0 {
		return 1
	}
	from := math.Max(0.01, g.set.ColdFrom)
	return from + (1-from)*math.Max(0, age.Seconds())/g.set.WarmWithin.Seconds()
}

// coldRoom keeps rule 4, by what a server was seen to answer here while cold, and what a warm one answers.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.warmth(s)
	l := ledger.ColdLimit{Window: g.set.Fall, Multiple: g.set.FallMultiple, N: g.set.Gateways,
		Does: math.Max(w*g.perServer, s.does(g)), Slower: g.coldPace.above()}
	return w >= 1 || l.Window <= 0 || l.Multiple <= 0 || s.cold.Covers(g.now, l)
}

// ---- Attempts ----

// dispatch sends a request on, or holds it while no server may take it.
func (g *Gateway) dispatch(r *request) {
	s := g.pick(r)
	if r.hold(s == nil && r.attempts == 0); s == nil {
		if g.held = append(g.held, r); !g.holding {
			g.holding = true
			g.host.Timer(tagPump, max(g.set.Tick, g.shortAim()/heldTurns))
		}
		return
	}
	if g.putOut(&attempt{req: r, server: s, sent: g.now, chosen: g.now}); r.attempts == 1 {
		r.cust.drew(r.Units)
		g.news(r.cust, g.near...)
	}
	g.groups[g.groupOf(r)].told.own[groupQ]++
	g.host.Send(r.ID, s.ID, r.Deadline)
	if g.set.SecondCopies && r.attempts == 1 && !g.set.Classes[r.Class].Stream {
		g.host.Timer(uint64(r.ID)<<tagBits|tagHedge, g.set.Classes[r.Class].Aim/2)
	} else if !g.set.SecondCopies && g.set.Cancel && !g.set.Classes[r.Class].Stream &&
		g.set.Classes[r.Class].Effect != Unsafe {
		g.host.Timer(uint64(r.ID)<<tagBits|tagHedge, lostAfter*g.need(r))
	}
}

// mayRunOn keeps rule 2: once another attempt may have run or is out, one goes only where its repeat is
// harmless.
func (g *Gateway) mayRunOn(r *request, s *server, no int) bool {
	c := g.set.Classes[r.Class]
	return !slices.ContainsFunc(slices.Concat(r.mayHave, r.out), func(a *attempt) bool {
		t, past := a.server, g.now-a.chosen >= c.Window-2*g.set.Tick
		return a.no != no && (c.Effect == Unsafe || c.Effect == Keyed && (past ||
			c.Scope == ScopeZone && t.Zone != s.Zone || c.Scope == ScopeCell && t.Cell != s.Cell))
	})
}

// Outcome takes the end of an attempt in.
func (g *Gateway) Outcome(now Time, o Outcome) {
	g.tick(now)
	r := g.requests[o.ID]
	a := g.takeOut(r, o.Attempt)
	if a == nil {
		return
	}
	s, class := a.server, g.set.Classes[r.Class]
	g.noteEnd(s, o.Ending)
	took := max(o.Elapsed, 0)
	s.reported(g, o.Report)
	ratio, late := took.Seconds()/g.expect(r), took > class.Aim
	switch o.Ending {
	case Served:
		for _, b := range g.open {
			if b.server == s && b.sent < a.sent {
				b.passed++
			}
			if b.server == s && b.suspect { // where a later one was quick, it is lost and not only waiting
				g.clear(b, b.sent < a.sent && ratio < overdue)
			}
		}
		g.learnRoom(a, took)
		g.learnLength(r, took)
		g.worked.add(now, widthOver, math.Min(took.Seconds(), g.service(a)))
		s.pace.add(now, paceMemory*g.shortAim(), ratio)
		s.done.add(now, 2*g.set.Fall, 1)
		if w := g.warmth(s); w < 1 { // where it is slower than that explains, its turns are too many
			g.coldPace.add(now, paceMemory*g.shortAim(), ratio*w)
			g.coldTook.add(now, paceMemory*g.shortAim(), took.Seconds()*w)
		}
		g.judge(s, false)
	case Errored, NotConnected, ConnectionLost:
		g.judge(s, true) // a quick failure is no sign of speed: the pace stays as it was
	case TurnedAway:
		if late = g.turnedAway(s, r); late {
			took = max(took, class.Aim)
			s.pace.add(now, paceMemory*g.shortAim(), took.Seconds()/g.expect(r))
			g.learnRoom(a, took)
		}
	case TimedOut, Cancelled:
		if ratio > 1 && a.passed < passedBy {
			s.pace.add(now, paceMemory*g.shortAim(), ratio)
		}
	}
	quick := (o.Ending == Errored || o.Ending == TurnedAway) && !late // tells nothing of the load
	if o.Ending != NeverSent && o.Ending != Cancelled && !quick {
		g.count(a, late)
		g.groups[g.groupOf(r)].told.own[groupR] += min(took, class.Deadline).Seconds()
	}
	if o.Ending == Served {
		g.trueUp(r, o.Units)
	}
	if o.Closed || o.Ending == Served || r.closed {
		g.finish(r)
		return
	}
	if o.Spent { // there is nothing left to be sent again
		r.attempts = max(r.attempts, g.set.MaxAttempts)
	}
	if o.Ending != TurnedAway && o.Ending != NotConnected && o.Ending != NeverSent {
		r.mayHave = append(r.mayHave, a)
	}
	if len(r.out) == 0 && !r.streaming {
		g.again(r)
	}
	g.pump()
}

// turnedAway remembers that a server turned a group away, and tells whether it is full for all. Where it is
// one plan or one class only, that is a limit on them: they go elsewhere.
func (g *Gateway) turnedAway(s *server, r *request) bool {
	if s.away == nil {
		s.away = make([]Time, len(g.groups))
	}
	s.away[g.groupOf(r)] = g.now + awayFor*g.shortAim()
	plans, classes := false, len(g.set.Classes) == 1
	for i, until := range s.away {
		if until > g.now {
			plans = plans || i%len(g.set.Plans) != r.Plan
			classes = classes || i/len(g.set.Plans) != r.Class
		}
	}
	return plans && classes
}

// again decides what follows when no attempt is left: one more, or the final answer.
func (g *Gateway) again(r *request) {
	left := r.Deadline - g.now - 2*g.set.Tick
	if r.attempts < max(1, g.set.MaxAttempts) && g.retries >= 1 && left.Seconds() > g.expect(r) &&
		slices.ContainsFunc(g.servers, func(s *server) bool {
			return s.listed && g.mayRunOn(r, s, r.attempts)
		}) {
		g.retries--
		g.dispatch(r)
		return
	}
	g.giveUp(r)
}

// giveUp gives the final answer that rule 2 permits.
func (g *Gateway) giveUp(r *request) {
	if len(r.mayHave) == 0 && len(r.out) == 0 || g.set.Classes[r.Class].Effect == Safe {
		g.host.Refuse(r.ID, min(g.set.MaxDelay, g.set.Classes[r.Class].Aim/comeAgain))
	} else {
		g.host.Fail(r.ID)
	}
	g.finish(r)
}

func (g *Gateway) finish(r *request) {
	if !r.closed && (r.attempts == 0 || r.Coming) && r.drawn {
		g.draw(r, -1)
	}
	r.closed = true
	r.hold(false)
	delete(g.asks, r.token)
	if len(r.out) == 0 {
		delete(g.requests, r.ID)
	}
}

// hedge sends a second copy of what has waited half its aim, where that is allowed and the fleet has room.
func (g *Gateway) hedge(r *request) {
	if g.copies < 1 || g.pressed || len(g.cuts) > 0 {
		return
	}
	if s := g.pick(r); s == nil || r.wasTried(s) {
		return
	}
	g.copies--
	g.dispatch(r)
}

// abandon ends a request's only attempt for another elsewhere, where no second copy may be out beside it:
// later ones have passed it and it takes far longer than it should, so its connection fell silent, or its
// server has it no more. While nobody has passed it, it is looked at again.
func (g *Gateway) abandon(r *request) {
	if left := r.arrived + g.set.Classes[r.Class].Aim - g.now; g.retries < 1 || left < g.need(r) {
		return
	}
	a := r.out[0]
	if wait := a.sent + lostAfter*g.need(r) - g.now; wait > 0 || a.passed < passedBy {
		g.host.Timer(uint64(r.ID)<<tagBits|tagHedge, max(wait, g.need(r)/2, g.set.Tick))
	} else if s := g.pick(r); s != nil && !r.wasTried(s) {
		g.host.Cancel(r.ID, a.no)
	}
}

// pump tries held requests again, oldest first.
func (g *Gateway) pump() {
	list := g.held
	g.held = nil
	for _, r := range list {
		if r.closed {
			continue
		}
		if r.attempts == 0 && r.arrived+g.set.Classes[r.Class].Aim-g.now < g.need(r) {
			g.giveUp(r)
			continue
		}
		g.dispatch(r)
	}
}

// ClientGone tells that the client left: no answer is owed.
func (g *Gateway) ClientGone(now Time, id RequestID) {
	g.tick(now)
	if r := g.requests[id]; r != nil {
		g.finish(r)
	}
}

// Timer takes a timer in. One that nothing needs any more does nothing.
func (g *Gateway) Timer(now Time, tag uint64) {
	g.tick(now)
	r := g.requests[RequestID(tag>>tagBits)]
	switch kind := tag & (1<<tagBits - 1); {
	case tag == tagBeat:
		g.onBeat()
	case tag == tagTell:
		g.tell()
	case tag == tagWatch && !g.watching && g.set.Subscribe:
		g.host.Watch()
	case tag == tagPump:
		g.holding = false
		g.pump()
	case r == nil || r.closed || r.streaming:
	case kind == tagFinal && (r.Coming && len(r.out) > 0 || now < r.Deadline-2*g.set.Tick): // put off
	case kind == tagFinal:
		g.giveUp(r)
	case kind == tagHedge && (r.Coming || len(r.out) != 1 || r.attempts >= g.set.MaxAttempts): // too late
	case kind == tagHedge && g.set.SecondCopies:
		g.hedge(r)
	case kind == tagHedge:
		g.abandon(r)
	case kind == tagAsk && g.asks[r.token] == r:
		g.ask(r)
	}
}

// ---- Peers ----

// tell passes news of the customers' use on to the peers near by, and now and then a share of all demand.
func (g *Gateway) tell() {
	every, peers := tellNews, g.near
	if most := intakeShare * g.set.PeerIntake; most > 0 {
		every = max(every, time.Duration(float64(len(peers))/most*float64(time.Second)))
	}
	g.host.Timer(tagTell, every)
	for ; len(peers) > 0; peers = peers[1:] {
		var list [sections][]entry
		to := peers[0]
		full := g.now-g.toldAt[to] >= tellEvery
		for i := 0; full && i < len(g.groups); i++ {
			t := &g.groups[i].told
			t.fade(g.now, countsOver, 0)
			list[ofGroups] = append(list[ofGroups],
				entry{name: uint64(i), mass: t.split(float64(len(peers)), float64(g.set.Gateways))})
		}
		if full {
			g.renewOut(to)
		}
		room := messageBytes - messageHead - sections - len(g.groups)*entryBytes(ofGroups)
		for _, c := range g.untold { // in turn
			if c.untold>>g.slot(to)&1 == 0 || room < entryBytes(ofCustomers) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(peers), func(p int) bool { return !g.serves(p, c) })
			g.refill(c, 0)
			c.told.fade(g.now, g.memory(c.plan), 1)
			mass := c.told.split(float64(len(others)), float64(c.set))
			h, store := &c.heard[g.slot(to)], c.account/math.Max(g.set.Plans[c.plan].Burst, 1e-9)
			word := c.ceiling.Word(g.share(c), h.lacks, c.set)
			e := entry{c.name, mass, c.made, c.used, store, word, byte(min(255, c.out+c.waiting))}
			list[ofCustomers], room = append(list[ofCustomers], e), room-e.bytes()
			c.untold &^= 1 << g.slot(to)
			h.told, h.lacks = c.used, 0
		}
		if full || len(list[ofCustomers]) > 0 {
			g.host.Tell(to, packMessage(g.now-g.born, g.elders, g.means, list))
		}
		if full {
			g.toldAt[to] = g.now
		}
	}
	g.untold = slices.DeleteFunc(g.untold, func(c *customer) bool { return c.untold == 0 })
}

// PeerMessage takes a peer's shares in. Anything odd is dropped whole, and so is what comes twice or late.
func (g *Gateway) PeerMessage(now Time, from int, m []byte) {
	g.tick(now)
	if from < 0 || from >= g.set.Gateways || from == g.set.Me {
		return
	}
	if q, ok := unpackAsk(m, from); ok {
		if c := g.answer(q); c != nil {
			g.host.Tell(from, packAnswer(q.token, c.inside))
		}
		return
	}
	if name, units, ok := unpackSettle(m); ok {
		g.settleAtHome(from, name, units)
		return
	}
	if token, inside, ok := unpackAnswer(m); ok {
		if r := g.asks[token]; r != nil && r.home == from {
			g.settle(r, inside)
		}
		return
	}
	age, elders, list, ok := g.unpack(m)
	last, before := g.peerAge[from], g.peerHeard[from] != 0
	if !ok || before && age <= last && last-age < staleTells*tellEvery {
		return
	}
	if before && !g.hears(from) {
		g.peerBack[from] = now
	}
	late := g.lateBy(from, age, age < last || !before)
	if age < last || !before { // another life, which knows nothing yet: it hears of all
		g.lives[from]++
		for _, c := range g.customers {
			g.news(c, from)
		}
	}
	g.peerAge[from], g.peerHeard[from], g.heard = age, now, now
	if !g.elders && (elders || age > now-g.born+staleTells*tellEvery) { // those near are to know it, too
		g.elders = true
		clear(g.toldAt)
	}
	for _, e := range list[ofGroups] {
		if e.name < uint64(len(g.groups)) {
			g.groups[e.name].told.take(now, countsOver, 0, e.mass)
		}
	}
	for _, e := range list[ofCustomers] { // no peer alone may thin a sum out
		if c := g.record(e.name); c != nil && g.serves(g.set.Me, c) && g.serves(from, c) {
			e.mass[1] = math.Min(e.mass[1], 1)
			c.told.take(now, g.memory(c.plan), 1, e.mass)
			g.hearUse(c, from, e, late)
		}
	}
}
