package emulator

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/inflight"
	"sprucelane.example/sprucelane/internal/recovery"
	"sprucelane.example/sprucelane/policy"
)

// gateway models a gateway's process: it is the policy.Host of its balancer, and exchanges loads with the other
// gateways (internal/daemon/inflight) over the model's links. The model assumes:
//
//   - Decisions take no time.
//   - A message takes the link's delay plus a random part of up to half of that delay.
//   - Datagrams beyond Settings.PeerMessageRate in a second are dropped.
//   - A connection whose request was answered is kept idle for idleConnTimeout.
//   - A gateway that is killed loses its pending requests, and the front knows that it is down after
//     Scenario.DetectionDelay.
type gateway struct {
	run         *run
	index       int
	up          bool
	incarnation int
	balancer    balancer
	pending     map[policy.RequestID]*pendingRequest

	room          int
	recovery      *recovery.Recovery
	loads         *inflight.Tracker // in-flight attempts of all gateways; nil where the fleet is too small to need it
	listed        map[policy.ServerID]bool
	listChanged   bool                       // since the last call of updateLoads
	idleConns     map[policy.ServerID][]Time // when each idle connection became idle
	received      int                        // datagrams received since receivedSince
	downSince     Time
	pausedUntil   Time
	unroutedUntil Time          // the front sends it no requests until then
	clockOffset   time.Duration // how far its clock is ahead of the members'
	noListsUntil  Time
	receivedSince Time // start of the second that received counts
}

// startupPeriod is the time at the start of a run in which no time to full service is recorded, because
// Result.FullServiceTimes is about gateways that start while the others serve.
const startupPeriod = 5 * time.Second

// idleConnTimeout is how long an idle connection is kept.
const idleConnTimeout = 20 * time.Second

// connectTimeout is how long an attempt waits for its connection.
const connectTimeout = 250 * time.Millisecond

// pendingRequest is a request without a final answer, or with attempts in flight.
type pendingRequest struct {
	request  *request
	sent     int                         // attempts sent so far
	attempts map[int]func(policy.Ending) // attempts in flight, by number; the function ends the attempt
}

// boot starts a new incarnation, whose only knowledge is the server list.
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
			panic(err) // unreachable: Scenario.Check has validated the settings
		}
		balancer = gateway
	}
	g.balancer, g.up, g.pending = balancer, true, map[policy.RequestID]*pendingRequest{}
	g.incarnation++
	balancer.Attach(g)
	g.recovery = recovery.New(g.run.engine.now, recovery.Options{PauseThreshold: set.ShortestTarget(),
		NearbyGateways: len(set.NearbyPeers())})
	g.idleConns, g.listed = map[policy.ServerID][]Time{}, map[policy.ServerID]bool{}
	g.loads = inflight.New(g.index, g.run.Gateways, set.PeerMessageRate)
	var list []policy.ServerInfo
	for _, m := range g.run.members {
		m.checked.Told(g.index, g.run.engine.now, true) // a new incarnation receives the full list
		if m.state == policy.Departed {
			m.checked.Told(g.index, g.run.engine.now, false)
			continue
		}
		list = append(list, g.withOwnClock(m.info()))
		g.updateListed(m.info())
	}
	balancer.Servers(g.run.engine.now, policy.ListFull, list)
	if g.loads != nil {
		g.after(time.Duration(g.run.links.Float64()*float64(g.loads.Interval())), g.exchangeLoads)
	}
}

// withOwnClock shifts an entry's start time by this gateway's clock offset. The model itself runs at the members' time.
func (g *gateway) withOwnClock(info policy.ServerInfo) policy.ServerInfo {
	if info.StartedAt != 0 {
		info.StartedAt = max(1, info.StartedAt-g.clockOffset)
	}
	return info
}

