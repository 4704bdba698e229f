package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// A server that turned a request away is left alone for a moment, which doubles with each further one.
	rejectionBackoff, maxRejectionBackoff = 60 * time.Millisecond, time.Second
	// One that could not be reached, broke off, fell silent or failed is left alone for longer.
	baseEjection, maxEjection = 400 * time.Millisecond, 4 * time.Second
	// forgiveAfter is the time after which a server that has given no trouble is trusted as one that never did.
	failureMemory = 8 * time.Second
	// slowMemory is the time after which a third is left of what was learnt of a server's speed.
	latencyDecay = 3 * time.Second
)

// Result is how an attempt at a server ended.
type Result uint8

// The results.
const (
	Succeeded   Result = iota
	Rejected           // the server turned the request away
	Unreachable        // no connection came up, or it broke before the request was written
	Broken             // silence, a reset, or bytes that are no answer
	Failed             // a failure of the server's own
	Abandoned          // called off here: says nothing of the server
)

// health is what this gateway has seen of a server.
type ejection struct {
	rejections   int       // in a row
	failures     int       // lately: successes in between don't end the count, as a server may fail some requests and serve others
	lastFailure  time.Time // the last of those
	ejectedUntil time.Time // not chosen before
}

func (h *ejection) record(result Result, now time.Time) {
	switch result {
	case Succeeded:
		h.rejections = 0
		if now.Sub(h.lastFailure) > failureMemory {
			h.failures = 0
		}
	case Rejected:
		h.rejections++
		h.eject(now, rejectionBackoff, maxRejectionBackoff, h.rejections)
	case Unreachable, Broken, Failed:
		h.failures++
		h.lastFailure = now
		h.eject(now, baseEjection, maxEjection, h.failures)
	}
}

func (h *ejection) eject(now time.Time, first, most time.Duration, times int) {
	pause := most
	if times < 16 {
		pause = min(most, first<<(times-1))
	}
	if until := now.Add(pause); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// open tells whether a server may be chosen that has so many requests from here: one that gave trouble lately comes back with one
// at a time.
func (h *ejection) available(now time.Time, active int) bool {
	if ablation.Off(ablation.Ejection) {
		return true
	}
	if now.Before(h.ejectedUntil) {
		return false
	}
	return active == 0 || h.failures == 0 || now.Sub(h.lastFailure) > failureMemory
}
