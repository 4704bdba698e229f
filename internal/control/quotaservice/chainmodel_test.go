package quotaservice

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/configuration"
	"sprucelane.example/sprucelane/internal/control/statemachine"
	"sprucelane.example/sprucelane/internal/node"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Time constants of coord/replica.
const (
	leaderLease   = 800 * time.Millisecond  // time for which a head leads after the last proof of its epoch
	leaderDelay   = 1000 * time.Millisecond // time for which a new head waits after it has learnt of its view
	memberTimeout = 700 * time.Millisecond  // time after which a member is replaced
)

// chainModel models the chain as an abstract register of epochs with a log. brokenAt is 0 while the chain is connected,
// and otherwise the time at which it was found not to be, plus a random delay.
type chainModel struct {
	simulation *quotaSimulation
	members    []*simulatedControl
	epoch      int
	chain      []*simulatedControl
	log        [][]byte
	pending    []*proposal
	brokenAt   time.Duration
}

// proposal is a command in flight. It may still be committed after its proposer has given up waiting for the outcome.
type proposal struct {
	command []byte
	index   int // in the log; 0 while the command is not committed
	done    func(*statemachine.GrantsOutcome)
}

// simulatedControl is a control process with the real service, and its view of the chain.
type simulatedControl struct {
	chainModel  *chainModel
	name        string
	incarnation int
	up          bool
	paused      bool
	service     *Service
	state       *statemachine.StateMachine
	applied     int
	waiting     *proposal // proposal whose outcome the process waits for; nil if there is none
	ending      bool

	epoch              int // newest epoch that the process knows
	chain              []*simulatedControl
	headSince          time.Duration
	proofAt            time.Duration // time of the last proof of the epoch; 0 if there is none
	lastDisconnectedAt time.Duration // when the process last could not reach a majority
}

// newChainModel starts all machines as members of one chain.
func newChainModel(w *quotaSimulation, machines int) *chainModel {
	c := &chainModel{simulation: w}
	for i := range machines {
		m := &simulatedControl{chainModel: c, name: fmt.Sprintf("control-%d", i)}
		c.members = append(c.members, m)
	}
	c.chain = slices.Clone(c.members)
	for _, m := range c.members {
		m.start()
	}
	w.every(10*time.Millisecond, c.tick)
	return c
}

func (m *simulatedControl) start() {
	w := m.chainModel.simulation
	if m.up {
		return
	}
	m.incarnation++
	m.up, m.paused, m.ending, m.waiting = true, false, false, nil
	w.Start(m.name)
	known := max(0, m.applied-w.random.IntN(3))
	m.state, m.applied = statemachine.New(), 0
	m.apply(known)
	m.headSince, m.proofAt = w.Elapsed()+leaderDelay, 0
	bounds := node.Bounds{QuotaWindow: testWindow, QuotaOvershoot: testOvershoot, QuotaSlack: testSlack}
	self := statemachine.Grantor{Member: m.name, Process: fmt.Sprint(m.name, "/", m.incarnation)}
	m.service = New(Options{
		Bounds:     bounds,
		Leadership: m,
		Record:     m,
		Self:       self,
		Wake:       func() { m.later(time.Millisecond, m.proposeNextChange) },
		clock:      w.Now,
	})
	m.later(w.randomDuration(200*time.Millisecond), m.proposeLoop)
	m.proveEpoch()
}

func (m *simulatedControl) stop() {
	if m.up {
		m.up, m.paused = false, false
		m.chainModel.simulation.Stop(m.name)
	}
}

func (m *simulatedControl) pause(length time.Duration) {
	w := m.chainModel.simulation
	if !m.up || m.paused {
		return
	}
	incarnation := m.incarnation
	m.paused = true
	w.Pause(m.name)
	w.After(length, func() {
		if m.incarnation == incarnation && m.up {
			m.paused = false
			w.Resume(m.name)
		}
	})
}

func (m *simulatedControl) later(delay time.Duration, run func()) {
	m.chainModel.simulation.AfterOn(m.name, delay, run)
}

// Configuration implements GrantRecord. The same version is current throughout the simulation.
func (m *simulatedControl) Configuration() *configuration.Version {
	return m.chainModel.simulation.version
}

// Grantor implements GrantRecord with the state that this process has applied.
func (m *simulatedControl) Grantor() statemachine.Grantor { return m.state.Grantor() }

