// Package retry owns the question what may follow an attempt at a server: another one, or which answer the client gets.
// It keeps the promises of that answer: 503 says that a request has not run and never will. It reads no clock, and does no input
// or output.
//
// It is not internal/core's module: there a transaction has one answer, read whole or copied to its end. Here a stream may go on
// at another server in the middle of its answer, and a server is chosen by what its cache holds.
package retry

import (
	"net/http"
	"time"
)

// Outcome is how an attempt ended that gave nothing to pass on.
type Outcome uint8

// The outcomes.
const (
	NotSent     Outcome = iota // the request did not go out whole: it has not run there
	NotExecuted                // the server says that it did not run it
	Lost                       // after the request went out whole: silence, a reset, or bytes that are no answer to it
	Failed                     // the server's own failure, whole: it counts as run
)

const (
	// mostRefusals bounds the servers that may say of one request that they did not run it.
	mostRefusals = 4
	// mostUnsent bounds the attempts that reach no server.
	mostUnsent = 6
	// LeastTime is what must be left for another attempt.
	LeastTime = 15 * time.Millisecond
)

// Account is what has become of one request so far.
type Account struct {
	Repeatable bool // it may run more than once
	MaxServers int  // on which it may run

	ran      int
	refusals int
	unsent   int
}

// Note takes an outcome in.
func (a *Account) Note(outcome Outcome) {
	switch outcome {
	case NotSent:
		a.unsent++
	case NotExecuted:
		a.refusals++
	case Lost, Failed:
		a.ran++
	}
	if a.ran > 1 && !a.Repeatable {
		panic("attempts: a request that may run once was sent to a second server")
	}
}

// MayHaveRun tells whether a server may have begun work on the request.
func (a *Account) MayHaveRun() bool { return a.ran > 0 }

// Again tells whether the request may be sent to another server with so much time left.
func (a *Account) Again(left time.Duration) bool {
	if left < LeastTime || a.refusals >= mostRefusals || a.unsent >= mostUnsent {
		return false
	}
	return a.ran == 0 || a.Repeatable && a.ran < max(1, a.MaxServers)
}

// Spare tells whether another server could be asked with so much time left, should the one that has the request now be given up.
func (a *Account) Spare(left time.Duration) bool {
	return left >= LeastTime && a.Repeatable && a.ran+1 < a.MaxServers
}

// Status gives the answer to a request that is given up.
func (a *Account) Status(late bool) int {
	switch {
	case a.ran == 0:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
