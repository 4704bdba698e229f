package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
)

// Times of standstills.
const (
	pauseCheckInterval = 100 * time.Millisecond
	// standstillMost is how long this process may stand still before the other sides give their connections up, as they do after three
	// heartbeats without a byte: what still comes over those was sent before, or meanwhile.
	maxPause = 3 * heartbeatInterval
)

// standstill tells what was sent before this process stood still, frozen or starved, from what was sent since. Its sockets hold what
// came meanwhile, and to take that in as news would have this process act on what is long past.
type pauseDetector struct {
	lastRanAt time.Duration // when this process ran last, as far as known
	resumedAt time.Duration // end of the last standstill; 0: there was none
}

// beat notes that the process runs, and tells whether it has stood still until now.
func (s *pauseDetector) ran(now time.Duration) bool {
	stood := now-s.lastRanAt > maxPause
	if stood {
		s.resumedAt = now
	}
	s.lastRanAt = now
	return stood
}

// trusts tells whether a connection that was first heard at a moment brings news.
func (s *pauseDetector) trusts(since time.Duration) bool {
	return s.resumedAt == 0 || since > s.resumedAt
}

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

// beat is called with the mutex held before anything is taken in. After a standstill it ends all connections: the other sides have
// done so, or do it now, and what comes over new ones is news.
func (c *Control) checkPause() {
	if !c.pauses.ran(c.now()) {
		return
	}
	c.log.Warn().Msg("stood-still")
	for session := range c.subscribers {
		session.Close()
	}
	for session := range c.peerSessions {
		session.Close()
	}
}

// bringsNews tells whether what comes over a session was surely not sent before a standstill of this process.
func (c *Control) trustsSession(session *transport.Session) bool {
	if one, known := c.subscribers[session]; known {
		return c.pauses.trusts(one.firstContactAt)
	}
	if one, known := c.peerSessions[session]; known {
		return c.pauses.trusts(one.firstContactAt)
	}
	return true
}
