// Package retry decides what may follow an attempt to send a request to a server: another attempt, or which
// status the client gets. It reads no clock and does no input or output.
//
// It upholds two promises:
//
//   - A request that isn't idempotent may have run on at most one server, an idempotent one on at most its
//     route's max-attempts servers.
//   - 503 tells the client that no server has run the request and none will. A request that may have run ends
//     with 502, or with 504 if its deadline has passed.
//
// Attempts that can't have run don't count against the first promise, and have bounds of their own.
//
// Package policy decides on retries for the daemon, in whose transactions (internal/core) a response comes
// from one server. That isn't used here: a stream may continue at another server in the middle of the
// response.
package retry

import (
	"net/http"
	"time"
)

// Outcome is how an attempt ended that left nothing to forward to the client.
type Outcome uint8

// Outcomes of attempts.
const (
	NotSent     Outcome = iota // the request wasn't written completely: it has not run
	NotExecuted                // the server says that it did not run it
	Lost                       // it was written, and no usable response came: it may have run
	Failed                     // the server responded that it failed: it counts as run
)

const (
	// maxRejections bounds the attempts at servers that say they did not run the request.
	maxRejections = 4
	// maxUnsent bounds the attempts that reach no server.
	maxUnsent = 6
	// MinTimeLeft is the least time before the deadline with which another attempt is made.
	MinTimeLeft = 15 * time.Millisecond
)

// History is what has become of one request's attempts so far. Its exported fields are set before the first.
type History struct {
	Idempotent bool // the request may run more than once
	MaxServers int  // on which an idempotent request may run; less than 2: one

	possibleRuns int // attempts that were Lost or Failed
	rejections   int // that were NotExecuted
	unsent       int // that were NotSent
}

// Record adds an attempt's outcome. It panics if the attempt should not have been made.
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
		panic("retry: a request that may run once was sent to a second server")
	}
}

// MayHaveRun reports whether a server may have begun to run the request.
func (h *History) MayHaveRun() bool { return h.possibleRuns > 0 }

// MayRetry reports whether the request may be sent to another server when left remains before its deadline.
// It is asked before the first attempt, too.
func (h *History) MayRetry(left time.Duration) bool {
	if left < MinTimeLeft || h.rejections >= maxRejections || h.unsent >= maxUnsent {
		return false
	}
	return h.possibleRuns == 0 || h.Idempotent && h.possibleRuns < max(1, h.MaxServers)
}

// MayAbandon reports whether the attempt in progress may be given up in favor of another server when left
// remains before the deadline.
func (h *History) MayAbandon(left time.Duration) bool {
	return left >= MinTimeLeft && h.Idempotent && h.possibleRuns+1 < h.MaxServers
}

// FinalStatus returns the status for a request that is given up. late means that its deadline has passed.
func (h *History) FinalStatus(late bool) int {
	switch {
	case h.possibleRuns == 0:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
