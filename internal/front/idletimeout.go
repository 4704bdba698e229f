package front

import (
	"net/http"
	"time"
)

const (
	// maxIdleTimeout is the fixed idle timeout of net/http if Options.IdleTimeoutFunc is set, which returns
	// shorter timeouts that may change.
	maxIdleTimeout = 10 * time.Minute
	// idleCheckInterval is the interval of the check for connections that have been idle for too long.
	idleCheckInterval = 500 * time.Millisecond
)

// runIdleTimeout closes connections that have been idle for longer than the current timeout, until Close.
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

// closeIdleSince closes the connections that have been idle since before cutoff and on which no further input has
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
