package simulation

import (
	"container/heap"
	"time"
)

// epoch is the time at which every simulation starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Simulation runs events in the order of their times, and of their scheduling if the times are equal.
type Simulation struct {
	// Random is the source of all random decisions.
	Random *Rand
	// Links carry the messages.
	Links *Links

	now       time.Duration // since epoch
	events    eventQueue
	scheduled uint64 // number of events scheduled so far
	machines  map[string]*machine
	sent      uint64 // number of messages sent so far, lost ones included
}

// New returns a simulation at the start of its virtual time, without events.
func New(seed uint64) *Simulation {
	random := NewRand(seed)
	return &Simulation{Random: random, Links: newLinks(), machines: make(map[string]*machine)}
}

// Now returns the present virtual time.
func (s *Simulation) Now() time.Time {
	return epoch.Add(s.now)
}

// Elapsed returns how much virtual time has passed.
func (s *Simulation) Elapsed() time.Duration {
	return s.now
}

// After runs a function after a delay, regardless of the state of any machine.
func (s *Simulation) After(delay time.Duration, run func()) *Event {
	return s.schedule(&Event{run: run}, delay)
}

// AfterOn runs a function on a machine after a delay. The function never runs if the machine is stopped
// before it is due, and runs late if the machine is paused or lags.
func (s *Simulation) AfterOn(name string, delay time.Duration, run func()) *Event {
	m := s.machine(name)
	event := &Event{run: run, machine: m, incarnation: m.incarnation, timer: true}
	return s.schedule(event, delay+s.drawLag(m))
}

// Send runs a function that delivers a message on the receiving machine, after the delay of the link, unless
// the link loses the message or the machine is stopped when it arrives. It returns false if the link loses
// it. The message itself is passed to Links.Filter only.
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

// Sent returns how many messages were sent, lost ones included.
func (s *Simulation) Sent() uint64 {
	return s.sent
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

// Run runs all events that are due within duration, and advances the virtual time by it.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now + duration
	for len(s.events) > 0 && s.events[0].at <= end {
		s.Step()
	}
	s.now = end
}

// dispatch runs an event that is due. Events that were canceled, events of a stopped machine and timers of an
// earlier incarnation are dropped; events of a paused machine wait for Resume.
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

// schedule adds an event to the queue. A negative delay counts as zero.
func (s *Simulation) schedule(event *Event, delay time.Duration) *Event {
	event.at = s.now + max(delay, 0)
	event.sequence = s.scheduled
	s.scheduled++
	heap.Push(&s.events, event)
	return event
}