// HeadLease implements Leadership as coord/replica does.
func (m *simulatedControl) HeadLease() (until time.Time, ok bool) {
	w := m.chainModel.simulation
	if m.chain == nil || m.chain[0] != m || m.ending {
		return time.Time{}, false
	}
	if w.bug == bugUnproven {
		return w.Now().Add(time.Hour), true
	}
	until = w.Now().Add(m.proofAt + leaderLease - w.Elapsed())
	return until, m.proofAt > 0 && w.Now().Before(until)
}

// LeaderLease implements Leadership as coord/replica does.
func (m *simulatedControl) LeaderLease() (epoch uint64, until time.Time, ok bool) {
	until, ok = m.HeadLease()
	waited := m.chainModel.simulation.Elapsed() >= m.headSince || m.chainModel.simulation.bug == bugEarlyStart
	return uint64(m.epoch), until, ok && waited
}

func (c *chainModel) connected(one, other *simulatedControl) bool {
	links := c.simulation.Links
	runs := one.up && !one.paused && other.up && !other.paused
	return runs &&
		(one == other || !links.Partitioned(one.name, other.name) && !links.Partitioned(other.name, one.name))
}

func (c *chainModel) reachesMajority(m *simulatedControl) bool {
	count := 0
	for _, other := range c.members {
		if c.connected(m, other) {
			count++
		}
	}
	return 2*count > len(c.members)
}

func (c *chainModel) allConnected(chain []*simulatedControl) bool {
	for i, one := range chain {
		if !c.reachesMajority(one) {
			return false
		}
		for _, other := range chain[:i] {
			if !c.connected(one, other) {
				return false
			}
		}
	}
	return true
}

func (c *chainModel) tick() {
	now := c.simulation.Elapsed()
	for _, m := range c.members {
		if !c.reachesMajority(m) {
			m.lastDisconnectedAt = now
		} else if m.epoch < c.epoch || m.chain == nil {
			m.learnView()
		}
	}
	if !c.allConnected(c.chain) || len(c.chain) < 2 {
		if c.brokenAt == 0 {
			c.brokenAt = now + c.simulation.randomDuration(600*time.Millisecond)
		}
		if now-c.brokenAt > memberTimeout {
			c.repair()
		}
		return
	}
	c.brokenAt = 0
	c.readmit()
	c.commit()
}

// repair begins an epoch with the members of the chain that are connected to each other.
func (c *chainModel) repair() {
	var next []*simulatedControl
	for _, m := range c.chain {
		if c.allConnected(append(slices.Clone(next), m)) {
			next = append(next, m)
		}
	}
	if len(next) > 0 {
		c.beginEpoch(next)
		c.readmit()
	}
}

// readmit adds machines at the end of the chain. There they apply all committed commands before they can become the
// head.
func (c *chainModel) readmit() {
	for _, m := range c.members {
		if slices.Contains(c.chain, m) || m.ending ||
			c.simulation.Elapsed()-m.lastDisconnectedAt < 300*time.Millisecond {
			continue
		}
		if next := append(slices.Clone(c.chain), m); c.allConnected(next) {
			if c.simulation.bug == bugUnapplied {
				next = append([]*simulatedControl{m}, c.chain...)
			} else {
				m.apply(len(c.log))
			}
			c.beginEpoch(next)
		}
	}
}

func (c *chainModel) beginEpoch(chain []*simulatedControl) {
	c.epoch++
	c.chain, c.brokenAt = chain, 0
	for _, m := range chain {
		m.later(c.simulation.randomDuration(20*time.Millisecond), func() {
			if c.reachesMajority(m) {
				m.learnView()
			}
		})
		m.applySoon(len(c.log))
	}
}

// learnView makes the current epoch and chain known to the process.
func (m *simulatedControl) learnView() {
	c := m.chainModel
	if m.epoch == c.epoch && m.chain != nil {
		return
	}
	stays := m.chain != nil && m.chain[0] == m && m.epoch+1 == c.epoch
	m.epoch, m.chain, m.proofAt = c.epoch, c.chain, 0
	if m.chain[0] == m && !stays {
		m.headSince = c.simulation.Elapsed() + leaderDelay
	}
}

