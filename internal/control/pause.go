package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
)

// Timing of the detection of process pauses.
const (
	pauseCheckInterval = 100 * time.Millisecond
	// maxPause is the longest pause after which the connections remain usable. The other side closes a connection
	// after three heartbeat intervals without a byte, so data received over a connection after a longer pause was
	// sent before or during the pause.
	maxPause = 3 * heartbeatInterval
)

// pauseDetector detects that this process was paused (SIGSTOP, a frozen machine, CPU starvation). After a pause
// the sockets hold messages that were sent before or during it. If they were processed as current, this process
// would act on outdated messages, such as the poll of a batch process that has lost its lease since. It is guarded
// by Control.mutex.
type pauseDetector struct {
	lastRanAt time.Duration // when this process is last known to have run
	resumedAt time.Duration // end of the last pause; 0: there was none
}

// ran records that the process runs now, and reports whether it was paused until now.
func (d *pauseDetector) ran(now time.Duration) bool {
	paused := now-d.lastRanAt > maxPause
	if paused {
		d.resumedAt = now
	}
	d.lastRanAt = now
	return paused
}

// trusts reports whether the messages of a connection are known to have been sent after the last pause. They
// are if the connection's first message was received after the pause.
func (d *pauseDetector) trusts(firstContactAt time.Duration) bool {
	return d.resumedAt == 0 || firstContactAt > d.resumedAt
}

// pauseLoop calls checkPause every pauseCheckInterval.
func (c *Control) pauseLoop() {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		c.mutex.Lock()
		c.checkPause()
		c.mutex.Unlock()
	}
}

// checkPause detects a pause. It is called with the mutex held, before any message is processed. After a pause
// it closes all connections: the other sides have closed them by now or are about to, and messages over new
// connections were sent after the pause.
func (c *Control) checkPause() {
	if !c.pauses.ran(c.now()) {
		return
	}
	c.log.Warn().Msg("process_paused")
	for session := range c.subscribers {
		session.Close()
	}
	for session := range c.peerSessions {
		session.Close()
	}
}

// trustsSession reports whether the messages of a session are known to have been sent after the last pause of
// this process. It is called with the mutex held.
func (c *Control) trustsSession(session *transport.Session) bool {
	if state, known := c.subscribers[session]; known {
		return c.pauses.trusts(state.firstContactAt)
	}
	if state, known := c.peerSessions[session]; known {
		return c.pauses.trusts(state.firstContactAt)
	}
	return true
}
