package emulator

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/inflight"
	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// gateway is a host of the real decision module and of the board of what neighbours have out: it carries their orders out
// over the model's links. Its assumptions: decisions take no time; a message to a member or a peer takes the link's time
// with up to half as much again by chance; what a gateway is told beyond its intake of a second is dropped; a connection
// that has served is kept for a while; a gateway that is killed loses what it has taken, and its peers and the front know
// at once that it is down.
type gateway struct {
	r    *run
	me   int
	up   bool
	life int
	mod  module
	open map[policy.RequestID]*live

	room     int
	back     *recovery.Recovery
	board    *inflight.Tracker // nil: the fleet is small
	listed   map[policy.ServerID]bool
	moved    bool                       // the list is another than the board's
	idle     map[policy.ServerID][]Time // kept connections, since when
	heard    int                        // datagrams in this second
	down     Time                       // since when it is
	still    Time                       // until when its process is stopped
	shutTo   Time                       // until when clients don't come
	ahead    time.Duration              // of the members' clock
	silentTo Time                       // until when discovery tells it nothing
	second   Time
}

// bootTime is how long after a run's beginning the gateways' first lives are left out of what starts took.
const bootTime = 5 * time.Second

// connKept is how long an idle connection is kept.
const connKept = 20 * time.Second

// connectWait is how long a connection that doesn't come up is waited for.
const connectWait = 250 * time.Millisecond

type live struct {
	q     *request
	sent  int
	flows map[int]func(policy.Ending) // those out, by number: what ends one
}

func (g *gateway) boot() {
	set := g.r.Settings
	set.Self, set.Gateways, set.Zone = g.me, g.r.Gateways, g.room
	seed := g.r.Seed<<20 | uint64(g.life)<<10 | uint64(g.me)
	var mod module
	if g.r.Plain {
		mod = newPlain(set, seed)
	} else {
		gateway, err := policy.New(set, seed)
		if err != nil {
			panic(err) // the scenario was checked
		}
		mod = gateway
	}
	g.mod, g.up, g.open = mod, true, map[policy.RequestID]*live{}
	g.life++
	mod.Attach(g)
	g.back = recovery.New(g.r.e.now, recovery.Options{PauseThreshold: set.ShortestTarget(), NearbyGateways: len(set.NearbyPeers())})
	g.idle, g.listed = map[policy.ServerID][]Time{}, map[policy.ServerID]bool{}
	g.board = inflight.New(g.me, g.r.Gateways, set.PeerMessageRate)
	var list []policy.ServerInfo
	for _, m := range g.r.members {
		m.seen.Told(g.me, g.r.e.now, true) // as a new life it is told all anew
		if m.state == policy.Departed {
			m.seen.Told(g.me, g.r.e.now, false)
			continue
		}
		list = append(list, g.dated(m.info()))
		g.list(m.info())
	}
	mod.Servers(g.r.e.now, policy.ListFull, list)
	if g.board != nil {
		g.later(time.Duration(g.r.links.Float64()*float64(g.board.Interval())), g.round)
	}
}

// dated gives an entry as this gateway's clock has it: the model's modules all read one clock.
func (g *gateway) dated(info policy.ServerInfo) policy.ServerInfo {
	if info.StartedAt != 0 {
		info.StartedAt = max(1, info.StartedAt-g.ahead)
	}
	return info
}

// list takes an entry of the list in.
func (g *gateway) list(info policy.ServerInfo) {
	takes := info.State == policy.Ready
	g.r.members[info.ID-1].seen.Told(g.me, g.r.e.now, takes)
	if takes {
		g.listed[info.ID], g.moved = true, true
	} else {
		delete(g.listed, info.ID)
		delete(g.idle, info.ID)
		g.moved = true
	}
}

// windows tells the board of the list.
func (g *gateway) windows() {
	g.moved = false
	var list []inflight.Member
	for _, m := range g.r.members { // in order: a map's would differ from run to run
		if g.listed[m.id] {
			list = append(list, inflight.Member{ID: m.id, Instance: fmt.Sprintf("member-%d", m.id)})
		}
	}
	g.board.SetMembers(list)
}

// round tells the neighbours what is out, and weighs what they have told.
func (g *gateway) round() {
	now := g.r.e.now
	if g.moved {
		g.windows()
	}
	g.board.SetLocal(g.mod.OwnLoads(now))
	peers, m := g.board.NextReport(now)
	for _, p := range peers {
		g.SendToPeer(p, m)
	}
	g.mod.SetPeerLoads(now, g.board.Loads(now))
	g.later(g.board.Interval(), g.round)
}

// restart kills the gateway and starts it again so much later.
func (g *gateway) restart(after time.Duration) {
	if !g.up {
		return // it is being started already
	}
	g.up, g.down, g.still = false, g.r.e.now, 0
	g.life++
	for _, l := range g.open {
		if !l.q.Final {
			l.q.Lost = true
			g.r.Lost++
		}
		for range l.flows { // also of what was answered while an attempt was out
			g.r.referee.Holds(&l.q.Request, -1)
		}
	}
	g.r.e.After(after, g.boot)
}

