package modelserver

import (
	"net/http"
	"time"
)

// Faults are what a server does to its requests while they are set. The zero value is none.
type Faults struct {
	// Reject has requests rejected, as by a server that is full.
	Reject bool
	// PauseBefore is how long the server is silent before each response, as while it reads a long prompt.
	PauseBefore time.Duration
	// PauseWithin is how long the server is silent before the middle event of each response, as when it has preempted
	// the request.
	PauseWithin time.Duration
	// BreakOff has the server end the connection in place of the middle event.
	BreakOff bool
}

// SetFaults sets the faults from now on, also for requests that are running.
func (s *Server) SetFaults(faults Faults) { s.faults.Store(&faults) }

// currentFaults returns the faults that are set.
func (s *Server) currentFaults() Faults {
	if faults := s.faults.Load(); faults != nil {
		return *faults
	}
	return Faults{}
}

// breakOff ends the connection of a request, by a panic, and records that the server did.
func (s *Server) breakOff(r *request) {
	s.options.ExecutionLog.recordBrokenOff(r.id)
	panic(http.ErrAbortHandler)
}
