package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
)

const (
	// A server that turned a request away is left alone for a moment, which doubles with each further one.
	refusedFirst, refusedMost = 60 * time.Millisecond, time.Second
	// One that could not be reached, broke off, fell silent or failed is left alone for longer.
	lostFirst, lostMost = 400 * time.Millisecond, 4 * time.Second
	// forgiveAfter is the time after which a server that has given no trouble is trusted as one that never did.
	forgiveAfter = 8 * time.Second
	// slowMemory is the time after which a third is left of what was learnt of a server's speed.
	slowMemory = 3 * time.Second
)

// Result is how an attempt at a server ended.
type Result uint8

// The results.
const (
	Succeeded   Result = iota
	Refused            // the server turned the request away
	Unreachable        // no connection came up, or it broke before the request was written
	Broken             // silence, a reset, or bytes that are no answer
	Failed             // a failure of the server's own
	Abandoned          // called off here: says nothing of the server
)

// health is what this gateway has seen of a server.
type health struct {
	refusals int       // in a row
	losses   int       // lately: successes in between don't end the count, as a server may fail some requests and serve others
	lostAt   time.Time // the last of those
	shunned  time.Time // not chosen before
}

func (h *health) note(result Result, now time.Time) {
	switch result {
	case Succeeded:
		h.refusals = 0
		if now.Sub(h.lostAt) > forgiveAfter {
			h.losses = 0
		}
	case Refused:
		h.refusals++
		h.shun(now, refusedFirst, refusedMost, h.refusals)
	case Unreachable, Broken, Failed:
		h.losses++
		h.lostAt = now
		h.shun(now, lostFirst, lostMost, h.losses)
	}
}

func (h *health) shun(now time.Time, first, most time.Duration, times int) {
	pause := most
	if times < 16 {
		pause = min(most, first<<(times-1))
	}
	if until := now.Add(pause); until.After(h.shunned) {
		h.shunned = until
	}
}

// open tells whether a server may be chosen that has so many requests from here: one that gave trouble lately comes back with one
// at a time.
func (h *health) open(now time.Time, active int) bool {
	if ablation.Off(ablation.Ejection) {
		return true
	}
	if now.Before(h.shunned) {
		return false
	}
	return active == 0 || h.losses == 0 || now.Sub(h.lostAt) > forgiveAfter
}
