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
	Draining   // clients are sent away, the process stays
	HandedOver // another process of this gateway serves; this one answers what it holds
	Ending     // the process ends once all that was taken is answered
)

var phases = [...]string{"starting", "serving", "draining", "handed_over", "ending"}

func (p Phase) String() string { return phases[p] }

const (
	// AcceptOn is how long new connections are taken after the end was asked for: the front goes on sending them for
	// up to 0.4 s.
	AcceptOn = 600 * time.Millisecond
	// IdleGrace is how long an idle connection is left, so that its client's next request takes the last answer: only
	// a request that crosses the close costs its client a further connection.
	IdleGrace = 500 * time.Millisecond
	// settle is how long a connection that was accepted last and has sent nothing is waited for.
	settle = 100 * time.Millisecond
)

// The platform kills a process no sooner after it asked for its end than the longest deadline, of which longestCounted
// counts at most, and killedAfter. Answers are out by so much before that.
const (
	longestCounted = 3 * time.Second
	killedAfter    = 700 * time.Millisecond
	answeredBefore = 150 * time.Millisecond
)

// EndWithin gives, from the asking for the end on, when what is still open gets its final answer, and when the process
// ends whatever is open, where clients wait for so long at most. A request that may take longer than a process that
// ends is left is not waited for: its client is told so while it can still be told.
func EndWithin(longest time.Duration) (answers, ends time.Duration) {
	killed := min(longest, longestCounted) + killedAfter
	return killed - answeredBefore, killed - answeredBefore/3
}

// State is a gateway's state of service. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	started bool
	drained bool
	given   bool
	ending  bool
	since   time.Time     // when clients began to be sent away
	asked   time.Time     // when the end was asked for
	accept  time.Duration // how long new connections are taken after that
	within  time.Duration // what was taken then is answered by so much later, or never
	changed chan struct{}
}

// New gives the state of a process that has just begun.
func New() *State { return &State{accept: AcceptOn, changed: make(chan struct{})} }

// AcceptFor sets how long new connections are taken after the end was asked for, in place of AcceptOn.
func (s *State) AcceptFor(accept time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accept = accept
	s.change()
}

// Phase gives the phase.
func (s *State) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ending:
		return Ending
	case s.given:
		return HandedOver
	case s.drained:
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
func (s *State) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Started tells that the process can serve from now on.
func (s *State) Started() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.change()
}

// Drain sends clients away. Twice is as good as once; a process that ends has sent them away already. It tells whether
// this is the process to be told so.
func (s *State) Drain(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.given && !s.ending {
		return false
	}
	s.away(now)
	s.drained = true
	s.change()
	return true
}

// away notes from when on clients are sent away. The mutex is held.
func (s *State) away(now time.Time) {
	if !s.drained && !s.given && !s.ending {
		s.since = now
	}
}

// Undrain takes clients again, and tells whether that can be: a process that ends takes none.
func (s *State) Undrain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending || s.given {
		return false
	}
	s.drained = false
	s.change()
	return true
}

// HandOver tells that another process serves now. A drain that was called for is that one's.
func (s *State) HandOver(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away(now)
	s.given = true
	s.change()
}

// TakeBack tells that this process serves again.
func (s *State) TakeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.given = false
	s.change()
}

// Drained tells whether a drain has been called for.
func (s *State) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// End begins the end; all that was taken has its answer within some time. It tells whether this was the first call.
func (s *State) End(now time.Time, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return false
	}
	s.away(now)
	s.ending, s.asked, s.within = true, now, within
	s.change()
	return true
}

// Serves tells whether this process can serve. A drain changes nothing about that, nor does another process that serves in
// its place: should that one die, this one serves again.
func (s *State) Serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.ending
}

// Ready tells whether clients are to come to this gateway, to whichever of its processes.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started && !s.drained && !s.ending
}

// Last tells whether each answer is its connection's last.
func (s *State) Last() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained || s.given || s.ending
}

// ClosesIdle tells whether connections that stand idle are to be closed now.
func (s *State) ClosesIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.drained || s.given || s.ending) && now.Sub(s.since) >= IdleGrace
}

// Accepts tells whether new connections are taken now.
func (s *State) Accepts(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ending || now.Sub(s.asked) < s.accept
}

// Leaves gives when the process ends at the latest, and tells whether that counts for what is taken now: once no new connections
// are, a request on one that is still open may find less time than it has.
func (s *State) Leaves(now time.Time) (at time.Time, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked.Add(s.within), s.ending && now.Sub(s.asked) >= s.accept
}

// MayEnd tells whether the process may end now, with so many connections of clients open. Where another process serves no
// new ones come, and what is open either gets its answer or is closed as idle.
func (s *State) MayEnd(now time.Time, open int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := now.Sub(s.asked)
	return s.ending && (open == 0 && (s.given || gone >= s.accept+settle) || gone >= s.within)
}
