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
	maxRejections = 4
	// mostUnsent bounds the attempts that reach no server.
	maxUnsent = 6
	// LeastTime is what must be left for another attempt.
	MinTimeLeft = 15 * time.Millisecond
)

// Account is what has become of one request so far.
type History struct {
	Idempotent bool // it may run more than once
	MaxServers int  // on which it may run

	possibleRuns int
	rejections   int
	unsent       int
}

// Note takes an outcome in.
func (h *History) Record(outcome Outcome) {
	switch outcome {
	case NotSent:
		h.unsent++
	case NotExecuted:
		h.rejections++
	case Lost, Failed:
		h.possibleRuns++
	}
	if h.possibleRuns > 1 && !h.Idempotent {
		panic("attempts: a request that may run once was sent to a second server")
	}
}

// MayHaveRun tells whether a server may have begun work on the request.
func (h *History) MayHaveRun() bool { return h.possibleRuns > 0 }

// Again tells whether the request may be sent to another server with so much time left.
func (h *History) MayRetry(left time.Duration) bool {
	if left < MinTimeLeft || h.rejections >= maxRejections || h.unsent >= maxUnsent {
		return false
	}
	return h.possibleRuns == 0 || h.Idempotent && h.possibleRuns < max(1, h.MaxServers)
}

// Spare tells whether another server could be asked with so much time left, should the one that has the request now be given up.
func (h *History) MayAbandon(left time.Duration) bool {
	return left >= MinTimeLeft && h.Idempotent && h.possibleRuns+1 < h.MaxServers
}

// Status gives the answer to a request that is given up.
func (h *History) FinalStatus(late bool) int {
	switch {
	case h.possibleRuns == 0:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
