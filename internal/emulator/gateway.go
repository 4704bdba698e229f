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
	run         *run
	index       int
	up          bool
	incarnation int
	balancer    balancer
	pending     map[policy.RequestID]*pendingRequest

	room          int
	recovery      *recovery.Recovery
	loads         *inflight.Tracker // nil: the fleet is small
	listed        map[policy.ServerID]bool
	listChanged   bool                       // the list is another than the board's
	idleConns     map[policy.ServerID][]Time // kept connections, since when
	received      int                        // datagrams in this second
	downSince     Time                       // since when it is
	pausedUntil   Time                       // until when its process is stopped
	unroutedUntil Time                       // until when clients don't come
	clockOffset   time.Duration              // of the members' clock
	noListsUntil  Time                       // until when discovery tells it nothing
	receivedSince Time
}

// bootTime is how long after a run's beginning the gateways' first lives are left out of what starts took.
const firstStarts = 5 * time.Second

// connKept is how long an idle connection is kept.
const idleConnTimeout = 20 * time.Second

// connectWait is how long a connection that doesn't come up is waited for.
const connectTimeout = 250 * time.Millisecond

type pendingRequest struct {
	request  *request
	sent     int
	attempts map[int]func(policy.Ending) // those out, by number: what ends one
}

func (g *gateway) boot() {
	set := g.run.Settings
	set.Self, set.Gateways, set.Zone = g.index, g.run.Gateways, g.room
	seed := g.run.Seed<<20 | uint64(g.incarnation)<<10 | uint64(g.index)
	var balancer balancer
	if g.run.Plain {
		balancer = newPlain(set, seed)
	} else {
		gateway, err := policy.New(set, seed)
		if err != nil {
			panic(err) // the scenario was checked
		}
		balancer = gateway
	}
	g.balancer, g.up, g.pending = balancer, true, map[policy.RequestID]*pendingRequest{}
	g.incarnation++
	balancer.Attach(g)
	g.recovery = recovery.New(g.run.engine.now, recovery.Options{PauseThreshold: set.ShortestTarget(), NearbyGateways: len(set.NearbyPeers())})
	g.idleConns, g.listed = map[policy.ServerID][]Time{}, map[policy.ServerID]bool{}
	g.loads = inflight.New(g.index, g.run.Gateways, set.PeerMessageRate)
	var list []policy.ServerInfo
	for _, m := range g.run.members {
		m.checked.Told(g.index, g.run.engine.now, true) // as a new life it is told all anew
		if m.state == policy.Departed {
			m.checked.Told(g.index, g.run.engine.now, false)
			continue
		}
		list = append(list, g.withOwnClock(m.info()))
		g.noteListed(m.info())
	}
	balancer.Servers(g.run.engine.now, policy.ListFull, list)
	if g.loads != nil {
		g.after(time.Duration(g.run.links.Float64()*float64(g.loads.Interval())), g.exchangeLoads)
	}
}

// dated gives an entry as this gateway's clock has it: the model's modules all read one clock.
func (g *gateway) withOwnClock(info policy.ServerInfo) policy.ServerInfo {
	if info.StartedAt != 0 {
		info.StartedAt = max(1, info.StartedAt-g.clockOffset)
	}
	return info
}

// list takes an entry of the list in.
func (g *gateway) noteListed(info policy.ServerInfo) {
	takes := info.State == policy.Ready
	g.run.members[info.ID-1].checked.Told(g.index, g.run.engine.now, takes)
	if takes {
		g.listed[info.ID], g.listChanged = true, true
	} else {
		delete(g.listed, info.ID)
		delete(g.idleConns, info.ID)
		g.listChanged = true
	}
}

// windows tells the board of the list.
func (g *gateway) updateLoads() {
	g.listChanged = false
	var list []inflight.Member
	for _, m := range g.run.members { // in order: a map's would differ from run to run
		if g.listed[m.id] {
			list = append(list, inflight.Member{ID: m.id, Instance: fmt.Sprintf("member-%d", m.id)})
		}
	}
	g.loads.SetMembers(list)
}

// round tells the neighbours what is out, and weighs what they have told.
func (g *gateway) exchangeLoads() {
	now := g.run.engine.now
	if g.listChanged {
		g.updateLoads()
	}
	g.loads.SetLocal(g.balancer.OwnLoads(now))
	peers, m := g.loads.NextReport(now)
	for _, p := range peers {
		g.SendToPeer(p, m)
	}
	g.balancer.SetPeerLoads(now, g.loads.Loads(now))
	g.after(g.loads.Interval(), g.exchangeLoads)
}

// restart kills the gateway and starts it again so much later.
func (g *gateway) restart(after time.Duration) {
	if !g.up {
		return // it is being started already
	}
	g.up, g.downSince, g.pausedUntil = false, g.run.engine.now, 0
	g.incarnation++
	for _, l := range g.pending {
		if !l.request.Final {
			l.request.Lost = true
			g.run.Lost++
		}
		for range l.attempts { // also of what was answered while an attempt was out
			g.run.checker.Holds(&l.request.Request, -1)
		}
	}
	g.run.engine.After(after, g.boot)
}

