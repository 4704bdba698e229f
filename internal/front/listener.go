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
	// newConnGrace is the time for which a new connection may send nothing before it can be evicted.
	newConnGrace = 250 * time.Millisecond
	// backlogQuietPeriod is the time without a new connection after which the backlog counts as empty.
	backlogQuietPeriod = 20 * time.Millisecond
	// backlogDrainTimeout bounds draining the backlog, if nothing but new connections holds that up.
	backlogDrainTimeout = 300 * time.Millisecond
)

// listener accepts connections within a bound. At the bound the connection that is idle for the longest is
// evicted, or else the one that has sent nothing for the longest: silent connections, opened by the hundred,
// must not keep requests in the backlog.
type listener struct {
	net.Listener
	encrypted bool        // the connections carry TLS
	admit     func() bool // Options.Admit
	onRead    func()      // set by tests, to force races: bytes were read, and nothing was recorded yet

	mu        sync.Mutex // guards what follows, and the state of each connection
	slotFreed *sync.Cond // there may be room for a connection, or nothing is waited for any more
	maxConns  int
	conns     map[*clientConn]bool // open; neither closed by this side nor lingering
	lingering []*clientConn        // the one that was closed first comes first
	paused    bool                 // Pause: the backlog is another process's

	// The listener closes in two steps: stopping while it drains the backlog, until backlogDeadline at the
	// latest (zero: not set yet), then closed.
	stopping        bool
	backlogDeadline time.Time
	closed          bool
	aborted         bool // Server.Close: nothing is waited for any more
}

// setPaused pauses or resumes accepting. To pause, a deadline in the past ends a blocked Accept; closing the
// socket would reset the connections in the backlog.
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

// acceptNext accepts the next connection of the backlog. Once the listener is stopping and the deadline has
// passed, it closes the socket.
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
		// The connections behind this one could not be accepted meanwhile, so their time starts anew.
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

// makeRoom evicts a connection, or waits for a short time if none can be. The mutex is held.
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

// extendBacklogDeadline lets the backlog be drained until no connection arrives for backlogQuietPeriod. The
// mutex is held.
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

// Close starts to drain the backlog, or closes the socket if there is nothing to drain. net/http calls it
// when it is closed itself.
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

// longestInState returns the connection that has been in a state for the longest and for at least minAge, and
// on which nothing has arrived, read or unread; nil: there is none. The mutex is held.
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

// closeIdle closes the connections without a request, new ones only after newConnGrace.
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
