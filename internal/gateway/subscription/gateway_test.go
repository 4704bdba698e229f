package subscription

import (
	"fmt"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// simGateway is a gateway. It has a real subscription and models the steps that the connection and the proxy
// take with it.
type simGateway struct {
	harness           *harness
	name              string
	clock             steadyClock
	incarnation       int
	up                bool
	frozen            bool
	seeds             []string
	table             *endpoints.Registry
	s                 *Subscription
	session           *session
	eager             bool // clients send requests often, all of them with API keys that may have been replaced
	wantsConfirmation bool // a request waits for a confirmation
	waiters           []*waiter

	faultAt   time.Duration // when the last fault ended
	confirmed bool          // in this incarnation, a control process with a valid proof has confirmed its state
	index     uint64        // index of the newest configuration seen in this incarnation
	content   int           // number of the list of servers in force
	served    int
	rejected  map[int]int // by status
}

// session is a connection to a control process.
type session struct {
	gateway     *simGateway
	control     *simControl
	incarnation int
	out         *pipe
	back        *pipe
	polling     pollState
	sequence    uint64
	sent        time.Time
	pollPending bool // a poll hasn't been answered
	ended       bool
}

// waiter is a request that waits for a confirmation.
type waiter struct {
	since time.Time
	then  func(vouched bool)
	done  bool
}

func (h *harness) addGateway() *simGateway {
	g := &simGateway{harness: h, name: fmt.Sprintf("gateway-%d", len(h.gateways)), clock: h.newClock(), rejected: map[int]int{}}
	for _, control := range h.chain.controls[:3] {
		g.seeds = append(g.seeds, control.name)
	}
	h.gateways = append(h.gateways, g)
	g.start(g.seeds)
	return g
}

// start starts an incarnation that knows no control processes but the seeds.
func (g *simGateway) start(seeds []string) {
	h := g.harness
	if g.up {
		return
	}
	g.incarnation++
	g.up, g.frozen, g.session, g.waiters, g.confirmed, g.index, g.content = true, false, nil, nil, false, 0, 0
	g.faultAt = h.Elapsed()
	h.Start(g.name)
	g.table = endpoints.NewRegistry(unused{})
	process := protocol.Process{Node: g.name, Role: protocol.RoleGateway, Zone: "z", IP: g.name, Incarnation: fmt.Sprint(g.incarnation)}
	settings := &node.Settings{Bounds: node.Bounds{Closed: true, Revoke: revoke}}
	g.s = newAt(Options{Settings: settings, Process: process, Servers: g.table, Ready: g.ready}, g.clock.read())
	g.s.everConfirmed = h.bug == bugUnconfirmedConfiguration
	g.s.control.Seed(seeds)
	g.later(reconnectPause, g.connect)
	g.ask()
}

func (g *simGateway) stop() {
	if g.up {
		g.up, g.frozen = false, false
		g.faultAt = g.harness.Elapsed()
		if g.session != nil {
			g.session.end()
		}
		g.harness.Stop(g.name)
	}
}

func (g *simGateway) freeze(length time.Duration) {
	h := g.harness
	if !g.up || g.frozen {
		return
	}
	incarnation := g.incarnation
	g.frozen = true
	g.faultAt = h.Elapsed() + length
	h.Pause(g.name)
	h.After(length, func() {
		if g.incarnation == incarnation && g.up {
			g.frozen = false
			h.Resume(g.name)
		}
	})
}

// partitionFromControl partitions a gateway from all control processes.
func (g *simGateway) partitionFromControl(way int, length time.Duration) {
	h := g.harness
	g.faultAt = h.Elapsed() + length
	for _, control := range h.chain.controls {
		h.partitionBetween(g.name, control.name, way, length)
	}
}

// later calls run after a delay in this incarnation, or later if the process is paused.
func (g *simGateway) later(delay time.Duration, run func()) { g.harness.AfterOn(g.name, delay, run) }

// nextStep runs the next step of an activity, sometimes late because the machine is busy.
func (g *simGateway) nextStep(run func()) {
	delay := time.Duration(g.harness.random.IntN(20)) * time.Microsecond
	if g.harness.random.Chance(g.harness.busyShare) {
		delay = g.harness.span(30 * time.Millisecond)
	}
	g.later(delay, run)
}

func (g *simGateway) ready() bool { return g.s.Ready(g.clock.read()) }

// connect connects to the control process that the selector chooses.
func (g *simGateway) connect() {
	h := g.harness
	ip := g.s.control.Next(g.clock.read())
	s := &session{gateway: g, control: h.control(ip), incarnation: g.incarnation, out: h.newPipe(g.name, ip), back: h.newPipe(ip, g.name)}
	g.session = s
	g.s.serverList.reconnected(g.clock.read())
	if h.bug == bugConfigurationGoesBack {
		g.s.state = configuration.NewState()
	}
	s.out.send(func() {
		s.back.send(func() { g.connected(s) })
	})
	g.later(replyTimeout, func() {
		if s.sequence == 0 {
			g.disconnect(s)
		}
	})
}

func (h *harness) control(ip string) *simControl {
	for _, candidate := range h.chain.controls {
		if candidate.name == ip {
			return candidate
		}
	}
	return nil
}

func (s *session) end() {
	s.ended = true
	s.out.broken, s.back.broken = true, true
	delete(s.control.sessions, s)
	if g := s.gateway; g.session == s && g.incarnation == s.incarnation {
		g.session = nil
		g.s.control.MarkFailed(s.control.name, g.clock.read())
		g.later(reconnectPause, g.connect)
	}
}

func (g *simGateway) disconnect(s *session) {
	if !s.ended && g.session == s {
		s.end()
	}
}

func (g *simGateway) connected(s *session) {
	if s.ended {
		return
	}
	s.polling = newPollState(g.clock.read())
	g.poll(s)
}

func (g *simGateway) poll(s *session) {
	if s.ended || s.pollPending {
		return
	}
	s.sequence++
	s.pollPending, g.wantsConfirmation = true, false
	s.sent = g.clock.read()
	message, sequence := g.s.buildPoll(s.sequence), s.sequence
	s.out.send(func() { s.control.handlePoll(s, message) })
	g.later(replyTimeout, func() {
		if s.pollPending && s.sequence == sequence {
			g.disconnect(s)
		}
	})
}

func (g *simGateway) pushed(s *session, update protocol.Update) {
	if s.ended || g.session != s {
		return
	}
	g.s.handleUpdate(&update, g.clock.read())
	g.checkProgress()
}

// answered handles the answer to a poll. proven means that its sender's proof was valid.
func (g *simGateway) answered(s *session, update protocol.Update, proven bool) {
	if s.ended || g.session != s || !s.pollPending || update.Sequence != s.sequence {
		return
	}
	s.pollPending = false
	g.confirmed = g.confirmed || proven && update.Fresh
	now, sent := g.clock.read(), s.sent
	if g.harness.bug == bugLeaseFromReceipt {
		sent = now
	}
	g.s.handleUpdate(&update, now)
	pause, stays := g.s.handlePollAnswer(&s.polling, sent, now, &update)
	g.checkProgress()
	g.release()
	if !stays {
		g.disconnect(s)
		return
	}
	if g.wantsConfirmation {
		pause = min(pause, minPollInterval)
	}
	g.later(s.sent.Add(pause).Sub(now), func() { g.poll(s) })
}

// release notifies the waiters whose confirmation has arrived.
func (g *simGateway) release() {
	waiters := g.waiters
	g.waiters = nil
	for _, waiting := range waiters {
		switch {
		case waiting.done:
		case g.s.ConfirmedSince(waiting.since):
			waiting.done = true
			g.nextStep(func() { waiting.then(true) })
		default:
			g.waiters = append(g.waiters, waiting)
			g.wantsConfirmation = true
		}
	}
}

// await polls control at once, and calls then when control has confirmed or a time has passed.
func (g *simGateway) await(since time.Time, length time.Duration, then func(confirmed bool)) {
	if g.s.ConfirmedSince(since) {
		then(true)
		return
	}
	waiting := &waiter{since: since, then: then}
	g.waiters = append(g.waiters, waiting)
	g.wantsConfirmation = true
	if s := g.session; s != nil && s.sequence > 0 && !s.pollPending {
		g.later(s.sent.Add(minPollInterval).Sub(g.clock.read()), func() { g.poll(s) })
	}
	g.later(length, func() {
		if !waiting.done {
			waiting.done = true
			then(false)
		}
	})
}

// checkProgress checks the state in force against the state at the previous call.
func (g *simGateway) checkProgress() {
	h := g.harness
	if current := g.s.Configuration(); current != nil {
		if current.Index < g.index {
			h.failf("%s goes back from configuration %d to %d", g.name, g.index, current.Index)
		}
		g.index = current.Index
	}
	if table := g.table.Current(); table != nil {
		content := table.ForBackend("b")[0].Slots
		readAt, before := h.chain.readAt[content], h.chain.readAt[g.content]
		if calm := h.Elapsed()-g.faultAt > listAgeUnknown; calm && readAt < before-listSlack {
			h.failf("%s takes a list read at %v for one read at %v", g.name, readAt, before)
		}
		g.content = content
	}
	if g.ready() && !g.confirmed {
		h.failf("%s is ready, and nobody has confirmed what it knows", g.name)
	}
}

const (
	// listSlack is how much older a list may be than the one that it replaces: the age of a list is known as
	// of the poll that was answered last, and messages take up to maxMessageDelay.
	listSlack = replyTimeout + maxMessageDelay
	// listAgeUnknown is how long after a process pause a gateway may not know the age of the list that it applied
	// when it resumed.
	listAgeUnknown = 2 * time.Second
)

// state describes a gateway for a failure message.
func (g *simGateway) state() string {
	control, sequence := "none", uint64(0)
	if g.session != nil {
		control, sequence = g.session.control.name, g.session.sequence
	}
	now := g.clock.read()
	return fmt.Sprintf("control process %s after %d polls, lease %t, fresh %t, behind %t, configuration %d", control, sequence, g.s.KeyLeaseValid(now),
		g.s.ConfirmedSince(now.Add(-maxReadyStaleness)), g.s.isBehind(), g.index)
}
