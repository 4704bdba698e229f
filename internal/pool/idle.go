package pool

import (
	"time"

	"sprucelane.example/sprucelane/policy"
)

// reusable reports whether an idle connection may carry another request: its peer should not have closed it
// yet, and neither an end nor a stray byte has arrived.
func (p *Pool) reusable(c *conn) bool { return p.withinIdleTimeout(c) && !c.hasUnread() }

// withinIdleTimeout reports whether a connection has been idle for at most three quarters of the time after
// which its server closes it. The margin is for the request's way there and for clocks that differ in rate.
func (p *Pool) withinIdleTimeout(c *conn) bool {
	limit := time.Duration(p.idleTimeout.Load())
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive)
	}
	return time.Since(c.idleSince) <= limit*3/4
}

// release keeps a connection for further requests after an exchange.
func (p *Pool) release(id policy.ServerID, c *conn) {
	c.idleSince = time.Now()
	p.addIdle(id, c)
}

// releaseUnused keeps a connection on which nothing was written. Its idle time goes on, as it does for the
// server.
func (p *Pool) releaseUnused(id policy.ServerID, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.addIdle(id, c)
}

// addIdle adds a connection to the idle ones of its server, or closes it if the server has moved or takes
// nothing new.
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

// noteClosed counts one open connection less.
func (p *Pool) noteClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweepIdle closes idle connections that can't be reused, once a second, until Close.
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

// closeIdle closes the idle connections that are unusable, and forgets servers that have departed. The
// function is called with the mutex held.
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