// stall stops the gateway's process for a while. What ends meanwhile can't be answered, which is no rule.
func (g *gateway) stall(d time.Duration) {
	g.pausedUntil = g.run.engine.now + d
	for _, l := range g.pending {
		g.countMissed(l.request)
	}
}

// missed notes that a request ends while the process stands still.
func (g *gateway) countMissed(q *request) {
	if !q.Final && !q.Lost && q.Deadline <= g.pausedUntil {
		q.Lost = true
		g.run.Lost++
	}
}

func (g *gateway) receiveList(info policy.ServerInfo) {
	if left := g.pausedUntil - g.run.engine.now; left > 0 {
		g.after(left, func() { g.receiveList(info) })
		return
	}
	g.event()
	g.recovery.Received(recovery.Discovery)
	g.noteListed(info)
	g.balancer.Servers(g.run.engine.now, policy.ListChanges, []policy.ServerInfo{g.withOwnClock(info)})
}

func (g *gateway) receiveRequest(q *request) {
	if left := g.pausedUntil - g.run.engine.now; left > 0 {
		if g.countMissed(q); q.Lost {
			delete(g.run.requests, q.ID)
			return
		}
		g.run.engine.After(left, func() {
			if g.up {
				g.receiveRequest(q)
				return
			}
			q.Lost = true
			g.run.Lost++
		})
		return
	}
	g.run.checker.Note(g.run.engine.now, &q.Request, "taken")
	g.pending[q.ID] = &pendingRequest{request: q, attempts: map[int]func(policy.Ending){}}
	g.run.record('a', uint64(q.ID), uint64(g.index))
	g.event()
	in := q.Request.Request
	waited, wait := g.recovery.RequestRead(g.run.engine.now, q.Deadline-g.run.engine.now)
	if in.Deadline -= waited; wait <= 0 {
		g.balancer.Request(g.run.engine.now, in)
		return
	}
	g.after(wait, func() { g.balancer.Request(g.run.engine.now, in) })
}

// event notes that something happens here, and that the process stood still before it where it did.
func (g *gateway) event() {
	if pause := g.recovery.Event(g.run.engine.now); pause > 0 {
		g.balancer.Resumed(g.run.engine.now, pause)
	}
	if now := g.run.engine.now; g.recovery.CheckDue(now) {
		f := g.balancer.Stats(now)
		first := g.recovery.TimeToFullService() == 0
		if g.recovery.Check(g.run.engine.now, recovery.Observation{Members: f.ListedServers, NearbyReachable: f.NearbyAlive, Queued: f.QueuedRequests}); first && g.recovery.TimeToFullService() > 0 && g.run.engine.now > Origin+firstStarts {
			g.run.Took = append(g.run.Took, g.recovery.TimeToFullService()+g.run.Boot)
		}
	}
}

// later lets something happen to this life of the gateway, once its process goes on where it stands still.
func (g *gateway) after(d time.Duration, do func()) {
	incarnation := g.incarnation
	var happen func()
	happen = func() {
		if left := g.pausedUntil - g.run.engine.now; left > 0 {
			g.run.engine.After(left, happen)
		} else if g.up && g.incarnation == incarnation {
			g.event()
			do()
		}
	}
	g.run.engine.After(d, happen)
}

func (g *gateway) linkDelay() time.Duration {
	return g.run.Link + time.Duration(g.run.links.Float64()*float64(g.run.Link)/2)
}

// Send implements policy.Host.
func (g *gateway) Send(id policy.RequestID, to policy.ServerID, until policy.Time) {
	l := g.pending[id]
	if l == nil || l.request.Final {
		return
	}
	attempt, m, now, incarnation := l.sent, g.run.members[to-1], g.run.engine.now, g.incarnation
	l.sent++
	g.run.Sends++
	g.run.checker.Note(now, &l.request.Request, "sent")
	g.run.checker.Draws(now, &l.request.Request)
	g.run.checker.Sent(now, &l.request.Request, attempt, &m.checked, len(l.attempts))
	g.run.checker.Holds(&l.request.Request, 1)
	g.run.record('s', uint64(id), uint64(to))
	end := func(how policy.Ending) {
		if _, out := l.attempts[attempt]; !out {
			return
		}
		delete(l.attempts, attempt)
		g.run.checker.Holds(&l.request.Request, -1)
		if how == policy.Rejected || how == policy.NotConnected {
			l.request.Never(attempt)
		}
		units := 0.0
		if how == policy.Served {
			units = l.request.reportedUnits()
		}
		if how == policy.Served && !l.request.Final {
			g.answer(l, "served")
		}
		g.run.record('e', uint64(id), uint64(how))
		g.balancer.Outcome(g.run.engine.now, policy.Outcome{ID: id, Attempt: attempt, Server: to, Elapsed: g.run.engine.now - now, Ending: how, Answered: l.request.Final, Units: units, LoadReport: g.run.reportedLoad(m)})
		g.release(id, l)
	}
	l.attempts[attempt] = end
	if g.run.unreachable(g, m) {
		g.after(connectTimeout, func() { end(policy.NotConnected) })
		return
	}
	kept := g.idleConns[to]
	if n := len(kept) - 1; n >= 0 && now-kept[n] < idleConnTimeout {
		g.idleConns[to] = kept[:n]
	} else {
		g.idleConns[to] = nil
		g.run.Dials++
		g.run.PeakDials = g.run.peaks[0].count(now, g.run.PeakDials)
	}
	g.run.engine.After(g.linkDelay(), func() { // under way it reaches the member even if the gateway dies
		g.run.arriveAtMember(g, m, l.request)
		m.accept(g.run.workSize(l.request), func(how policy.Ending) {
			if g.incarnation == incarnation && !g.run.unreachable(g, m) { // else its connection went with the life that opened it
				if how != policy.NotConnected && g.listed[to] {
					g.idleConns[to] = append(g.idleConns[to], g.run.engine.now)
				}
				g.after(g.linkDelay(), func() { end(how) })
			}
		})
	})
	g.after(until-now, func() { end(policy.TimedOut) })
}

