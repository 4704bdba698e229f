package front

import (
	"net/http"
	"time"
)

// This file owns how long clients may rest where that changes while the server runs: net/http's own limit is fixed.

const (
	// restMost is net/http's limit there.
	restMost = 10 * time.Minute
	// restLook is how often it is looked who has rested for too long.
	restLook = 500 * time.Millisecond
)

// endRests closes connections that have rested for longer than is allowed, until Close.
func (s *Server) endRests() {
	look := time.NewTicker(restLook)
	defer look.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-look.C:
			s.listener.closeRested(time.Now().Add(-s.idleFor()))
		}
	}
}

// closeRested closes the connections that have rested since some moment or longer, and on which nothing has come.
func (l *listener) closeRested(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state == http.StateIdle && !c.begun && c.since.Before(since) && c.quiet() {
			c.end()
		}
	}
}
