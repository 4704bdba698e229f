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

// Times of coord/replica.
const (
	leadTerm  = 800 * time.Millisecond  // after the last proof of its epoch a head leads
	leadDelay = 1000 * time.Millisecond // after it learnt of its view a new head waits
	silence   = 700 * time.Millisecond  // after which a member is replaced
)

// core is the chain as an abstract register of epochs with a log.
type core struct {
	world    *world
	members  []*member
	epoch    int
	chain    []*member
	log      [][]byte
	pending  []*proposal
	brokenAt time.Duration
}

// proposal is an order on its way. One whose proposer has given it up may be taken still.
type proposal struct {
	raw   []byte
	index int // 0: not committed
	done  func(*statemachine.GrantsOutcome)
}

// member is a control process with the real service, and its view of the chain.
type member struct {
	core    *core
	name    string
	life    int
	up      bool
	frozen  bool
	service *Service
	machine *statemachine.StateMachine
	applied int
	waiting *proposal // whose outcome it waits for
	ending  bool

	epoch     int // that it knows
	chain     []*member
	headSince time.Duration
	proofAt   time.Duration // 0: none
	touchedAt time.Duration // out of touch last
}

func newCore(w *world, machines int) *core {
	c := &core{world: w}
	for i := range machines {
		m := &member{core: c, name: fmt.Sprintf("control-%d", i)}
		c.members = append(c.members, m)
	}
	c.chain = slices.Clone(c.members)
	for _, m := range c.members {
		m.start()
	}
	w.every(10*time.Millisecond, c.tick)
	return c
}

func (m *member) start() {
	w := m.core.world
	if m.up {
		return
	}
	m.life++
	m.up, m.frozen, m.ending, m.waiting = true, false, false, nil
	w.Start(m.name)
	known := max(0, m.applied-w.random.IntN(3))
	m.machine, m.applied = statemachine.New(), 0
	m.apply(known)
	m.headSince, m.proofAt = w.Elapsed()+leadDelay, 0
	bounds := node.Bounds{QuotaWindow: testWindow, QuotaOvershoot: testOvershoot, QuotaSlack: testSlack}
	self := statemachine.Grantor{Member: m.name, Process: fmt.Sprint(m.name, "/", m.life)}
	m.service = newWithClock(bounds, m, m, self, func() { m.later(time.Millisecond, m.roles) }, w.Now)
	m.later(w.span(200*time.Millisecond), m.rolesLoop)
	m.beat()
}

func (m *member) stop() {
	if m.up {
		m.up, m.frozen = false, false
		m.core.world.Stop(m.name)
	}
}

func (m *member) freeze(length time.Duration) {
	w := m.core.world
	if !m.up || m.frozen {
		return
	}
	life := m.life
	m.frozen = true
	w.Pause(m.name)
	w.After(length, func() {
		if m.life == life && m.up {
			m.frozen = false
			w.Resume(m.name)
		}
	})
}

func (m *member) later(delay time.Duration, run func()) { m.core.world.AfterOn(m.name, delay, run) }

// Configuration gives the one that is in force all the time.
func (m *member) Configuration() *configuration.Version { return m.core.world.version }

// Lender gives who lends, as far as is known here.
func (m *member) Grantor() statemachine.Grantor { return m.machine.Grantor() }

// Head is that of coord/replica.
func (m *member) Head() (until time.Time, ok bool) {
	w := m.core.world
	if m.chain == nil || m.chain[0] != m || m.ending {
		return time.Time{}, false
	}
	if w.plant == plantUnproven {
		return w.Now().Add(time.Hour), true
	}
	until = w.Now().Add(m.proofAt + leadTerm - w.Elapsed())
	return until, m.proofAt > 0 && w.Now().Before(until)
}

// Lead is that of coord/replica.
func (m *member) Lead() (epoch uint64, until time.Time, ok bool) {
	until, ok = m.Head()
	waited := m.core.world.Elapsed() >= m.headSince || m.core.world.plant == plantEarlyStart
	return uint64(m.epoch), until, ok && waited
}

func (c *core) touch(one, other *member) bool {
	links := c.world.Links
	runs := one.up && !one.frozen && other.up && !other.frozen
	return runs && (one == other || !links.Partitioned(one.name, other.name) && !links.Partitioned(other.name, one.name))
}

func (c *core) healthy(m *member) bool {
	count := 0
	for _, other := range c.members {
		if c.touch(m, other) {
			count++
		}
	}
	return 2*count > len(c.members)
}

func (c *core) whole(chain []*member) bool {
	for i, one := range chain {
		if !c.healthy(one) {
			return false
		}
		for _, other := range chain[:i] {
			if !c.touch(one, other) {
				return false
			}
		}
	}
	return true
}

func (c *core) tick() {
	now := c.world.Elapsed()
	for _, m := range c.members {
		if !c.healthy(m) {
			m.touchedAt = now
		} else if m.epoch < c.epoch || m.chain == nil {
			m.adopt()
		}
	}
	if !c.whole(c.chain) || len(c.chain) < 2 {
		if c.brokenAt == 0 {
			c.brokenAt = now + c.world.span(600*time.Millisecond)
		}
		if now-c.brokenAt > silence {
			c.repair()
		}
		return
	}
	c.brokenAt = 0
	c.takeBack()
	c.commit()
}