// updateListed handles an entry of a server list.
func (g *gateway) updateListed(info policy.ServerInfo) {
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

// updateLoads passes the current server list to the exchange of loads.
func (g *gateway) updateLoads() {
	g.listChanged = false
	var list []inflight.Member
	for _, m := range g.run.members { // not over g.listed, because the iteration order of a map differs from run to run
		if g.listed[m.id] {
			list = append(list, inflight.Member{ID: m.id, Instance: fmt.Sprintf("member-%d", m.id)})
		}
	}
	g.loads.SetMembers(list)
}

// exchangeLoads sends this gateway's load to peers, and passes the load of the others to the balancer.
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

// restart kills the gateway, and starts it again after the given time.
func (g *gateway) restart(after time.Duration) {
	if !g.up {
		return // a start is already scheduled
	}
	g.up, g.downSince, g.pausedUntil = false, g.run.engine.now, 0
	g.incarnation++
	for _, l := range g.pending {
		if !l.request.Final {
			l.request.Lost = true
			g.run.Lost++
		}
		for range l.attempts { // includes requests that were answered while an attempt was in flight
			g.run.checker.Holds(&l.request.Request, -1)
		}
	}
	g.run.engine.After(after, g.boot)
}

// stall pauses the gateway's process for d. Requests whose deadline passes during the pause are counted as lost, which
// breaks no rule.
func (g *gateway) stall(d time.Duration) {
	g.pausedUntil = g.run.engine.now + d
	for _, l := range g.pending {
		g.countMissed(l.request)
	}
}

// countMissed counts a request as lost whose deadline passes while the process is paused.
func (g *gateway) countMissed(q *request) {
	if !q.Final && !q.Lost && q.Deadline <= g.pausedUntil {
		q.Lost = true
		g.run.Lost++
	}
}

// receiveList handles an update of the server list.
func (g *gateway) receiveList(info policy.ServerInfo) {
	if left := g.pausedUntil - g.run.engine.now; left > 0 {
		g.after(left, func() { g.receiveList(info) })
		return
	}
	g.beforeEvent()
	g.recovery.Received(recovery.Discovery)
	g.updateListed(info)
	g.balancer.Servers(g.run.engine.now, policy.ListChanges, []policy.ServerInfo{g.withOwnClock(info)})
}

// receiveRequest handles a client's request.
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
	g.beforeEvent()
	in := q.Request.Request
	waited, wait := g.recovery.RequestRead(g.run.engine.now, q.Deadline-g.run.engine.now)
	if in.Deadline -= waited; wait <= 0 {
		g.balancer.Request(g.run.engine.now, in)
		return
	}
	g.after(wait, func() { g.balancer.Request(g.run.engine.now, in) })
}

// beforeEvent must be called before any event is handled. It detects a pause of the process, and tracks the return to
// full service.
func (g *gateway) beforeEvent() {
	if pause := g.recovery.Event(g.run.engine.now); pause > 0 {
		g.balancer.Resumed(g.run.engine.now, pause)
	}
	if now := g.run.engine.now; g.recovery.CheckDue(now) {
		stats := g.balancer.Stats(now)
		first := g.recovery.TimeToFullService() == 0
		g.recovery.Check(now, recovery.Observation{Members: stats.ListedServers, NearbyReachable: stats.NearbyAlive,
			Queued: stats.QueuedRequests})
		if first && g.recovery.TimeToFullService() > 0 && now > Origin+startupPeriod {
			g.run.FullServiceTimes = append(g.run.FullServiceTimes, g.recovery.TimeToFullService()+g.run.Boot)
		}
	}
}

// after schedules do in d for this incarnation of the gateway. Where the process is paused at that time, do runs when
// it resumes.
func (g *gateway) after(d time.Duration, do func()) {
	incarnation := g.incarnation
	var happen func()
	happen = func() {
		if left := g.pausedUntil - g.run.engine.now; left > 0 {
			g.run.engine.After(left, happen)
		} else if g.up && g.incarnation == incarnation {
			g.beforeEvent()
			do()
		}
	}
	g.run.engine.After(d, happen)
}

