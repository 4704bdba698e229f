package recovery

// This file detects process pauses, and decides on the requests that are read shortly after one.

import (
	"time"
)

const (
	// resumeWaitDivisor bounds the wait for an update of discovery after a pause: to Options.PauseThreshold divided by it.
	resumeWaitDivisor = 32
	// backlogWindowDivisor bounds the time after a pause in which a request that is read may have been waiting in a
	// socket: to Options.PauseThreshold divided by it. The sockets have been drained by then.
	backlogWindowDivisor = 4
)

// Event records that the process handles an event, and returns the length of the pause that ends with the event; 0:
// there was no pause. A gateway's timers fire more often than once in PauseThreshold, so if there was no event for
// longer, the process was not running.
func (r *Recovery) Event(now Time) (pause time.Duration) {
	gap, first := now-r.lastEventAt, r.lastEventAt == 0
	r.lastEventAt = now
	if first || r.opt.PauseThreshold <= 0 || gap <= r.opt.PauseThreshold {
		return 0
	}
	r.resumedAt, r.pauseLength, r.discoveryUpdated = now, gap, false
	r.pauses++
	r.longestPause = max(r.longestPause, gap)
	r.phase = min(r.phase, Resuming)
	return gap
}

// RequestRead returns how old a request that is read now may be already, and how long to wait before deciding on it.
// patience is how long its client waits. Shortly after a pause a request may be as old as the pause was long. If its
// client has given up by then, there is no wait, because the request will be rejected.
func (r *Recovery) RequestRead(now Time, patience time.Duration) (age, wait time.Duration) {
	if r.resumedAt == 0 || now-r.resumedAt > r.backlogWindow() {
		return 0, 0
	}
	r.backlogged++
	if patience <= r.pauseLength {
		r.expired++
		return r.pauseLength, 0
	}
	return r.pauseLength, min(r.resumeWait(now), patience-r.pauseLength)
}

// backlogWindow returns the time after a pause in which a request that is read may have been waiting in a socket.
func (r *Recovery) backlogWindow() time.Duration {
	return min(r.pauseLength, r.opt.PauseThreshold/backlogWindowDivisor)
}

// resumeWait returns how much longer to wait for an update of discovery after a pause.
func (r *Recovery) resumeWait(now Time) time.Duration {
	if r.resumedAt == 0 || r.discoveryUpdated {
		return 0
	}
	return max(0, r.resumedAt+r.opt.PauseThreshold/resumeWaitDivisor-now)
}