func (g *gateway) release(id policy.RequestID, l *pendingRequest) {
	if l.request.Final && len(l.attempts) == 0 {
		delete(g.pending, id)
		delete(g.run.requests, id)
	}
}

func (g *gateway) answer(l *pendingRequest, how string) {
	if l.request.Lost { // its client has gone
		l.request.Final = true
		return
	}
	g.run.checker.Answered(g.run.engine.now, &l.request.Request, how)
	g.run.record('f', uint64(l.request.ID), uint64(how[0]))
	switch how {
	case "served":
		g.run.Served++
		if first := l.request.first; g.run.engine.now-first.arrivedAt <= g.run.Settings.Classes[l.request.Class].LatencyTarget && first.value > 0 && !first.inTime {
			first.inTime = true
			g.run.InTime += first.value
			g.run.addToSecond(&g.run.served, first)
		}
	case "refused":
		g.run.Refused++
	default:
		g.run.Failed++
	}
}

// Refuse implements policy.Host.
func (g *gateway) Refuse(id policy.RequestID, wait time.Duration) {
	if l := g.pending[id]; l != nil && !l.request.Final {
		g.run.checker.Refused(g.run.engine.now, &l.request.Request)
		g.answer(l, "refused")
		g.run.retry(l.request, wait)
		g.after(0, func() { g.release(id, l) })
	}
}

// Fail implements policy.Host.
func (g *gateway) Fail(id policy.RequestID) {
	if l := g.pending[id]; l != nil && !l.request.Final {
		g.answer(l, "failed")
		if g.run.idempotency(l.request) == policy.Idempotent {
			g.run.retry(l.request, 0)
		}
		g.after(0, func() { g.release(id, l) })
	}
}

// Cancel implements policy.Host: the connection is closed, and the member works on.
func (g *gateway) Cancel(id policy.RequestID, attempt int) {
	if l := g.pending[id]; l != nil && l.attempts[attempt] != nil {
		end := l.attempts[attempt]
		g.after(0, func() { end(policy.Cancelled) })
	}
}

// Timer implements policy.Host.
func (g *gateway) Timer(tag uint64, after time.Duration) {
	balancer := g.balancer
	g.after(after, func() { balancer.Timer(g.run.engine.now, tag) })
}

// Tell implements policy.Host.
func (g *gateway) SendToPeer(peer int, message []byte) {
	if peer >= 0 {
		g.sendTo(g.run.gateways[peer], message)
		return
	}
	for _, p := range g.run.gateways {
		g.sendTo(p, message)
	}
}

func (g *gateway) sendTo(p *gateway, message []byte) {
	if p == g {
		return
	}
	g.run.Told++
	g.run.PeakTold = g.run.peaks[1].count(g.run.engine.now, g.run.PeakTold)
	if g.run.losesMessage(g.index, p.index) || g.run.partitioned(g.room, p.room) {
		return
	}
	delay, changed, copies := g.run.disturb(p.index, message)
	for range copies {
		g.run.engine.After(g.linkDelay()+delay, func() { p.receive(g.index, changed) })
	}
}

// hears takes in what a peer tells, once the process goes on where it stands still, as far as its intake allows.
func (g *gateway) receive(from int, message []byte) {
	now := g.run.engine.now
	if left := g.pausedUntil - now; left > 0 && g.up {
		g.run.engine.After(left, func() { g.receive(from, message) })
		return
	}
	if !g.up {
		return
	}
	g.event()
	if now-g.receivedSince >= time.Second {
		g.receivedSince, g.received = now, 0
	}
	g.received++
	g.run.MostHeard = max(g.run.MostHeard, g.received)
	if most := g.run.Settings.PeerMessageRate; most > 0 && float64(g.received) > most {
		g.run.Dropped++
		return
	}
	if len(message) > 0 && message[0] == inflight.Kind && g.loads != nil {
		g.loads.Receive(now, from, message)
	} else {
		g.balancer.PeerMessage(now, from, message)
	}
}

// Watch implements policy.Host: lists are always told.
func (g *gateway) Watch() {}

// Log implements policy.Host.
func (g *gateway) Log(string) {}