// linkDelay draws the one-way delay of a message.
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
			g.recordAnswer(l, "served")
		}
		g.run.record('e', uint64(id), uint64(how))
		g.balancer.Outcome(g.run.engine.now, policy.Outcome{ID: id, Attempt: attempt, Server: to,
			Elapsed: g.run.engine.now - now, Ending: how, Answered: l.request.Final, Units: units,
			LoadReport: g.run.reportedLoad(m)})
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
	g.run.engine.After(g.linkDelay(), func() { // reaches the member even if the gateway is killed meanwhile
		g.run.arriveAtMember(g, m, l.request)
		m.accept(g.run.workSize(l.request), func(how policy.Ending) {
			// Otherwise the connection has broken, or ended with the incarnation that opened it.
			if g.incarnation == incarnation && !g.run.unreachable(g, m) {
				if how != policy.NotConnected && g.listed[to] {
					g.idleConns[to] = append(g.idleConns[to], g.run.engine.now)
				}
				g.after(g.linkDelay(), func() { end(how) })
			}
		})
	})
	g.after(until-now, func() { end(policy.TimedOut) })
}

// release removes a request that has its final answer and no attempt in flight.
func (g *gateway) release(id policy.RequestID, l *pendingRequest) {
	if l.request.Final && len(l.attempts) == 0 {
		delete(g.pending, id)
		delete(g.run.requests, id)
	}
}

// recordAnswer records a request's final answer: served, refused or failed.
func (g *gateway) recordAnswer(l *pendingRequest, outcome string) {
	if l.request.Lost { // its client no longer waits for an answer
		l.request.Final = true
		return
	}
	g.run.checker.Answered(g.run.engine.now, &l.request.Request, outcome)
	g.run.record('f', uint64(l.request.ID), uint64(outcome[0]))
	switch outcome {
	case "served":
		g.run.Served++
		first, target := l.request.original, g.run.Settings.Classes[l.request.Class].LatencyTarget
		if g.run.engine.now-first.arrivedAt <= target && first.value > 0 && !first.inTime {
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
		g.recordAnswer(l, "refused")
		g.run.retry(l.request, wait)
		g.after(0, func() { g.release(id, l) })
	}
}

// Fail implements policy.Host.
func (g *gateway) Fail(id policy.RequestID) {
	if l := g.pending[id]; l != nil && !l.request.Final {
		g.recordAnswer(l, "failed")
		if g.run.idempotency(l.request) == policy.Idempotent {
			g.run.retry(l.request, 0)
		}
		g.after(0, func() { g.release(id, l) })
	}
}

// Cancel implements policy.Host. It closes the attempt's connection; the member still runs the request.
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

// SendToPeer implements policy.Host.
func (g *gateway) SendToPeer(peer int, message []byte) {
	if peer >= 0 {
		g.sendTo(g.run.gateways[peer], message)
		return
	}
	for _, p := range g.run.gateways {
		g.sendTo(p, message)
	}
}

// sendTo sends a message to one peer.
func (g *gateway) sendTo(p *gateway, message []byte) {
	if p == g {
		return
	}
	g.run.PeerDatagrams++
	g.run.PeakPeerDatagrams = g.run.peaks[1].count(g.run.engine.now, g.run.PeakPeerDatagrams)
	if g.run.losesMessage(g.index, p.index) || g.run.partitioned(g.room, p.room) {
		return
	}
	delay, changed, copies := g.run.applyMessageFaults(p.index, message)
	for range copies {
		g.run.engine.After(g.linkDelay()+delay, func() { p.receive(g.index, changed) })
	}
}

// receive handles a peer's message, or drops it where this second's messages exceed Settings.PeerMessageRate. Where the
// process is paused, it does so once the process resumes.
func (g *gateway) receive(from int, message []byte) {
	now := g.run.engine.now
	if left := g.pausedUntil - now; left > 0 && g.up {
		g.run.engine.After(left, func() { g.receive(from, message) })
		return
	}
	if !g.up {
		return
	}
	g.beforeEvent()
	if now-g.receivedSince >= time.Second {
		g.receivedSince, g.received = now, 0
	}
	g.received++
	g.run.PeakReceived = max(g.run.PeakReceived, g.received)
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

// Watch implements policy.Host. It does nothing because every gateway is sent all changes of the server list.
func (g *gateway) Watch() {}

// Log implements policy.Host.
func (g *gateway) Log(string) {}
