// Package retry decides whether another attempt to send a request to a server may follow an attempt, and which
// status the client gets if none follows. It reads no clock and does no input or output.
//
// It gives two guarantees:
//
//   - A request that isn't idempotent may have run on at most one server, an idempotent one on at most its
//     route's max-attempts servers.
//   - 503 tells the client that no server has run the request and none will. A request that may have run ends
//     with 502, or with 504 if its deadline has passed.
//
// Attempts that can't have run don't count for the first guarantee. Their numbers are bounded separately.
//
// Package policy decides on retries for the daemon, in whose transactions (internal/core) a response comes
// from one server. It can't be used here, because a stream may continue at another server in the middle of the
// response.
package retry

import (
	"net/http"
	"time"
)

// Outcome is how an attempt ended that yielded no response to forward to the client.
type Outcome uint8

// Outcomes of attempts.
const (
	NotSent     Outcome = iota // the request wasn't written completely, so it has not run
	NotExecuted                // the server responded that it did not run the request
	Lost                       // the request was written and no usable response arrived: it may have run
	Failed                     // the server responded with a failure: the request counts as run
)

const (
	// maxRejections bounds the attempts that end with NotExecuted.
	maxRejections = 4
	// maxUnsent bounds the attempts that end with NotSent.
	maxUnsent = 6
	// MinTimeLeft is the least time left before the deadline with which another attempt is allowed.
	MinTimeLeft = 15 * time.Millisecond
)

// History records the outcomes of one request's attempts. Its exported fields must be set before the first attempt.
type History struct {
	Idempotent bool // the request may run more than once
	MaxServers int  // number of servers on which an idempotent request may run; below 2: one

	possibleRuns int // attempts that ended with Lost or Failed
	rejections   int // attempts that ended with NotExecuted
	unsent       int // attempts that ended with NotSent
}

// Record adds an attempt's outcome. It panics if a request that isn't idempotent may have run more than once: MayRetry
// forbids the attempt.
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
		panic("retry: a request that isn't idempotent was sent to another server after it may have run")
	}
}

// MayHaveRun reports whether a server may have begun to run the request.
func (h *History) MayHaveRun() bool { return h.possibleRuns > 0 }

// MayRetry reports whether the request may be sent to another server when left remains before its deadline.
// It must be called before the first attempt, too.
func (h *History) MayRetry(left time.Duration) bool {
	if left < MinTimeLeft || h.rejections >= maxRejections || h.unsent >= maxUnsent {
		return false
	}
	return h.possibleRuns == 0 || h.Idempotent && h.possibleRuns < max(1, h.MaxServers)
}

// MayHedge reports whether the request may be sent to another server beside the attempts in flight, of which there are
// inFlight, when left remains before the deadline. Each of them counts as a run.
func (h *History) MayHedge(left time.Duration, inFlight int) bool {
	return left >= MinTimeLeft && h.Idempotent && h.possibleRuns+inFlight < h.MaxServers
}

// FinalStatus returns the HTTP status for a request that is given up. late says that its deadline has passed.
func (h *History) FinalStatus(late bool) int {
	switch {
	case h.possibleRuns == 0:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
