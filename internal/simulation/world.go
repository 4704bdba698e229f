package simulation

import (
	"container/heap"
	"time"
)

// epoch is the time at which every world starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// World runs events in the order of their times, and of their making where times are equal.
type World struct {
	// Random decides all that is left to chance.
	Random *Rand
	// Links carry the messages.
	Links *Links

	now      time.Duration
	events   eventQueue
	made     uint64
	machines map[string]*machine
	sent     uint64
}

// machine is the state of a named machine.
type machine struct {
	stopped    bool
	frozen     bool
	generation uint64 // counts its stops
	lag        time.Duration
	waiting    []*Event // those that came due while it was frozen
}

// Event is something that happens at a time.
type Event struct {
	at         time.Duration
	order      uint64
	run        func()
	machine    *machine // nil for an event of the world itself
	generation uint64   // of the machine, for its own timers
	timer      bool
	canceled   bool
}

// Cancel keeps an event from happening, if it hasn't yet.
func (e *Event) Cancel() {
	e.canceled = true
}

// NewWorld returns a world in which nothing has happened.
func NewWorld(seed uint64) *World {
	random := NewRand(seed)
	return &World{Random: random, Links: newLinks(), machines: make(map[string]*machine)}
}

// Now returns the time in the world.
func (w *World) Now() time.Time {
	return epoch.Add(w.now)
}

// Elapsed returns how long the world has run.
func (w *World) Elapsed() time.Duration {
	return w.now
}

// After runs a function after a delay, whatever becomes of any machine.
func (w *World) After(delay time.Duration, run func()) *Event {
	return w.add(&Event{run: run}, delay)
}

// AfterOn runs a function on a machine after a delay. It never runs if the machine is stopped before, and runs late
// if the machine is frozen or lags.
func (w *World) AfterOn(name string, delay time.Duration, run func()) *Event {
	m := w.machine(name)
	event := &Event{run: run, machine: m, generation: m.generation, timer: true}
	return w.add(event, delay+w.lagOf(m))
}

// Send has a function deliver a message on the receiving machine, after the delay of the link, unless the link loses
// it or the machine is stopped when it arrives. It returns false if the message is lost on the way. The message
// itself is passed to Links.Filter only.
func (w *World) Send(from, to string, message any, deliver func()) bool {
	w.sent++
	delay, arrives := w.Links.carry(w, from, to, message)
	if !arrives {
		return false
	}
	m := w.machine(to)
	w.add(&Event{run: deliver, machine: m}, delay+w.lagOf(m))
	return true
}

// Sent returns how many messages were sent.
func (w *World) Sent() uint64 {
	return w.sent
}

// Stop ends a machine's process: its timers never run, and messages that arrive are lost.
func (w *World) Stop(name string) {
	m := w.machine(name)
	m.stopped = true
	m.frozen = false
	m.waiting = nil
	m.generation++
}

// Start lets messages arrive at a stopped machine again.
func (w *World) Start(name string) {
	w.machine(name).stopped = false
}

// Stopped tells whether a machine is stopped.
func (w *World) Stopped(name string) bool {
	return w.machine(name).stopped
}

// Freeze lets nothing run on a machine until Thaw.
func (w *World) Freeze(name string) {
	w.machine(name).frozen = true
}

// Thaw runs what waited for a frozen machine, in order and at once.
func (w *World) Thaw(name string) {
	m := w.machine(name)
	m.frozen = false
	waiting := m.waiting
	m.waiting = nil
	for _, event := range waiting {
		w.add(event, 0)
	}
}

// SetLag delays each message and timer of a machine by up to this, as a lack of processor time does. It applies to
// those made from now on.
func (w *World) SetLag(name string, lag time.Duration) {
	w.machine(name).lag = lag
}

// Step runs the next event. It returns false if there is none.
func (w *World) Step() bool {
	if len(w.events) == 0 {
		return false
	}
	event := heap.Pop(&w.events).(*Event)
	w.now = event.at
	w.happen(event)
	return true
}

// Run runs all events of the next duration, after which it is that much later.
func (w *World) Run(duration time.Duration) {
	end := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= end {
		w.Step()
	}
	w.now = end
}

// happen runs an event unless its machine keeps it from that.
func (w *World) happen(event *Event) {
	m := event.machine
	switch {
	case event.canceled:
	case m == nil:
		event.run()
	case m.stopped || event.timer && event.generation != m.generation:
	case m.frozen:
		m.waiting = append(m.waiting, event)
	default:
		event.run()
	}
}

// add puts an event into the queue.
func (w *World) add(event *Event, delay time.Duration) *Event {
	event.at = w.now + max(delay, 0)
	event.order = w.made
	w.made++
	heap.Push(&w.events, event)
	return event
}

// machine returns the machine of a name, which is made at its first use.
func (w *World) machine(name string) *machine {
	m, ok := w.machines[name]
	if !ok {
		m = &machine{}
		w.machines[name] = m
	}
	return m
}

// lagOf returns a delay for an event on a machine.
func (w *World) lagOf(m *machine) time.Duration {
	return w.Random.Between(0, m.lag)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []*Event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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