// stall stops the gateway's process for a while. What ends meanwhile can't be answered, which is no rule.
func (g *gateway) stall(d time.Duration) {
	g.still = g.r.e.now + d
	for _, l := range g.open {
		g.missed(l.q)
	}
}

// missed notes that a request ends while the process stands still.
func (g *gateway) missed(q *request) {
	if !q.Final && !q.Lost && q.Deadline <= g.still {
		q.Lost = true
		g.r.Lost++
	}
}

func (g *gateway) told1(info policy.ServerInfo) {
	if left := g.still - g.r.e.now; left > 0 {
		g.later(left, func() { g.told1(info) })
		return
	}
	g.event()
	g.back.Received(recovery.Discovery)
	g.list(info)
	g.mod.Servers(g.r.e.now, policy.ListChanges, []policy.ServerInfo{g.dated(info)})
}

func (g *gateway) ask(q *request) {
	if left := g.still - g.r.e.now; left > 0 {
		if g.missed(q); q.Lost {
			delete(g.r.all, q.ID)
			return
		}
		g.r.e.After(left, func() {
			if g.up {
				g.ask(q)
				return
			}
			q.Lost = true
			g.r.Lost++
		})
		return
	}
	g.r.referee.Note(g.r.e.now, &q.Request, "taken")
	g.open[q.ID] = &live{q: q, flows: map[int]func(policy.Ending){}}
	g.r.mark('a', uint64(q.ID), uint64(g.me))
	g.event()
	in := q.Request.Request
	lain, wait := g.back.RequestRead(g.r.e.now, q.Deadline-g.r.e.now)
	if in.Deadline -= lain; wait <= 0 {
		g.mod.Request(g.r.e.now, in)
		return
	}
	g.later(wait, func() { g.mod.Request(g.r.e.now, in) })
}

// event notes that something happens here, and that the process stood still before it where it did.
func (g *gateway) event() {
	if still := g.back.Event(g.r.e.now); still > 0 {
		g.mod.Resumed(g.r.e.now, still)
	}
	if now := g.r.e.now; g.back.CheckDue(now) {
		f := g.mod.Stats(now)
		first := g.back.TimeToFullService() == 0
		if g.back.Check(g.r.e.now, recovery.Observation{Members: f.ListedServers, NearbyReachable: f.NearbyAlive, Queued: f.QueuedRequests}); first && g.back.TimeToFullService() > 0 && g.r.e.now > Origin+bootTime {
			g.r.Took = append(g.r.Took, g.back.TimeToFullService()+g.r.Boot)
		}
	}
}

// later lets something happen to this life of the gateway, once its process goes on where it stands still.
func (g *gateway) later(d time.Duration, do func()) {
	life := g.life
	var happen func()
	happen = func() {
		if left := g.still - g.r.e.now; left > 0 {
			g.r.e.After(left, happen)
		} else if g.up && g.life == life {
			g.event()
			do()
		}
	}
	g.r.e.After(d, happen)
}

func (g *gateway) way() time.Duration {
	return g.r.Link + time.Duration(g.r.links.Float64()*float64(g.r.Link)/2)
}

// Send implements policy.Host.
func (g *gateway) Send(id policy.RequestID, to policy.ServerID, until policy.Time) {
	l := g.open[id]
	if l == nil || l.q.Final {
		return
	}
	no, m, now, life := l.sent, g.r.members[to-1], g.r.e.now, g.life
	l.sent++
	g.r.Sends++
	g.r.referee.Note(now, &l.q.Request, "sent")
	g.r.referee.Draws(now, &l.q.Request)
	g.r.referee.Sent(now, &l.q.Request, no, &m.seen, len(l.flows))
	g.r.referee.Holds(&l.q.Request, 1)
	g.r.mark('s', uint64(id), uint64(to))
	end := func(how policy.Ending) {
		if _, out := l.flows[no]; !out {
			return
		}
		delete(l.flows, no)
		g.r.referee.Holds(&l.q.Request, -1)
		if how == policy.Rejected || how == policy.NotConnected {
			l.q.Never(no)
		}
		units := 0.0
		if how == policy.Served {
			units = l.q.told()
		}
		if how == policy.Served && !l.q.Final {
			g.final(l, "served")
		}
		g.r.mark('e', uint64(id), uint64(how))
		g.mod.Outcome(g.r.e.now, policy.Outcome{ID: id, Attempt: no, Server: to, Elapsed: g.r.e.now - now, Ending: how, Answered: l.q.Final, Units: units, LoadReport: g.r.shows(m)})
		g.close(id, l)
	}
	l.flows[no] = end
	if g.r.parted(g, m) {
		g.later(connectWait, func() { end(policy.NotConnected) })
		return
	}
	kept := g.idle[to]
	if n := len(kept) - 1; n >= 0 && now-kept[n] < connKept {
		g.idle[to] = kept[:n]
	} else {
		g.idle[to] = nil
		g.r.Dials++
		g.r.PeakDials = g.r.tenth[0].count(now, g.r.PeakDials)
	}
	g.r.e.After(g.way(), func() { // under way it reaches the member even if the gateway dies
		g.r.arrives(g, m, l.q)
		m.take(g.r.size(l.q), func(how policy.Ending) {
			if g.life == life && !g.r.parted(g, m) { // else its connection went with the life that opened it
				if how != policy.NotConnected && g.listed[to] {
					g.idle[to] = append(g.idle[to], g.r.e.now)
				}
				g.later(g.way(), func() { end(how) })
			}
		})
	})
	g.later(until-now, func() { end(policy.TimedOut) })
}

