// Package front owns the virtual server that both fronts stand on: net/http's server with its time limits, a
// bound on client connections, and how they end when clients are sent away. It must never read what a request asks for,
// nor decide whether clients are taken: internal/service does.
package front

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sprucelane.example/sprucelane/internal/service"
)

const (
	defaultReadHeaderTimeout = 2500 * time.Millisecond // a client that says nothing or not all is left, and owed that within 3 s
	defaultIdleTimeout       = 2 * time.Minute
	transferSlack            = 5 * time.Second  // beyond the longest deadline, for a slow client to send and read
	writeStallTimeout        = 10 * time.Second // that a client may take nothing of an answer; a long one's is set anew as it goes
	defaultMaxHeaderBytes    = 16 << 10

	// newGrace is how long a new connection may say nothing before it makes room for others at the bound.
	newConnGrace = 250 * time.Millisecond
	// lookAgain is how often connections are looked at while clients are sent away.
	drainPollInterval = 20 * time.Millisecond
	// queueWait is how long nothing has to come for a port's queue to count as empty, queueMost how long it is emptied for.
	backlogQuietPeriod, backlogDrainTimeout = 20 * time.Millisecond, 300 * time.Millisecond
)

// Server is a virtual server.
type Server struct {
	httpServer      *http.Server
	listener        *listener
	state           *service.State
	idleTimeoutFunc func() time.Duration // nil: net/http's limit counts
	closed          chan struct{}
}

// Options are a virtual server's limits.
type Options struct {
	Address            string
	MaxConnections     int                  // client connections at once
	MaxRequestDeadline time.Duration        // of any transaction
	TLS                *tls.Config          // nil: plain
	Admit              func() bool          // whether one more new connection may be taken; nil: all may
	State              *service.State       // nil: of its own, always serving
	Listener           net.Listener         // taken over from a predecessor; nil: Listen is opened
	ReusePort          bool                 // others of the same gateway may listen at the address as well
	ReadHeaderTimeout  time.Duration        // in which a head has to come; 0: the standard
	IdleTimeout        time.Duration        // that a client may rest between requests; 0: the standard
	IdleTimeoutFunc    func() time.Duration // the same, where it changes; nil: IdleWait counts
	MaxHeaderBytes     int                  // bytes of a head; 0: the standard
}

// Listen opens the port. Nothing is taken before Serve.
func Listen(options Options, handler http.Handler) (*Server, error) {
	inner := options.Listener
	if inner == nil {
		conf := net.ListenConfig{}
		if options.ReusePort {
			conf.Control = SetReusePort
		}
		var err error
		if inner, err = conf.Listen(context.Background(), "tcp", options.Address); err != nil {
			return nil, err
		}
	}
	if options.State == nil {
		options.State = service.New()
	}
	s := &Server{listener: &listener{Listener: inner, maxConns: options.MaxConnections, encrypted: options.TLS != nil, admit: options.Admit, conns: map[*clientConn]bool{}},
		state: options.State, idleTimeoutFunc: options.IdleTimeoutFunc, closed: make(chan struct{})}
	if options.IdleTimeoutFunc != nil {
		options.IdleTimeout = maxIdleTimeout
	}
	s.listener.slotFreed = sync.NewCond(&s.listener.mu)
	// A read time-out below the longest deadline would look like a client that left in the middle of its wait.
	limit := options.MaxRequestDeadline + transferSlack
	s.httpServer = &http.Server{ReadHeaderTimeout: cmp.Or(options.ReadHeaderTimeout, defaultReadHeaderTimeout), ReadTimeout: limit, WriteTimeout: limit,
		IdleTimeout: cmp.Or(options.IdleTimeout, defaultIdleTimeout), MaxHeaderBytes: cmp.Or(options.MaxHeaderBytes, defaultMaxHeaderBytes), ConnState: s.listener.trackState, ConnContext: withConn, TLSConfig: options.TLS,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a := &responseWriter{ResponseWriter: w, state: options.State}
			if c, _ := r.Context().Value(connKey{}).(*clientConn); c != nil {
				a.conn = c
				c.setHandling(true)
				defer c.setHandling(false)
			}
			if handler.ServeHTTP(a, r); !a.headerWritten {
				a.WriteHeader(http.StatusOK)
			}
		}),
		ErrorLog: log.New(io.Discard, "", 0)} // a client's broken connection is not news
	return s, nil
}

// Share lets another process of the same user listen at a socket's address.
func SetReusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optErr
}

// File gives the open port as a file of its own.
func (s *Server) File() (*os.File, error) {
	t, ok := s.listener.Listener.(*net.TCPListener)
	if !ok {
		return nil, errors.New("not a TCP port")
	}
	return t.File()
}

// Pause leaves new connections waiting in the port's queue, until Resume.
func (s *Server) Pause() { s.listener.setPaused(true) }

// Resume takes new connections again.
func (s *Server) Resume() { s.listener.setPaused(false) }

// answer marks an answer as its connection's last where clients are sent away by the time that it is written. For as long as
// idle connections are left, one behind which more has come already is not: what has been read is answered as well.
type responseWriter struct {
	http.ResponseWriter
	state         *service.State
	conn          *clientConn // nil: under TLS what has come can't be told
	headerWritten bool
}

func (a *responseWriter) WriteHeader(code int) {
	if !a.headerWritten && (a.state.ClosesAfterResponse() && !(a.conn.moreArrived() && !a.state.ClosesIdle(time.Now())) || a.conn.overflowed()) {
		a.Header().Set("Connection", "close")
	}
	if !a.headerWritten {
		http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(writeStallTimeout))
	}
	a.headerWritten = a.headerWritten || code >= http.StatusOK
	a.ResponseWriter.WriteHeader(code)
}

