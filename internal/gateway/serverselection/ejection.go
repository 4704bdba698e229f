package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// rejectionBackoff is how long a server that rejected a request isn't selected. It doubles with each
	// rejection in a row, up to maxRejectionBackoff.
	rejectionBackoff, maxRejectionBackoff = 60 * time.Millisecond, time.Second
	// baseEjection is how long a server that failed a request isn't selected. It doubles with each failure,
	// up to maxEjection.
	baseEjection, maxEjection = 400 * time.Millisecond, 4 * time.Second
	// failureMemory is the time without a failure after which a server's failures are forgotten.
	failureMemory = 8 * time.Second
)

// Result is how an attempt at a server ended.
type Result uint8

// Results of attempts.
const (
	Succeeded   Result = iota
	Rejected           // the server rejected the request, and is healthy
	Unreachable        // no connection was established, or it broke before the request was written
	Broken             // the server stalled, reset the connection, or sent what is no response
	Failed             // the server responded that it failed
	Abandoned          // given up by the client or the gateway; says nothing about the server
)

// ejection is a server's outlier ejection, by what this gateway has seen of it. The selector's mu guards it.
type ejection struct {
	rejections int // in a row
	// failures counts failed requests. A success resets it only after failureMemory without a failure, as a
	// faulty server may fail some requests and serve others.
	failures     int
	lastFailure  time.Time
	ejectedUntil time.Time
}

// record updates the ejection by how an attempt ended.
func (e *ejection) record(result Result, now time.Time) {
	switch result {
	case Succeeded:
		e.rejections = 0
		if now.Sub(e.lastFailure) > failureMemory {
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

// eject extends the ejection to base, doubled for each time after the first, at most limit.
func (e *ejection) eject(now time.Time, base, limit time.Duration, times int) {
	pause := limit
	if times < 16 { // beyond that base<<times might overflow
		pause = min(limit, base<<(times-1))
	}
	if until := now.Add(pause); until.After(e.ejectedUntil) {
		e.ejectedUntil = until
	}
}

// available reports whether the server may be selected while inFlight requests of this gateway are there. A
// server that failed lately comes back with one request at a time (slow start).
func (e *ejection) available(now time.Time, inFlight int) bool {
	if ablation.Off(ablation.Ejection) {
		return true
	}
	if now.Before(e.ejectedUntil) {
		return false
	}
	return inFlight == 0 || e.failures == 0 || now.Sub(e.lastFailure) > failureMemory
}
