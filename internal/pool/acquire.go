package pool

import (
	"io"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// attempt is what a connection is acquired for: a *core.Attempt, whose method names these are, or a *Request.
type attempt interface {
	// To returns the server.
	To() policy.ServerID
	// By returns the deadline for dialling and writing.
	By() time.Time
	// Begin is called right before the first byte is written. It reports whether that may still be, and if
	// not, why. The connection is closed if the attempt is cancelled later.
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

// acquire returns a connection on which the first byte of the request may be written now, or the reason why
// there is none. An idle connection must not have unread input: it would be taken for the beginning of the
// response. This is tested last, after recheck, so that as little time as possible lies between the test and
// the write.
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

// recheck tests again, right before the first byte, what may have changed while the connection was dialled:
// the server may drain, have departed or have moved, or the attempt may no longer be wanted.
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

// idleOrDial returns the idle connection that was used last, as it is the likeliest to be alive, or else
// dials a new one. staleSeen says that an idle one was found unusable already; it is for the statistics.
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

// dialNew dials a new connection. underLimit says that it is counted as open already; otherwise an idle one
// is closed for it.
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

// evictIdle closes the connection that is idle for the longest, over all servers, so that another may be
// opened in its place. It reports whether there was one.
func (p *Pool) evictIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from *server
	var oldest *conn
	for _, s := range p.servers {
		for _, c := range s.idle { // not in order of idleSince: releaseUnused leaves it as it was
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
	oldest.Close() // the new one is counted in its place
	return true
}
