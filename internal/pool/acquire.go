package pool

import (
	"io"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// attempt is a request for which a connection is acquired: a *core.Attempt or a *Request. The names of the
// methods are those of core.Attempt.
type attempt interface {
	// To returns the server.
	To() policy.ServerID
	// By returns the deadline for dialling and writing.
	By() time.Time
	// Begin is called right before the first byte is written. It reports whether the byte may still be
	// written, and returns the reason if not. A *core.Attempt that is cancelled later closes the closer.
	Begin(io.Closer) (core.End, bool)
}

// methodOf returns the HTTP method of an attempt.
func methodOf(a attempt) string {
	switch a := a.(type) {
	case *Request:
		return a.Method
	case *core.Attempt:
		return a.Message.(*Message).Method
	}
	return ""
}

// acquire returns a connection on which the first byte of the request may be written now, or nil and the
// reason. An idle connection must not have unread input, which would be taken for the beginning of the
// response. This is tested last, after recheck, to keep the time between the test and the write short.
func (p *Pool) acquire(a attempt) (*conn, core.End) {
	for staleSeen := false; ; staleSeen = true {
		c, end := p.idleOrDial(a, staleSeen)
		if c == nil {
			return nil, end
		}
		if carried, ok := a.(*core.Attempt); ok && p.onConnected != nil {
			p.onConnected(carried)
		}
		if end, ok := p.recheck(a, c); !ok {
			if end == core.EndDrained {
				p.discard(c)
			} else {
				p.releaseUnused(a.To(), c)
			}
			return nil, end
		}
		if c.idleSince.IsZero() {
			return c, core.EndNone
		}
		if p.injected.reuseUnread || !c.hasUnread() {
			p.count(func(stats *Stats) { stats.Reused++ })
			return c, core.EndNone
		}
		p.discard(c)
	}
}

// recheck reports whether the first byte may still be written on a connection, and returns the reason if not.
// While the connection was dialled, the server may have started to drain, departed or changed its address, or
// the attempt may have been cancelled.
func (p *Pool) recheck(a attempt, c *conn) (core.End, bool) {
	p.mu.Lock()
	s := p.servers[a.To()]
	current := s != nil && s.state == policy.Ready && s.addr == c.addr
	p.mu.Unlock()
	if !current && !p.injected.skipRecheck {
		return core.EndDrained, false
	}
	return a.Begin(c)
}

// idleOrDial returns the idle connection that was released last, as it is the most likely to be alive, or
// dials a new one if there is none. staleSeen says that an idle connection was already found unusable; it is
// only used for the statistics.
func (p *Pool) idleOrDial(a attempt, staleSeen bool) (*conn, core.End) {
	for ; ; staleSeen = true {
		p.mu.Lock()
		s := p.servers[a.To()]
		if s == nil || s.state != policy.Ready {
			p.mu.Unlock()
			return nil, core.EndDrained
		}
		last := len(s.idle) - 1
		if last < 0 {
			addr := s.addr
			underLimit := p.open < p.options.MaxConnections
			if underLimit {
				p.open++
			}
			p.mu.Unlock()
			return p.dialNew(a, addr, underLimit, staleSeen)
		}
		c := s.idle[last]
		s.idle = s.idle[:last]
		p.mu.Unlock()
		if p.withinIdleTimeout(c) && !p.staleness.likelyStale(time.Since(c.idleSince), methodOf(a)) {
			return c, core.EndNone
		}
		p.discard(c)
	}
}

// dialNew dials a new connection. underLimit says that it is already counted as open; otherwise an idle
// connection is closed to make room for it.
func (p *Pool) dialNew(a attempt, addr string, underLimit, staleSeen bool) (*conn, core.End) {
	if !underLimit && !p.evictIdle() {
		p.count(func(stats *Stats) { stats.LimitReached++ })
		return nil, core.EndNoDescriptor
	}
	c, end := p.connect(a, addr)
	p.count(func(stats *Stats) {
		if c == nil {
			stats.ConnectFailed++
			return
		}
		if stats.Opened++; staleSeen {
			stats.OpenedAfterStale++
		}
		if !underLimit {
			stats.OpenedByEviction++
		}
	})
	return c, end
}

// evictIdle closes the connection that has been idle for the longest, over all servers, so that another can be
// opened in its place. It reports whether there was an idle connection.
func (p *Pool) evictIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from *server
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.idle { // not sorted by idleSince, which releaseUnused doesn't update
			if oldest == nil || c.idleSince.Before(oldest.idleSince) {
				from, oldest = s, c
			}
		}
	}
	if from == nil {
		return false
	}
	i := slices.Index(from.idle, oldest)
	from.idle = slices.Delete(from.idle, i, i+1)
	oldest.Close() // p.open is not decremented: the new connection takes its place
	return true
}