// proveEpoch proves the epoch at random intervals of 150 to 250 ms.
func (m *simulatedControl) proveEpoch() {
	w := m.chainModel.simulation
	m.later(150*time.Millisecond+w.randomDuration(100*time.Millisecond), func() {
		if m.chain != nil && m.epoch == m.chainModel.epoch && slices.Contains(m.chain, m) &&
			m.chainModel.reachesMajority(m) {
			m.proofAt = w.Elapsed()
			m.applySoon(len(m.chainModel.log))
		}
		m.proveEpoch()
	})
}

// commit commits the pending proposals.
func (c *chainModel) commit() {
	pending := c.pending
	c.pending = nil
	for _, entry := range pending {
		c.log = append(c.log, entry.command)
		entry.index = len(c.log)
	}
	for _, m := range c.chain {
		m.applySoon(len(c.log))
	}
}

func (m *simulatedControl) applySoon(end int) {
	if w := m.chainModel.simulation; end > m.applied {
		longest := 20 * time.Millisecond
		if w.bug == bugUnapplied {
			longest = time.Second
		}
		m.later(w.randomDuration(longest), func() { m.apply(end) })
	}
}

func (m *simulatedControl) apply(end int) {
	for m.applied < end {
		m.applied++
		raw := m.state.Apply(uint64(m.applied), m.chainModel.log[m.applied-1])
		if awaited := m.waiting; awaited != nil && awaited.index == m.applied {
			m.waiting = nil
			outcome, err := statemachine.DecodeOutcome(raw)
			if err != nil {
				panic(err)
			}
			awaited.done(outcome.Lending)
		}
	}
}

// propose proposes a change and calls done with its outcome, or with nil if the outcome is unknown after two seconds.
func (m *simulatedControl) propose(change *statemachine.GrantsChange, done func(*statemachine.GrantsOutcome)) {
	w := m.chainModel.simulation
	raw, err := statemachine.Command{Lending: change}.Encode()
	if err != nil {
		panic(err)
	}
	sent := &proposal{command: raw, done: done}
	m.waiting = sent
	delay := w.randomDuration(10 * time.Millisecond)
	if w.random.Chance(0.02) {
		delay = w.randomDuration(8 * time.Second) // it may arrive after the end of its proposer's term
	}
	w.After(delay, func() { m.chainModel.pending = append(m.chainModel.pending, sent) })
	m.later(2*time.Second, func() {
		if m.waiting == sent {
			m.waiting = nil
			done(nil)
		}
	})
}

func (m *simulatedControl) proposeLoop() {
	m.proposeNextChange()
	m.later(200*time.Millisecond, m.proposeLoop)
}

func (m *simulatedControl) proposeNextChange() {
	if m.waiting != nil || m.ending {
		return
	}
	if change := m.service.NextChange(); change != nil {
		m.propose(change, func(outcome *statemachine.GrantsOutcome) { m.service.ChangeDone(change, outcome) })
	}
}

// handOver shuts the process down in a planned way: it releases the role of grantor, leaves the chain, and restarts
// later.
func (m *simulatedControl) handOver() {
	if !m.up || m.paused || m.ending {
		return
	}
	c, w := m.chainModel, m.chainModel.simulation
	change := m.service.Release()
	leave := func() {
		m.ending = true
		rest := slices.DeleteFunc(slices.Clone(c.chain), func(other *simulatedControl) bool { return other == m })
		if len(rest) >= 2 && len(rest) < len(c.chain) && c.allConnected(rest) {
			c.beginEpoch(rest)
		}
		w.After(100*time.Millisecond, m.stop)
		w.After(300*time.Millisecond+w.randomDuration(2*time.Second), m.start)
	}
	if change == nil {
		leave()
		return
	}
	m.propose(change, func(*statemachine.GrantsOutcome) {})
	m.later(300*time.Millisecond, leave)
}

// depose begins an epoch with another head, if all members of the chain are connected.
func (c *chainModel) depose() {
	if len(c.chain) > 1 && c.allConnected(c.chain) {
		c.beginEpoch(append(slices.Clone(c.chain[1:]), c.chain[0]))
	}
}

// handle handles a gateway's request.
func (m *simulatedControl) handle(request protocol.QuotaRequest) protocol.QuotaReply {
	reply, err := m.service.Request(request)
	if err != nil {
		return protocol.QuotaReply{Sequence: request.Sequence}
	}
	m.chainModel.simulation.checkSingleAllocator(reply.Term, m.name)
	return reply
}
