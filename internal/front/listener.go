package front

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// newConnGrace is the time after which a new connection that has sent nothing may be evicted.
	newConnGrace = 250 * time.Millisecond
	// backlogQuietPeriod is the time without a new connection after which the backlog is considered empty.
	backlogQuietPeriod = 20 * time.Millisecond
	// backlogDrainTimeout limits the time for draining the backlog. The time starts again after a wait
	// at the limit on open connections.
	backlogDrainTimeout = 300 * time.Millisecond
)

// listener accepts connections up to a limit. At the limit, the connection that has been idle for the longest is
// evicted, or, if none is idle, the oldest new one that has sent nothing: a large number of connections without
// requests must not keep other connections in the backlog.
type listener struct {
	net.Listener
	encrypted bool        // the connections carry TLS
	admit     func() bool // Options.Admit
	onRead    func()      // set by tests, to force races: called between reading bytes and recording them

	mu        sync.Mutex // guards the fields below, and the state of each connection
	slotFreed *sync.Cond // signals that there may be room for a connection, or that waiting must end
	maxConns  int
	conns     map[*clientConn]bool // open connections, without those that this side has closed or that linger
	lingering []*clientConn        // in the order in which they were closed
	paused    bool                 // by Pause: the backlog is left to another process

	// The listener closes in two steps: stopping is set while it drains the backlog, until backlogDeadline at
	// the latest (zero: not set yet); then closed is set.
	stopping        bool
	backlogDeadline time.Time
	closed          bool
	aborted         bool // by Server.Close: everything is closed at once, without waiting
}

// setPaused pauses or resumes accepting. A deadline in the past ends a blocked Accept without closing the socket,
// which would reset the connections in the backlog.
func (l *listener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	t, ok := l.Listener.(*net.TCPListener)
	switch {
	case !ok:
	case paused:
		_ = t.SetDeadline(time.Now()) // fails only on a closed socket, on which Accept doesn't block
	default:
		_ = t.SetDeadline(time.Time{})
		l.slotFreed.Broadcast()
	}
}

// acceptNext accepts the next connection from the backlog. If the listener is stopping and the deadline has
// passed, it closes the socket and returns net.ErrClosed.
func (l *listener) acceptNext() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		l.mu.Lock()
		for l.paused && !l.stopping {
			l.slotFreed.Wait()
		}
		if l.stopping {
			l.closed = true
			err = l.Listener.Close()
			l.mu.Unlock()
			return nil, errors.Join(net.ErrClosed, err)
		}
		l.mu.Unlock()
	}
}

// Accept returns the next connection that is admitted, once there is room for it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.acceptNext()
	for err == nil && l.admit != nil && !l.admit() {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		c, err = l.acceptNext()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.maxConns && !l.aborted {
		// Connections behind this one in the backlog can't be accepted meanwhile, so the time for draining
		// starts again afterwards.
		l.backlogDeadline = time.Time{}
		l.makeRoom()
	}
	client := &clientConn{Conn: c, listener: l, encrypted: l.encrypted, state: http.StateNew, stateSince: time.Now()}
	l.conns[client] = true
	if l.stopping {
		l.extendBacklogDeadline()
	}
	return client, nil
}

// makeRoom evicts a connection. If none can be evicted, it waits until one may be, for newConnGrace at most. The
// mutex is held.
func (l *listener) makeRoom() {
	victim := l.longestInState(http.StateIdle, 0)
	if victim == nil {
		victim = l.longestInState(http.StateNew, newConnGrace)
	}
	if victim != nil {
		victim.closeLocked()
		return
	}
	wake := time.AfterFunc(newConnGrace, l.slotFreed.Broadcast)
	l.slotFreed.Wait()
	wake.Stop()
}

// extendBacklogDeadline sets the deadline of Accept to backlogQuietPeriod from now, within backlogDeadline. So the
// backlog is drained until no connection arrives for that time. The mutex is held.
func (l *listener) extendBacklogDeadline() {
	if t, ok := l.Listener.(*net.TCPListener); ok {
		if l.backlogDeadline.IsZero() {
			l.backlogDeadline = time.Now().Add(backlogDrainTimeout)
		}
		deadline := time.Now().Add(backlogQuietPeriod)
		if deadline.After(l.backlogDeadline) {
			deadline = l.backlogDeadline
		}
		_ = t.SetDeadline(deadline) // fails only on a closed socket, whose backlog is gone
	}
}

// Close starts to drain the backlog, or closes the socket if the backlog isn't drained (paused, aborted, or not
// TCP). It is also called by http.Server when that is closed.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		if l.aborted && !l.closed {
			l.closed = true
			return l.Listener.Close()
		}
		return nil
	}
	l.stopping = true
	l.slotFreed.Broadcast()
	if _, ok := l.Listener.(*net.TCPListener); ok && !l.paused && !l.aborted {
		l.extendBacklogDeadline()
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// longestInState returns the connection that has been in a state for the longest time, which is at least minAge,
// among those without any input of a next request, read or unread. It returns nil if there is none. The mutex is
// held.
func (l *listener) longestInState(state http.ConnState, minAge time.Duration) (oldest *clientConn) {
	before, skipped := time.Now().Add(-minAge), map[*clientConn]bool{}
	for {
		oldest = nil
		for c := range l.conns {
			if c.state != state || c.requestBegun || skipped[c] || !c.stateSince.Before(before) {
				continue
			}
			if oldest == nil || c.stateSince.Before(oldest.stateSince) {
				oldest = c
			}
		}
		if oldest == nil || oldest.nothingUnread() {
			return oldest
		}
		skipped[oldest] = true
	}
}

// closeIdle closes the connections without a request; new ones only after newConnGrace.
func (l *listener) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		waiting := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.stateSince) > newConnGrace
		if waiting && !c.requestBegun && c.nothingUnread() {
			c.closeLocked()
		}
	}
}

// trackState records the state of a connection, as net/http reports it.
func (l *listener) trackState(conn net.Conn, state http.ConnState) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(l.conns, c)
		l.slotFreed.Signal()
	case l.conns[c]:
		if c.state = state; state == http.StateIdle {
			c.stateSince, c.requestBegun = time.Now(), c.hasPipelined()
			l.slotFreed.Signal()
		}
	}
}
