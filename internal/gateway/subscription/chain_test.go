package subscription

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/protocol"
)

// chainModel models the chain of control processes as an abstract register. Commands are committed while all
// members of the current epoch's chain are connected. A new epoch begins after some of them have not been
// connected for viewChangeTimeout, with those that are connected to a majority.
type chainModel struct {
	harness           *harness
	controls          []*simControl
	chain             []*simControl
	log               []configuration.ChangeRequest
	brokenAt          time.Duration // when the chain became unable to commit; 0: it can commit
	viewChangeTimeout time.Duration
	content           int // number of the platform's newest list
	readAt            map[int]time.Duration
}

// simControl is a control process.
type simControl struct {
	chain       *chainModel
	name        string
	clock       steadyClock
	state       *configuration.State
	applied     int
	synced      bool // its disk has everything that its epoch began with
	up          bool
	frozen      bool
	incarnation int
	unhealthyAt time.Duration
	joinedAt    time.Duration
	lagsUntil   time.Duration // until then it applies commands late

	proven     bool
	freshSince time.Duration // when the last complete proof was started, in virtual time
	pendingAt  time.Duration
	pendingEnd int // 0: no proof is pending

	sessions   map[*session]*subscriber
	list       *protocol.ServerList
	listAt     time.Time // when the list was read, by this process's clock
	listReadAt time.Duration
}

// subscriber records what a session was sent, as a control process does.
type subscriber struct {
	configuration, servers uint64
	members                bool
}

func newChainModel(h *harness, machines int) *chainModel {
	c := &chainModel{harness: h, readAt: map[int]time.Duration{}}
	for i := range machines {
		control := &simControl{chain: c, name: fmt.Sprintf("control-%d", i), clock: h.newClock(), synced: true, up: true,
			state: configuration.NewState(), sessions: map[*session]*subscriber{}}
		c.controls = append(c.controls, control)
		control.heartbeat(control.incarnation)
	}
	c.chain = slices.Clone(c.controls)
	h.every(10*time.Millisecond, c.tick)
	h.every(800*time.Millisecond, c.readPlatform)
	return c
}

func (c *simControl) runs() bool { return c.up && !c.frozen }

func (c *chainModel) connected(a, b *simControl) bool {
	links := c.harness.Links
	return a.runs() && b.runs() && (a == b || !links.Partitioned(a.name, b.name) && !links.Partitioned(b.name, a.name))
}

// healthy reports whether a machine is connected to a majority.
func (c *chainModel) healthy(control *simControl) bool {
	count := 0
	for _, other := range c.controls {
		if c.connected(control, other) {
			count++
		}
	}
	return control.runs() && 2*count > len(c.controls)
}

// serves reports whether the chain can commit commands.
func (c *chainModel) serves() bool {
	for i, member := range c.chain {
		if !member.synced || !c.healthy(member) {
			return false
		}
		for _, other := range c.chain[:i] {
			if !c.connected(member, other) {
				return false
			}
		}
	}
	return len(c.chain) >= 2
}

func (c *chainModel) tick() {
	now := c.harness.Elapsed()
	for _, control := range c.controls {
		if !c.healthy(control) {
			control.unhealthyAt = now
		}
	}
	if !c.serves() {
		if c.brokenAt == 0 {
			c.brokenAt, c.viewChangeTimeout = now, 700*time.Millisecond+c.harness.span(600*time.Millisecond)
		}
		if now-c.brokenAt > c.viewChangeTimeout {
			c.changeView()
		}
		return
	}
	c.brokenAt = 0
	c.readmit()
	c.commit()
}

// changeView begins an epoch with the members of the chain that are synced and connected.
func (c *chainModel) changeView() {
	var next []*simControl
	for _, member := range c.chain {
		fits := member.synced && c.healthy(member)
		for _, other := range next {
			fits = fits && c.connected(member, other)
		}
		if fits {
			next = append(next, member)
		}
	}
	if len(next) == 0 {
		return
	}
	c.beginEpoch(next)
	c.readmit()
}

