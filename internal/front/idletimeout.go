package front

import (
	"net/http"
	"time"
)

const (
	// maxIdleTimeout is net/http's idle timeout, which is fixed, where Options.IdleTimeoutFunc has a shorter
	// one that changes.
	maxIdleTimeout = 10 * time.Minute
	// idleCheckInterval is the time between two looks for connections that have been idle for too long.
	idleCheckInterval = 500 * time.Millisecond
)

// runIdleTimeout closes the connections that are idle for longer than the current timeout, until Close.
func (s *Server) runIdleTimeout() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
			s.listener.closeIdleSince(time.Now().Add(-s.idleTimeoutFunc()))
		}
	}
}

// closeIdleSince closes the connections that have been idle since before cutoff, and on which nothing has
// arrived.
func (l *listener) closeIdleSince(cutoff time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state == http.StateIdle && !c.requestBegun && c.stateSince.Before(cutoff) && c.nothingUnread() {
			c.closeLocked()
		}
	}
}