// repair begins an epoch with those of the chain that are in touch.
func (c *core) repair() {
	var next []*member
	for _, m := range c.chain {
		if c.whole(append(slices.Clone(next), m)) {
			next = append(next, m)
		}
	}
	if len(next) > 0 {
		c.begin(next)
		c.takeBack()
	}
}

// takeBack lets machines in, at the end: such a one applies all before it can become the head.
func (c *core) takeBack() {
	for _, m := range c.members {
		if slices.Contains(c.chain, m) || m.ending || c.world.Elapsed()-m.touchedAt < 300*time.Millisecond {
			continue
		}
		if next := append(slices.Clone(c.chain), m); c.whole(next) {
			if c.world.plant == plantUnapplied {
				next = append([]*member{m}, c.chain...)
			} else {
				m.apply(len(c.log))
			}
			c.begin(next)
		}
	}
}

func (c *core) begin(chain []*member) {
	c.epoch++
	c.chain, c.brokenAt = chain, 0
	for _, m := range chain {
		m.later(c.world.span(20*time.Millisecond), func() {
			if c.healthy(m) {
				m.adopt()
			}
		})
		m.applySoon(len(c.log))
	}
}

// adopt learns of the present view.
func (m *member) adopt() {
	c := m.core
	if m.epoch == c.epoch && m.chain != nil {
		return
	}
	stays := m.chain != nil && m.chain[0] == m && m.epoch+1 == c.epoch
	m.epoch, m.chain, m.proofAt = c.epoch, c.chain, 0
	if m.chain[0] == m && !stays {
		m.headSince = c.world.Elapsed() + leadDelay
	}
}

// beat proves the epoch again and again.
func (m *member) beat() {
	w := m.core.world
	m.later(150*time.Millisecond+w.span(100*time.Millisecond), func() {
		if m.chain != nil && m.epoch == m.core.epoch && slices.Contains(m.chain, m) && m.core.healthy(m) {
			m.proofAt = w.Elapsed()
			m.applySoon(len(m.core.log))
		}
		m.beat()
	})
}

// commit takes the orders that wait.
func (c *core) commit() {
	pending := c.pending
	c.pending = nil
	for _, one := range pending {
		c.log = append(c.log, one.raw)
		one.index = len(c.log)
	}
	for _, m := range c.chain {
		m.applySoon(len(c.log))
	}
}

func (m *member) applySoon(end int) {
	if w := m.core.world; end > m.applied {
		longest := 20 * time.Millisecond
		if w.plant == plantUnapplied {
			longest = time.Second
		}
		m.later(w.span(longest), func() { m.apply(end) })
	}
}

func (m *member) apply(end int) {
	for m.applied < end {
		m.applied++
		raw := m.machine.Apply(uint64(m.applied), m.core.log[m.applied-1])
		if one := m.waiting; one != nil && one.index == m.applied {
			m.waiting = nil
			outcome, err := statemachine.DecodeOutcome(raw)
			if err != nil {
				panic(err)
			}
			one.done(outcome.Lending)
		}
	}
}

// propose proposes a change and waits for its outcome, for two seconds.
func (m *member) propose(change *statemachine.GrantsChange, done func(*statemachine.GrantsOutcome)) {
	w := m.core.world
	raw, err := statemachine.Command{Lending: change}.Encode()
	if err != nil {
		panic(err)
	}
	one := &proposal{raw: raw, done: done}
	m.waiting = one
	delay := w.span(10 * time.Millisecond)
	if w.random.Chance(0.02) {
		delay = w.span(8 * time.Second) // held up on its way: it may come after its proposer's time
	}
	w.After(delay, func() { m.core.pending = append(m.core.pending, one) })
	m.later(2*time.Second, func() {
		if m.waiting == one {
			m.waiting = nil
			done(nil)
		}
	})
}

func (m *member) rolesLoop() {
	m.roles()
	m.later(200*time.Millisecond, m.rolesLoop)
}

func (m *member) roles() {
	if m.waiting != nil || m.ending {
		return
	}
	if change := m.service.NextChange(); change != nil {
		m.propose(change, func(outcome *statemachine.GrantsOutcome) { m.service.ChangeDone(change, outcome) })
	}
}

// handOver ends the process as planned: it hands its lending on and leaves the chain.
func (m *member) handOver() {
	if !m.up || m.frozen || m.ending {
		return
	}
	c, w := m.core, m.core.world
	change := m.service.Release()
	leave := func() {
		m.ending = true
		rest := slices.DeleteFunc(slices.Clone(c.chain), func(other *member) bool { return other == m })
		if len(rest) >= 2 && len(rest) < len(c.chain) && c.whole(rest) {
			c.begin(rest)
		}
		w.After(100*time.Millisecond, m.stop)
		w.After(300*time.Millisecond+w.span(2*time.Second), m.start)
	}
	if change == nil {
		leave()
		return
	}
	m.propose(change, func(*statemachine.GrantsOutcome) {})
	m.later(300*time.Millisecond, leave)
}

// depose begins an epoch with another head while all are in touch.
func (c *core) depose() {
	if len(c.chain) > 1 && c.whole(c.chain) {
		c.begin(append(slices.Clone(c.chain[1:]), c.chain[0]))
	}
}

// handle answers a gateway.
func (m *member) handle(request protocol.QuotaRequest) protocol.QuotaReply {
	reply, err := m.service.Request(request)
	if err != nil {
		return protocol.QuotaReply{Sequence: request.Sequence}
	}
	m.core.world.answered(reply.Term, m.name)
	return reply
}