func (g *gateway) close(id policy.RequestID, l *live) {
	if l.q.Final && len(l.flows) == 0 {
		delete(g.open, id)
		delete(g.r.all, id)
	}
}

func (g *gateway) final(l *live, how string) {
	if l.q.Lost { // its client has gone
		l.q.Final = true
		return
	}
	g.r.referee.Answered(g.r.e.now, &l.q.Request, how)
	g.r.mark('f', uint64(l.q.ID), uint64(how[0]))
	switch how {
	case "served":
		g.r.Served++
		if first := l.q.first; g.r.e.now-first.at <= g.r.Settings.Classes[l.q.Class].LatencyTarget && first.worth > 0 && !first.inTime {
			first.inTime = true
			g.r.InTime += first.worth
			g.r.second(&g.r.served, first)
		}
	case "refused":
		g.r.Refused++
	default:
		g.r.Failed++
	}
}

// Refuse implements policy.Host.
func (g *gateway) Refuse(id policy.RequestID, wait time.Duration) {
	if l := g.open[id]; l != nil && !l.q.Final {
		g.r.referee.Refused(g.r.e.now, &l.q.Request)
		g.final(l, "refused")
		g.r.comesAgain(l.q, wait)
		g.later(0, func() { g.close(id, l) })
	}
}

// Fail implements policy.Host.
func (g *gateway) Fail(id policy.RequestID) {
	if l := g.open[id]; l != nil && !l.q.Final {
		g.final(l, "failed")
		if g.r.effect(l.q) == policy.Idempotent {
			g.r.comesAgain(l.q, 0)
		}
		g.later(0, func() { g.close(id, l) })
	}
}

// Cancel implements policy.Host: the connection is closed, and the member works on.
func (g *gateway) Cancel(id policy.RequestID, no int) {
	if l := g.open[id]; l != nil && l.flows[no] != nil {
		end := l.flows[no]
		g.later(0, func() { end(policy.Cancelled) })
	}
}

// Timer implements policy.Host.
func (g *gateway) Timer(tag uint64, after time.Duration) {
	mod := g.mod
	g.later(after, func() { mod.Timer(g.r.e.now, tag) })
}

// Tell implements policy.Host.
func (g *gateway) SendToPeer(peer int, message []byte) {
	if peer >= 0 {
		g.tell(g.r.gateways[peer], message)
		return
	}
	for _, p := range g.r.gateways {
		g.tell(p, message)
	}
}

func (g *gateway) tell(p *gateway, message []byte) {
	if p == g {
		return
	}
	g.r.Told++
	g.r.PeakTold = g.r.tenth[1].count(g.r.e.now, g.r.PeakTold)
	if g.r.loses(g.me, p.me) || g.r.apart(g.room, p.room) {
		return
	}
	later, became, times := g.r.bent(p.me, message)
	for range times {
		g.r.e.After(g.way()+later, func() { p.hears(g.me, became) })
	}
}

// hears takes in what a peer tells, once the process goes on where it stands still, as far as its intake allows.
func (g *gateway) hears(from int, message []byte) {
	now := g.r.e.now
	if left := g.still - now; left > 0 && g.up {
		g.r.e.After(left, func() { g.hears(from, message) })
		return
	}
	if !g.up {
		return
	}
	g.event()
	if now-g.second >= time.Second {
		g.second, g.heard = now, 0
	}
	g.heard++
	g.r.MostHeard = max(g.r.MostHeard, g.heard)
	if most := g.r.Settings.PeerMessageRate; most > 0 && float64(g.heard) > most {
		g.r.Dropped++
		return
	}
	if len(message) > 0 && message[0] == inflight.Kind && g.board != nil {
		g.board.Receive(now, from, message)
	} else {
		g.mod.PeerMessage(now, from, message)
	}
}

// Watch implements policy.Host: lists are always told.
func (g *gateway) Watch() {}

// Log implements policy.Host.
func (g *gateway) Log(string) {}