// readmit adds machines to the chain that have been connected for a while. They copy the entries that they lack.
func (c *chainModel) readmit() {
	for _, control := range c.controls {
		if slices.Contains(c.chain, control) || !c.healthy(control) || c.harness.Elapsed()-control.unhealthyAt < 300*time.Millisecond {
			continue
		}
		if slices.ContainsFunc(c.chain, func(other *simControl) bool { return !c.connected(control, other) }) {
			continue
		}
		control.synced = true
		c.beginEpoch(append(slices.Clone(c.chain), control))
	}
}

func (c *chainModel) beginEpoch(chain []*simControl) {
	c.chain, c.brokenAt = chain, 0
	for _, member := range chain {
		member.joinedAt = c.harness.Elapsed()
		member.applySoon(len(c.log))
	}
}

// commit commits the operator's next command, which all members of the chain have synced.
func (c *chainModel) commit() {
	h := c.harness
	command, due := h.operator.next(h)
	if !due {
		return
	}
	c.log = append(c.log, command)
	for _, member := range c.chain {
		member.applySoon(len(c.log))
	}
	index := len(c.log)
	h.After(h.span(20*time.Millisecond), func() { h.operator.acknowledged(index, h.Elapsed()) })
}

func (c *simControl) applySoon(end int) {
	h := c.chain.harness
	delay := h.span(30 * time.Millisecond)
	if h.random.Chance(h.slowShare) || c.lagsUntil > h.Elapsed() {
		delay = h.span(maxMessageDelay)
	}
	h.AfterOn(c.name, delay, func() { c.apply(end) })
}

func (c *simControl) apply(end int) {
	if !c.synced || c.applied >= end {
		return
	}
	for c.applied < end {
		c.applied++
		c.state.Apply(uint64(c.applied), c.chain.log[c.applied-1])
	}
	c.completeProof()
	c.pushAll()
}

// heartbeat checks periodically with the other machines that the epoch is current, and starts a proof of that.
func (c *simControl) heartbeat(incarnation int) {
	h := c.chain.harness
	h.AfterOn(c.name, 150*time.Millisecond+h.span(100*time.Millisecond), func() {
		if c.incarnation != incarnation {
			return
		}
		if slices.Contains(c.chain.chain, c) && c.synced && c.chain.healthy(c) {
			c.apply(c.applied)
			if c.pendingEnd == 0 {
				c.pendingAt = max(h.Elapsed()-h.span(10*time.Millisecond), c.joinedAt)
				c.pendingEnd = len(c.chain.log) + 1
			}
			c.completeProof()
			c.applySoon(len(c.chain.log))
		}
		c.heartbeat(incarnation)
	})
}

// completeProof completes a pending proof once everything is applied that had been committed when it started.
func (c *simControl) completeProof() {
	if c.pendingEnd > 0 && c.applied+1 >= c.pendingEnd {
		c.proven, c.freshSince, c.pendingEnd = true, max(c.freshSince, c.pendingAt), 0
	}
}

// staleness returns the age of this process's state, and whether the state can be confirmed.
func (c *simControl) staleness() (age time.Duration, ok bool) {
	h := c.chain.harness
	age = h.Elapsed() - c.freshSince
	switch {
	case h.bug == bugUnprovenConfirmation:
		return 0, true
	case h.bug == bugNoAge && c.proven:
		return 0, age <= maxProofAge
	}
	return age, c.proven && age <= maxProofAge
}

// stop ends the process, and wipes its disk if wiped is true. Commands that the process didn't know to be
// committed are applied again later.
func (c *simControl) stop(wiped bool) {
	c.up, c.frozen, c.proven, c.pendingEnd = false, false, false, 0
	c.incarnation++
	c.chain.harness.Stop(c.name)
	for _, gateway := range c.chain.harness.gateways {
		if gateway.session != nil && gateway.session.control == c {
			gateway.session.end()
		}
	}
	clear(c.sessions)
	c.state, c.list = configuration.NewState(), nil
	known := max(0, c.applied-c.chain.harness.random.IntN(3))
	c.applied = 0
	if wiped {
		c.synced = false
		return
	}
	c.apply(known)
}

func (c *simControl) start() {
	if c.up {
		return
	}
	c.up = true
	c.chain.harness.Start(c.name)
	c.heartbeat(c.incarnation)
}

