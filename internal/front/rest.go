package front

import (
	"net/http"
	"time"
)

// This file owns how long clients may rest where that changes while the server runs: net/http's own limit is fixed.

const (
	// restMost is net/http's limit there.
	maxIdleTimeout = 10 * time.Minute
	// restLook is how often it is looked who has rested for too long.
	idleCheckInterval = 500 * time.Millisecond
)

// endRests closes connections that have rested for longer than is allowed, until Close.
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

// closeRested closes the connections that have rested since some moment or longer, and on which nothing has come.
func (l *listener) closeIdleSince(cutoff time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state == http.StateIdle && !c.requestBegun && c.stateSince.Before(cutoff) && c.nothingUnread() {
			c.closeLocked()
		}
	}
}
