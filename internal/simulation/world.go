package simulation

import (
	"container/heap"
	"time"
)

// epoch is the time at which every world starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// World runs events in the order of their times, and of their making where times are equal.
type Simulation struct {
	// Random decides all that is left to chance.
	Random *Rand
	// Links carry the messages.
	Links *Links

	now       time.Duration
	events    eventQueue
	scheduled uint64
	machines  map[string]*machine
	sent      uint64
}

// machine is the state of a named machine.
type machine struct {
	stopped     bool
	paused      bool
	incarnation uint64 // counts its stops
	lag         time.Duration
	waiting     []*Event // those that came due while it was frozen
}

// Event is something that happens at a time.
type Event struct {
	at          time.Duration
	sequence    uint64
	run         func()
	machine     *machine // nil for an event of the world itself
	incarnation uint64   // of the machine, for its own timers
	timer       bool
	canceled    bool
}

// Cancel keeps an event from happening, if it hasn't yet.
func (e *Event) Cancel() {
	e.canceled = true
}

// NewWorld returns a world in which nothing has happened.
func New(seed uint64) *Simulation {
	random := NewRand(seed)
	return &Simulation{Random: random, Links: newLinks(), machines: make(map[string]*machine)}
}

// Now returns the time in the world.
func (s *Simulation) Now() time.Time {
	return epoch.Add(s.now)
}

// Elapsed returns how long the world has run.
func (s *Simulation) Elapsed() time.Duration {
	return s.now
}

// After runs a function after a delay, whatever becomes of any machine.
func (s *Simulation) After(delay time.Duration, run func()) *Event {
	return s.schedule(&Event{run: run}, delay)
}

// AfterOn runs a function on a machine after a delay. It never runs if the machine is stopped before, and runs late
// if the machine is frozen or lags.
func (s *Simulation) AfterOn(name string, delay time.Duration, run func()) *Event {
	m := s.machine(name)
	event := &Event{run: run, machine: m, incarnation: m.incarnation, timer: true}
	return s.schedule(event, delay+s.drawLag(m))
}

// Send has a function deliver a message on the receiving machine, after the delay of the link, unless the link loses
// it or the machine is stopped when it arrives. It returns false if the message is lost on the way. The message
// itself is passed to Links.Filter only.
func (s *Simulation) Send(from, to string, message any, deliver func()) bool {
	s.sent++
	delay, arrives := s.Links.transmit(s, from, to, message)
	if !arrives {
		return false
	}
	m := s.machine(to)
	s.schedule(&Event{run: deliver, machine: m}, delay+s.drawLag(m))
	return true
}

// Sent returns how many messages were sent.
func (s *Simulation) Sent() uint64 {
	return s.sent
}

// Stop ends a machine's process: its timers never run, and messages that arrive are lost.
func (s *Simulation) Stop(name string) {
	m := s.machine(name)
	m.stopped = true
	m.paused = false
	m.waiting = nil
	m.incarnation++
}

// Start lets messages arrive at a stopped machine again.
func (s *Simulation) Start(name string) {
	s.machine(name).stopped = false
}

// Stopped tells whether a machine is stopped.
func (s *Simulation) Stopped(name string) bool {
	return s.machine(name).stopped
}

// Freeze lets nothing run on a machine until Thaw.
func (s *Simulation) Pause(name string) {
	s.machine(name).paused = true
}

// Thaw runs what waited for a frozen machine, in order and at once.
func (s *Simulation) Resume(name string) {
	m := s.machine(name)
	m.paused = false
	waiting := m.waiting
	m.waiting = nil
	for _, event := range waiting {
		s.schedule(event, 0)
	}
}

// SetLag delays each message and timer of a machine by up to this, as a lack of processor time does. It applies to
// those made from now on.
func (s *Simulation) SetLag(name string, lag time.Duration) {
	s.machine(name).lag = lag
}

// Step runs the next event. It returns false if there is none.
func (s *Simulation) Step() bool {
	if len(s.events) == 0 {
		return false
	}
	event := heap.Pop(&s.events).(*Event)
	s.now = event.at
	s.dispatch(event)
	return true
}

// Run runs all events of the next duration, after which it is that much later.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now + duration
	for len(s.events) > 0 && s.events[0].at <= end {
		s.Step()
	}
	s.now = end
}

// happen runs an event unless its machine keeps it from that.
func (s *Simulation) dispatch(event *Event) {
	m := event.machine
	switch {
	case event.canceled:
	case m == nil:
		event.run()
	case m.stopped || event.timer && event.incarnation != m.incarnation:
	case m.paused:
		m.waiting = append(m.waiting, event)
	default:
		event.run()
	}
}

// add puts an event into the queue.
func (s *Simulation) schedule(event *Event, delay time.Duration) *Event {
	event.at = s.now + max(delay, 0)
	event.sequence = s.scheduled
	s.scheduled++
	heap.Push(&s.events, event)
	return event
}

// machine returns the machine of a name, which is made at its first use.
func (s *Simulation) machine(name string) *machine {
	m, ok := s.machines[name]
	if !ok {
		m = &machine{}
		s.machines[name] = m
	}
	return m
}

// lagOf returns a delay for an event on a machine.
func (s *Simulation) drawLag(m *machine) time.Duration {
	return s.Random.Between(0, m.lag)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*Event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(event any) { *q = append(*q, event.(*Event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return event
}
