package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
)

// Times of process pauses.
const (
	pauseCheckInterval = 100 * time.Millisecond
	// maxPause is the longest pause after which the connections are still good. The other sides give a
	// connection up after three heartbeats without a byte; what is received over one after a longer pause was
	// sent before or during it.
	maxPause = 3 * heartbeatInterval
)

// pauseDetector detects that this process was paused (SIGSTOP, a frozen machine, starvation). After a pause
// the sockets hold messages that were sent before or during it; to process them as if they were current would
// make this process act on what is outdated, such as a poll of a batch process that has lost its lease since.
// It is guarded by Control.mutex.
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

// trusts reports whether messages over a connection are known to be sent after the last pause: its first
// message was received after it.
func (d *pauseDetector) trusts(firstContactAt time.Duration) bool {
	return d.resumedAt == 0 || firstContactAt > d.resumedAt
}

// pauseLoop notes regularly that this process runs.
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

// checkPause detects a pause. It is called with the mutex held, before any message is processed. After a
// pause it closes all connections: the other sides have given them up by now, or are about to, and what
// arrives over new connections was sent after the pause.
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

// trustsSession reports whether messages over a session are known to be sent after the last pause of this
// process. It is called with the mutex held.
func (c *Control) trustsSession(session *transport.Session) bool {
	if one, known := c.subscribers[session]; known {
		return c.pauses.trusts(one.firstContactAt)
	}
	if one, known := c.peerSessions[session]; known {
		return c.pauses.trusts(one.firstContactAt)
	}
	return true
}