func (a *responseWriter) Write(b []byte) (int, error) {
	if !a.headerWritten {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

// Unwrap is net/http's way to the connection's time limits.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Limit sets how many client connections may be open at once from now on.
func (s *Server) SetMaxConnections(maxConns int) {
	s.listener.mu.Lock()
	s.listener.maxConns = maxConns
	s.listener.slotFreed.Broadcast()
	s.listener.mu.Unlock()
}

// Serve takes connections until the process may end.
func (s *Server) Serve() error {
	go s.runDrain()
	if s.idleTimeoutFunc != nil {
		go s.runIdleTimeout()
	}
	var err error
	if s.httpServer.TLSConfig != nil {
		err = s.httpServer.ServeTLS(s.listener, "", "")
	} else {
		err = s.httpServer.Serve(s.listener)
	}
	if s.state.Phase() == service.ShuttingDown {
		return nil
	}
	return err
}

// sendAway closes connections while clients are sent away, and the port once no more are taken.
func (s *Server) runDrain() {
	for {
		changed := s.state.Changed()
		if !s.state.ClosesAfterResponse() {
			select {
			case <-s.closed:
				return
			case <-changed:
			}
			continue
		}
		now := time.Now()
		if !s.state.Accepts(now) {
			s.listener.Close()
		}
		if s.state.ClosesIdle(now) {
			s.listener.closeIdle(now)
		}
		select {
		case <-s.closed:
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// Open counts the connections, those that linger and a port whose queue is being emptied among them.
func (s *Server) OpenConnections() int {
	l := s.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns) + len(l.lingering)
	if l.stopping && !l.closed {
		n++
	}
	return n
}

// Close ends what the server runs, whatever is still owed.
func (s *Server) Close() {
	close(s.closed)
	s.listener.mu.Lock()
	s.listener.aborted = true
	s.listener.mu.Unlock()
	s.httpServer.Close()
}

// listener bounds the connections open at once. At the bound the client that is idle the longest makes room, else
// the one that has said nothing for the longest: a request in the accept queue counts as taken, so it must not wait
// for long, and connections opened by the hundred in silence must not keep it there.
type listener struct {
	net.Listener
	maxConns        int
	encrypted       bool // under TLS
	admit           func() bool
	mu              sync.Mutex
	slotFreed       *sync.Cond
	conns           map[*clientConn]bool
	lingering       []*clientConn // closed towards the client, longest first; what still comes is read and thrown away
	stopping        bool          // no more are taken but what waits in the queue,
	backlogDeadline time.Time     // until then at the latest
	closed          bool          // nor that
	paused          bool          // paused
	aborted         bool          // nothing is waited for any more

	onRead func() // of tests: bytes have been read, and nothing knows of them yet
}

// pause is carried out by a deadline in the past: to close the port would take what waits in its queue with it.
func (l *listener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	t, ok := l.Listener.(*net.TCPListener)
	switch {
	case !ok:
	case paused:
		t.SetDeadline(time.Now())
	default:
		t.SetDeadline(time.Time{})
		l.slotFreed.Broadcast()
	}
}

// next gives the next connection from the queue. Once no more are to come it empties that, as to close the port would reset
// what waits there.
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

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.acceptNext()
	for err == nil && l.admit != nil && !l.admit() { // closed early and cheaply, before a byte of it is read
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
		l.backlogDeadline = time.Time{} // what waits in the queue has waited for this one
		if victim := l.longestInState(http.StateIdle, 0); victim != nil {
			victim.closeLocked()
		} else if victim := l.longestInState(http.StateNew, newConnGrace); victim != nil {
			victim.closeLocked()
		} else {
			wake := time.AfterFunc(newConnGrace, l.slotFreed.Broadcast)
			l.slotFreed.Wait()
			wake.Stop()
		}
	}
	client := &clientConn{Conn: c, listener: l, encrypted: l.encrypted, state: http.StateNew, stateSince: time.Now()}
	l.conns[client] = true
	if l.stopping {
		l.extendBacklogDeadline()
	}
	return client, nil
}

// emptying lets the queue be read on until nothing comes for a moment. The mutex is held.
func (l *listener) extendBacklogDeadline() {
	if t, ok := l.Listener.(*net.TCPListener); ok {
		if l.backlogDeadline.IsZero() {
			l.backlogDeadline = time.Now().Add(backlogDrainTimeout)
		}
		deadline := time.Now().Add(backlogQuietPeriod)
		if deadline.After(l.backlogDeadline) {
			deadline = l.backlogDeadline
		}
		t.SetDeadline(deadline)
	}
}

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
	if _, ok := l.Listener.(*net.TCPListener); ok && !l.paused && !l.aborted { // paused, the queue is another's
		l.extendBacklogDeadline()
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// longest gives the connection that has been in a state for the longest, if for more than some time, and on which nothing
// has come.
func (l *listener) longestInState(state http.ConnState, minAge time.Duration) (oldest *clientConn) {
	before, skipped := time.Now().Add(-minAge), map[*clientConn]bool{}
	for {
		oldest = nil
		for c := range l.conns {
			if c.state == state && !c.requestBegun && !skipped[c] && c.stateSince.Before(before) && (oldest == nil || c.stateSince.Before(oldest.stateSince)) {
				oldest = c
			}
		}
		if oldest == nil || oldest.nothingUnread() {
			return oldest
		}
		skipped[oldest] = true
	}
}

// closeIdle closes the connections on which nothing has begun, those that are new after some grace.
func (l *listener) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.requestBegun && (c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.stateSince) > newConnGrace) && c.nothingUnread() {
			c.closeLocked()
		}
	}
}

// follow takes in net/http's word on each connection.
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
