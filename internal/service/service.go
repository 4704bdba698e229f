// Package service owns a gateway's state of service and what follows from it: whether clients are taken, whether an
// answer is its connection's last, when idle connections close and when the process may end. It reads no clock and does
// no input or output; it must never ask the core or the pool anything.
package service

import (
	"sync"
	"time"
)

// Phase is the state of service.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // not yet able to serve
	Serving
	Draining     // clients are sent away, the process stays
	HandedOver   // another process of this gateway serves; this one answers what it holds
	ShuttingDown // the process ends once all that was taken is answered
)

var phaseNames = [...]string{"starting", "serving", "draining", "handed_over", "ending"}

func (p Phase) String() string { return phaseNames[p] }

const (
	// AcceptOn is how long new connections are taken after the end was asked for: the front goes on sending them for
	// up to 0.4 s.
	DefaultAcceptPeriod = 600 * time.Millisecond
	// IdleGrace is how long an idle connection is left, so that its client's next request takes the last answer: only
	// a request that crosses the close costs its client a further connection.
	IdleGrace = 500 * time.Millisecond
	// settle is how long a connection that was accepted last and has sent nothing is waited for.
	newConnGrace = 100 * time.Millisecond
)

// The platform kills a process no sooner after it asked for its end than the longest deadline, of which longestCounted
// counts at most, and killedAfter. Answers are out by so much before that.
const (
	maxDeadlineCounted = 3 * time.Second
	killGrace          = 700 * time.Millisecond
	responseMargin     = 150 * time.Millisecond
)

// EndWithin gives, from the asking for the end on, when what is still open gets its final answer, and when the process
// ends whatever is open, where clients wait for so long at most. A request that may take longer than a process that
// ends is left is not waited for: its client is told so while it can still be told.
func ShutdownTimes(maxDeadline time.Duration) (responses, exit time.Duration) {
	killAfter := min(maxDeadline, maxDeadlineCounted) + killGrace
	return killAfter - responseMargin, killAfter - responseMargin/3
}

// State is a gateway's state of service. It is safe for concurrent use.
type State struct {
	mu              sync.Mutex
	started         bool
	drainRequested  bool
	handedOver      bool
	shuttingDown    bool
	drainingSince   time.Time     // when clients began to be sent away
	shutdownAt      time.Time     // when the end was asked for
	acceptPeriod    time.Duration // how long new connections are taken after that
	shutdownTimeout time.Duration // what was taken then is answered by so much later, or never
	changed         chan struct{}
}

// New gives the state of a process that has just begun.
func New() *State { return &State{acceptPeriod: DefaultAcceptPeriod, changed: make(chan struct{})} }

// AcceptFor sets how long new connections are taken after the end was asked for, in place of AcceptOn.
func (s *State) SetAcceptPeriod(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptPeriod = period
	s.notify()
}

// Phase gives the phase.
func (s *State) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.shuttingDown:
		return ShuttingDown
	case s.handedOver:
		return HandedOver
	case s.drainRequested:
		return Draining
	case !s.started:
		return Starting
	}
	return Serving
}

// Changed is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// change notes a change, for those that wait for one. The mutex is held.
func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Started tells that the process can serve from now on.
func (s *State) MarkStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.notify()
}

// Drain sends clients away. Twice is as good as once; a process that ends has sent them away already. It tells whether
// this is the process to be told so.
func (s *State) Drain(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handedOver && !s.shuttingDown {
		return false
	}
	s.noteDraining(now)
	s.drainRequested = true
	s.notify()
	return true
}

// away notes from when on clients are sent away. The mutex is held.
func (s *State) noteDraining(now time.Time) {
	if !s.drainRequested && !s.handedOver && !s.shuttingDown {
		s.drainingSince = now
	}
}

// Undrain takes clients again, and tells whether that can be: a process that ends takes none.
func (s *State) Undrain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown || s.handedOver {
		return false
	}
	s.drainRequested = false
	s.notify()
	return true
}

// HandOver tells that another process serves now. A drain that was called for is that one's.
func (s *State) HandOver(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteDraining(now)
	s.handedOver = true
	s.notify()
}

// TakeBack tells that this process serves again.
func (s *State) TakeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = false
	s.notify()
}

// Drained tells whether a drain has been called for.
func (s *State) DrainRequested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainRequested
}

// End begins the end; all that was taken has its answer within some time. It tells whether this was the first call.
func (s *State) Shutdown(now time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return false
	}
	s.noteDraining(now)
	s.shuttingDown, s.shutdownAt, s.shutdownTimeout = true, now, timeout
	s.notify()
	return true
}

// Serves tells whether this process can serve. A drain changes nothing about that, nor does another process that serves in
// its place: should that one die, this one serves again.
func (s *State) CanServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.shuttingDown
}

// Ready tells whether clients are to come to this gateway, to whichever of its processes.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.drainRequested && !s.shuttingDown
}

// Last tells whether each answer is its connection's last.
func (s *State) ClosesAfterResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainRequested || s.handedOver || s.shuttingDown
}

// ClosesIdle tells whether connections that stand idle are to be closed now.
func (s *State) ClosesIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.drainRequested || s.handedOver || s.shuttingDown) && now.Sub(s.drainingSince) >= IdleGrace
}

// Accepts tells whether new connections are taken now.
func (s *State) Accepts(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.shuttingDown || now.Sub(s.shutdownAt) < s.acceptPeriod
}

// Leaves gives when the process ends at the latest, and tells whether that counts for what is taken now: once no new connections
// are, a request on one that is still open may find less time than it has.
func (s *State) ExitDeadline(now time.Time) (at time.Time, applies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shutdownAt.Add(s.shutdownTimeout), s.shuttingDown && now.Sub(s.shutdownAt) >= s.acceptPeriod
}

// MayEnd tells whether the process may end now, with so many connections of clients open. Where another process serves no
// new ones come, and what is open either gets its answer or is closed as idle.
func (s *State) MayExit(now time.Time, open int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.shutdownAt)
	return s.shuttingDown && (open == 0 && (s.handedOver || elapsed >= s.acceptPeriod+newConnGrace) || elapsed >= s.shutdownTimeout)
}
