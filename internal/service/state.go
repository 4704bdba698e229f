package service

import (
	"sync"
	"time"
)

const (
	// DefaultAcceptPeriod is the time for which new connections are accepted after Shutdown. Load balancers
	// continue to send connections for up to 0.4 s.
	DefaultAcceptPeriod = 600 * time.Millisecond
	// IdleGrace is the time for which idle connections stay open when clients have to leave. A client that
	// sends another request within that time learns from the response that it must use another connection; a
	// later request may race with the close.
	IdleGrace = 500 * time.Millisecond
	// newConnGrace is the time that the process waits after the accept period before it may exit, for a
	// connection that was accepted at its end and has sent nothing yet.
	newConnGrace = 100 * time.Millisecond
)

// State is the state of service of a process. It is safe for concurrent use.
type State struct {
	mu              sync.Mutex // guards the fields below
	started         bool
	drainRequested  bool
	handedOver      bool
	shuttingDown    bool
	drainingSince   time.Time     // when clients first had to leave, in any of the last three phases
	shutdownAt      time.Time     // time of the call of Shutdown
	acceptPeriod    time.Duration // measured from shutdownAt
	shutdownTimeout time.Duration // measured from shutdownAt; the latest time at which the process exits
	changed         chan struct{} // closed and replaced at each change
}

// New returns the state of a process that has just started.
func New() *State { return &State{acceptPeriod: DefaultAcceptPeriod, changed: make(chan struct{})} }

// SetAcceptPeriod sets the time for which new connections are accepted after Shutdown, instead of
// DefaultAcceptPeriod.
func (s *State) SetAcceptPeriod(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptPeriod = period
	s.notify()
}

// Phase returns the current phase.
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

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes the goroutines that wait for a change. The mutex is held.
func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// MarkStarted records that the process can serve.
func (s *State) MarkStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.notify()
}

// Drain starts to drain: clients have to leave. Repeated calls have no further effect, and a call during
// shutdown only changes what DrainRequested returns. Drain returns false if another process of the gateway
// serves, on which Drain must be called instead.
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

// noteDraining records the time from which clients have to leave, unless they already have to. The mutex is
// held.
func (s *State) noteDraining(now time.Time) {
	if !s.drainRequested && !s.handedOver && !s.shuttingDown {
		s.drainingSince = now
	}
}

// Undrain ends a drain. It returns false if this process can't serve clients again, because it shuts down or
// has handed over.
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

// HandOver records that another process of the gateway serves from now on. A drain that was requested applies
// to that process.
func (s *State) HandOver(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteDraining(now)
	s.handedOver = true
	s.notify()
}

// TakeBack ends a hand-over: this process serves again.
func (s *State) TakeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handedOver = false
	s.notify()
}

// DrainRequested reports whether a drain was requested and not ended by Undrain.
func (s *State) DrainRequested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainRequested
}

// Shutdown begins the graceful shutdown; the process exits within the timeout. It returns false if it was
// called before, and then changes nothing.
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

// CanServe reports whether this process can serve. It is true also during a drain, and while another process
// serves in its place: if that process dies, this one serves again.
func (s *State) CanServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.shuttingDown
}

// Ready reports whether clients should be sent to this gateway, whichever of its processes serves.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.drainRequested && !s.shuttingDown
}

// ClosesAfterResponse reports whether each response is the last one of its connection, because clients have to
// leave.
func (s *State) ClosesAfterResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainRequested || s.handedOver || s.shuttingDown
}

// ClosesIdle reports whether idle connections are to be closed now.
func (s *State) ClosesIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.drainRequested || s.handedOver || s.shuttingDown) && now.Sub(s.drainingSince) >= IdleGrace
}

// Accepts reports whether new connections are accepted now.
func (s *State) Accepts(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.shuttingDown || now.Sub(s.shutdownAt) < s.acceptPeriod
}

// ExitDeadline returns the time at which the process exits at the latest, and whether it applies to requests
// that arrive now. It applies after the accept period: a request that arrives then, on a connection that is
// still open, may have less time left than its deadline. An earlier request is expected to end in time.
func (s *State) ExitDeadline(now time.Time) (at time.Time, applies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shutdownAt.Add(s.shutdownTimeout), s.shuttingDown && now.Sub(s.shutdownAt) >= s.acceptPeriod
}

// MayExit reports whether the process may exit now. open is the number of open client connections. After a
// hand-over no new connections arrive, so the process doesn't wait for the end of the accept period.
func (s *State) MayExit(now time.Time, open int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.shutdownAt)
	noMoreArrive := s.handedOver || elapsed >= s.acceptPeriod+newConnGrace
	return s.shuttingDown && (open == 0 && noMoreArrive || elapsed >= s.shutdownTimeout)
}
