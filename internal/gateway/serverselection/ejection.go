package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// rejectionBackoff is how long a server that rejected a request isn't selected. It doubles with each
	// further rejection without a success between, up to maxRejectionBackoff.
	rejectionBackoff, maxRejectionBackoff = 60 * time.Millisecond, time.Second
	// baseEjection is how long a server that failed a request isn't selected. It doubles with each failure,
	// up to maxEjection.
	baseEjection, maxEjection = 400 * time.Millisecond, 4 * time.Second
	// failureResetAfter is the time without a failure after which a server's failures no longer count.
	failureResetAfter = 8 * time.Second
)

// Result is how an attempt at a server ended.
type Result uint8

// Results of attempts.
const (
	Succeeded   Result = iota
	Rejected           // the server rejected the request, and is healthy
	Unreachable        // no connection was established, or it broke before the request was written
	Broken             // the server stalled, reset the connection, or sent no valid response
	Failed             // the server responded that it failed
	Abandoned          // the client or the gateway gave up, which says nothing about the server
)

// ejection is the state of a server's outlier ejection, by the results of this gateway's attempts. The selector's
// mu guards it.
type ejection struct {
	rejections int // since the last success
	// failures counts failed requests. A success resets it only after failureResetAfter without a failure, because
	// a faulty server may fail some requests and serve others.
	failures     int
	lastFailure  time.Time
	ejectedUntil time.Time
}

// record updates the ejection by the result of an attempt.
func (e *ejection) record(result Result, now time.Time) {
	switch result {
	case Succeeded:
		e.rejections = 0
		if now.Sub(e.lastFailure) > failureResetAfter {
			e.failures = 0
		}
	case Rejected:
		e.rejections++
		e.eject(now, rejectionBackoff, maxRejectionBackoff, e.rejections)
	case Unreachable, Broken, Failed:
		e.failures++
		e.lastFailure = now
		e.eject(now, baseEjection, maxEjection, e.failures)
	}
}

// eject ejects the server for base, doubled for each of times after the first, but at most for limit. A current
// ejection that ends later is kept.
func (e *ejection) eject(now time.Time, base, limit time.Duration, times int) {
	pause := limit
	if times < 16 { // for more, base<<(times-1) might overflow
		pause = min(limit, base<<(times-1))
	}
	if until := now.Add(pause); until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// available reports whether the server may be selected while inFlight requests of this gateway are there. A server
// with a recent failure gets one request at a time after its ejection (slow start).
func (e *ejection) available(now time.Time, inFlight int) bool {
	if ablation.Off(ablation.Ejection) {
		return true
	}
	if now.Before(e.ejectedUntil) {
		return false
	}
	return inFlight == 0 || e.failures == 0 || now.Sub(e.lastFailure) > failureResetAfter
}
