package simulation

import "time"

// machine is the state of a machine, which has one process.
type machine struct {
	stopped     bool
	paused      bool
	incarnation uint64 // of its process: the number of times that it was stopped
	lag         time.Duration
	waiting     []*Event // events that came due while the machine was paused, in order
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

// Stopped reports whether a machine is stopped.
func (s *Simulation) Stopped(name string) bool {
	return s.machine(name).stopped
}

// Pause delays all messages and timers of a machine until Resume.
func (s *Simulation) Pause(name string) {
	s.machine(name).paused = true
}

// Resume schedules the events that waited for a paused machine, without delay and in order.
func (s *Simulation) Resume(name string) {
	m := s.machine(name)
	m.paused = false
	waiting := m.waiting
	m.waiting = nil
	for _, event := range waiting {
		s.schedule(event, 0)
	}
}

// SetLag delays each message and timer of a machine by a random time below lag, as a lack of processor
// time does. It applies to messages and timers that are scheduled from now on.
func (s *Simulation) SetLag(name string, lag time.Duration) {
	s.machine(name).lag = lag
}

// machine returns the machine with a name, and creates it at its first use.
func (s *Simulation) machine(name string) *machine {
	m, ok := s.machines[name]
	if !ok {
		m = &machine{}
		s.machines[name] = m
	}
	return m
}

// drawLag returns a random delay below the lag of a machine, for one event.
func (s *Simulation) drawLag(m *machine) time.Duration {
	return s.Random.Between(0, m.lag)
}
