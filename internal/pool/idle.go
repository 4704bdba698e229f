package pool

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// reusable reports whether an idle connection may be used for another request: its idle time is within the
// limit, and no byte, close or reset has arrived.
func (p *Pool) reusable(c *conn) bool { return p.withinIdleTimeout(c) && !c.hasUnread() }

// withinIdleTimeout reports whether a connection has been idle for at most three quarters of the time after
// which its server closes it. The margin allows for the transit time of the request and for clocks that differ in rate.
func (p *Pool) withinIdleTimeout(c *conn) bool {
	limit := time.Duration(p.idleTimeout.Load())
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive)
	}
	return time.Since(c.idleSince) <= limit*3/4
}

// release adds a connection to the idle ones after an exchange.
func (p *Pool) release(id policy.ServerID, c *conn) {
	c.idleSince = time.Now()
	p.addIdle(id, c)
}

// releaseUnused adds a connection on which nothing was written to the idle ones. It keeps the start of its idle
// time, as the server measures from there too.
func (p *Pool) releaseUnused(id policy.ServerID, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.addIdle(id, c)
}

// addIdle adds a connection to the idle ones of its server, or closes it if the server has another address or
// accepts no new requests.
func (p *Pool) addIdle(id policy.ServerID, c *conn) {
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	s := p.servers[id]
	usable := s != nil && s.state == policy.Ready && s.addr == c.addr
	if usable {
		s.idle = append(s.idle, c)
	}
	p.mu.Unlock()
	if !usable {
		p.discard(c)
	}
}

// discard closes a connection that is in no idle list.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.noteClosed()
}

// noteClosed decrements the number of open connections.
func (p *Pool) noteClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweepIdle closes idle connections that are not reusable, once a second, until Close.
func (p *Pool) sweepIdle() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.closeIdle(func(_ *server, c *conn) bool { return !p.reusable(c) })
		}
	}
}

// closeIdle closes the idle connections for which unusable returns true, and removes departed servers that have
// no idle connections left. unusable is called with the mutex held.
func (p *Pool) closeIdle(unusable func(*server, *conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for id, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if unusable(s, c) {
				closing = append(closing, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(s.idle[len(kept):])
		if s.idle = kept; s.state == policy.Departed && len(kept) == 0 {
			delete(p.servers, id)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}