// readPlatform has a healthy machine read the platform's list and send it to the others.
func (c *chainModel) readPlatform() {
	h := c.harness
	c.content++
	c.readAt[c.content] = h.Elapsed()
	content, readAt := c.content, h.Elapsed()
	for _, reader := range c.controls {
		if !c.healthy(reader) {
			continue
		}
		for _, control := range c.controls {
			if c.connected(reader, control) {
				h.AfterOn(control.name, h.span(30*time.Millisecond), func() { control.applyList(content, readAt) })
			}
		}
		return
	}
}

func (c *simControl) applyList(content int, readAt time.Duration) {
	if c.list != nil && readAt < c.listReadAt {
		return
	}
	version := uint64(1)
	if c.list != nil {
		version = c.list.Version + 1
	}
	c.listReadAt = readAt
	c.listAt = c.clock.read().Add(readAt - c.chain.harness.Elapsed())
	c.list = &protocol.ServerList{Version: version, Source: fmt.Sprint(c.name, c.incarnation),
		Servers: []protocol.Server{{ID: "i", Backend: "b", Address: "a", Slots: content}}}
	c.pushAll()
}

// handlePoll behaves as a control process does: it reads its proof before the state that it confirms, and pushes
// updates before it answers.
func (c *simControl) handlePoll(s *session, poll protocol.Poll) {
	h := c.chain.harness
	age, fresh := c.staleness()
	h.operator.checkConfirmation(h, c, age, fresh)
	subscribed := c.sessions[s]
	if subscribed == nil {
		subscribed = &subscriber{}
		c.sessions[s] = subscribed
	}
	subscribed.configuration = poll.Configuration
	if poll.WholeServers {
		subscribed.servers = 0
	}
	answer := func() {
		c.push(s, subscribed)
		update := protocol.Update{Sequence: poll.Sequence, Fresh: fresh, Age: age}
		c.setListAge(&update)
		proven := c.proven && age <= maxProofAge
		s.back.send(func() { s.gateway.answered(s, update, proven) })
	}
	if h.random.Chance(0.002) && !h.calm { // the process is paused in between
		c.freeze(h.span(maxPause))
		h.AfterOn(c.name, 0, answer)
		return
	}
	answer()
}

func (c *simControl) setListAge(update *protocol.Update) {
	update.ListRead = c.list != nil && c.chain.harness.bug != bugServerListGoesBack
	update.ListAge = c.clock.read().Sub(c.listAt)
}

func (c *simControl) pushAll() {
	for _, gateway := range c.chain.harness.gateways { // in a fixed order, so that a seed reproduces the run
		if s := gateway.session; s != nil && s.control == c && c.sessions[s] != nil {
			c.push(s, c.sessions[s])
		}
	}
}

func (c *simControl) push(s *session, subscribed *subscriber) {
	update := protocol.Update{Configuration: c.state.UpdateSince(subscribed.configuration)}
	if c.list != nil && c.list.Version > subscribed.servers {
		update.Servers = c.list
		subscribed.servers = c.list.Version
	}
	if !subscribed.members {
		subscribed.members = true
		update.Members = &protocol.MemberList{Version: 1}
		for _, control := range c.chain.controls {
			update.Members.Control = append(update.Members.Control, protocol.ControlMember{IP: control.name, Zone: "z"})
		}
	}
	if update.Configuration == nil && update.Servers == nil && update.Members == nil {
		return
	}
	c.setListAge(&update)
	if update.Configuration != nil {
		subscribed.configuration = update.Configuration.Index
	}
	s.back.send(func() { s.gateway.pushed(s, update) })
}

func (c *simControl) freeze(length time.Duration) {
	h := c.chain.harness
	if !c.runs() {
		return
	}
	c.frozen = true
	incarnation := c.incarnation
	h.Pause(c.name)
	h.After(length, func() {
		if c.incarnation == incarnation {
			c.frozen = false
			h.Resume(c.name)
		}
	})
}

// body returns a configuration encoded as JSON.
func body(document configuration.Document) []byte {
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return raw
}
