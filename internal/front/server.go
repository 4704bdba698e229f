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
	headerWait  = 2500 * time.Millisecond // a client that says nothing or not all is left, and owed that within 3 s
	idleWait    = 2 * time.Minute
	answerSlack = 5 * time.Second  // beyond the longest deadline, for a slow client to send and read
	answerWait  = 10 * time.Second // that a client may take nothing of an answer; a long one's is set anew as it goes
	maxHeader   = 16 << 10

	// newGrace is how long a new connection may say nothing before it makes room for others at the bound.
	newGrace = 250 * time.Millisecond
	// lookAgain is how often connections are looked at while clients are sent away.
	lookAgain = 20 * time.Millisecond
	// queueWait is how long nothing has to come for a port's queue to count as empty, queueMost how long it is emptied for.
	queueWait, queueMost = 20 * time.Millisecond, 300 * time.Millisecond
)

// Server is a virtual server.
type Server struct {
	http     *http.Server
	listener *listener
	state    *service.State
	idleFor  func() time.Duration // nil: net/http's limit counts
	closed   chan struct{}
}

// Options are a virtual server's limits.
type Options struct {
	Listen          string
	Sockets         int                  // client connections at once
	LongestDeadline time.Duration        // of any transaction
	TLS             *tls.Config          // nil: plain
	Admit           func() bool          // whether one more new connection may be taken; nil: all may
	State           *service.State       // nil: of its own, always serving
	Listener        net.Listener         // taken over from a predecessor; nil: Listen is opened
	Shared          bool                 // others of the same gateway may listen at the address as well
	HeaderWait      time.Duration        // in which a head has to come; 0: the standard
	IdleWait        time.Duration        // that a client may rest between requests; 0: the standard
	IdleFor         func() time.Duration // the same, where it changes; nil: IdleWait counts
	MaxHeader       int                  // bytes of a head; 0: the standard
}

// Listen opens the port. Nothing is taken before Serve.
func Listen(opt Options, handler http.Handler) (*Server, error) {
	inner := opt.Listener
	if inner == nil {
		conf := net.ListenConfig{}
		if opt.Shared {
			conf.Control = Share
		}
		var err error
		if inner, err = conf.Listen(context.Background(), "tcp", opt.Listen); err != nil {
			return nil, err
		}
	}
	if opt.State == nil {
		opt.State = service.New()
	}
	s := &Server{listener: &listener{Listener: inner, most: opt.Sockets, opaque: opt.TLS != nil, admit: opt.Admit, conns: map[*client]bool{}},
		state: opt.State, idleFor: opt.IdleFor, closed: make(chan struct{})}
	if opt.IdleFor != nil {
		opt.IdleWait = restMost
	}
	s.listener.freed = sync.NewCond(&s.listener.mu)
	// A read time-out below the longest deadline would look like a client that left in the middle of its wait.
	limit := opt.LongestDeadline + answerSlack
	s.http = &http.Server{ReadHeaderTimeout: cmp.Or(opt.HeaderWait, headerWait), ReadTimeout: limit, WriteTimeout: limit,
		IdleTimeout: cmp.Or(opt.IdleWait, idleWait), MaxHeaderBytes: cmp.Or(opt.MaxHeader, maxHeader), ConnState: s.listener.follow, ConnContext: keepClient, TLSConfig: opt.TLS,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a := &answer{ResponseWriter: w, state: opt.State}
			if c, _ := r.Context().Value(clientKey{}).(*client); c != nil {
				a.client = c
				c.handles(true)
				defer c.handles(false)
			}
			if handler.ServeHTTP(a, r); !a.headed {
				a.WriteHeader(http.StatusOK)
			}
		}),
		ErrorLog: log.New(io.Discard, "", 0)} // a client's broken connection is not news
	return s, nil
}

// Share lets another process of the same user listen at a socket's address.
func Share(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return failed
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
func (s *Server) Pause() { s.listener.pause(true) }

// Resume takes new connections again.
func (s *Server) Resume() { s.listener.pause(false) }

// answer marks an answer as its connection's last where clients are sent away by the time that it is written. For as long as
// idle connections are left, one behind which more has come already is not: what has been read is answered as well.
type answer struct {
	http.ResponseWriter
	state  *service.State
	client *client // nil: under TLS what has come can't be told
	headed bool
}

func (a *answer) WriteHeader(code int) {
	if !a.headed && (a.state.Last() && !(a.client.behind() && !a.state.ClosesIdle(time.Now())) || a.client.overrun()) {
		a.Header().Set("Connection", "close")
	}
	if !a.headed {
		http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(answerWait))
	}
	a.headed = a.headed || code >= http.StatusOK
	a.ResponseWriter.WriteHeader(code)
}

func (a *answer) Write(b []byte) (int, error) {
	if !a.headed {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

// Unwrap is net/http's way to the connection's time limits.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Limit sets how many client connections may be open at once from now on.
func (s *Server) Limit(sockets int) {
	s.listener.mu.Lock()
	s.listener.most = sockets
	s.listener.freed.Broadcast()
	s.listener.mu.Unlock()
}

// Serve takes connections until the process may end.
func (s *Server) Serve() error {
	go s.sendAway()
	if s.idleFor != nil {
		go s.endRests()
	}
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if s.state.Phase() == service.Ending {
		return nil
	}
	return err
}

// sendAway closes connections while clients are sent away, and the port once no more are taken.
func (s *Server) sendAway() {
	for {
		changed := s.state.Changed()
		if !s.state.Last() {
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
		case <-time.After(lookAgain):
		}
	}
}

// Open counts the connections, those that linger and a port whose queue is being emptied among them.
func (s *Server) Open() int {
	l := s.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns) + len(l.lingers)
	if l.shut && !l.closed {
		n++
	}
	return n
}

// Close ends what the server runs, whatever is still owed.
func (s *Server) Close() {
	close(s.closed)
	s.listener.mu.Lock()
	s.listener.dead = true
	s.listener.mu.Unlock()
	s.http.Close()
}

// listener bounds the connections open at once. At the bound the client that is idle the longest makes room, else
// the one that has said nothing for the longest: a request in the accept queue counts as taken, so it must not wait
// for long, and connections opened by the hundred in silence must not keep it there.
type listener struct {
	net.Listener
	most    int
	opaque  bool // under TLS
	admit   func() bool
	mu      sync.Mutex
	freed   *sync.Cond
	conns   map[*client]bool
	lingers []*client // closed towards the client, longest first; what still comes is read and thrown away
	shut    bool      // no more are taken but what waits in the queue,
	until   time.Time // until then at the latest
	closed  bool      // nor that
	still   bool      // paused
	dead    bool      // nothing is waited for any more

	crossing func() // of tests: bytes have been read, and nothing knows of them yet
}

// pause is carried out by a deadline in the past: to close the port would take what waits in its queue with it.
func (l *listener) pause(still bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.still = still
	t, ok := l.Listener.(*net.TCPListener)
	switch {
	case !ok:
	case still:
		t.SetDeadline(time.Now())
	default:
		t.SetDeadline(time.Time{})
		l.freed.Broadcast()
	}
}

// next gives the next connection from the queue. Once no more are to come it empties that, as to close the port would reset
// what waits there.
func (l *listener) next() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		l.mu.Lock()
		for l.still && !l.shut {
			l.freed.Wait()
		}
		if l.shut {
			l.closed = true
			err = l.Listener.Close()
			l.mu.Unlock()
			return nil, errors.Join(net.ErrClosed, err)
		}
		l.mu.Unlock()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.next()
	for err == nil && l.admit != nil && !l.admit() { // closed early and cheaply, before a byte of it is read
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		c, err = l.next()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.most && !l.dead {
		l.until = time.Time{} // what waits in the queue has waited for this one
		if old := l.longest(http.StateIdle, 0); old != nil {
			old.end()
		} else if old := l.longest(http.StateNew, newGrace); old != nil {
			old.end()
		} else {
			wake := time.AfterFunc(newGrace, l.freed.Broadcast)
			l.freed.Wait()
			wake.Stop()
		}
	}
	k := &client{Conn: c, in: l, opaque: l.opaque, state: http.StateNew, since: time.Now()}
	l.conns[k] = true
	if l.shut {
		l.emptying()
	}
	return k, nil
}

// emptying lets the queue be read on until nothing comes for a moment. The mutex is held.
func (l *listener) emptying() {
	if t, ok := l.Listener.(*net.TCPListener); ok {
		if l.until.IsZero() {
			l.until = time.Now().Add(queueMost)
		}
		by := time.Now().Add(queueWait)
		if by.After(l.until) {
			by = l.until
		}
		t.SetDeadline(by)
	}
}

func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut {
		if l.dead && !l.closed {
			l.closed = true
			return l.Listener.Close()
		}
		return nil
	}
	l.shut = true
	l.freed.Broadcast()
	if _, ok := l.Listener.(*net.TCPListener); ok && !l.still && !l.dead { // paused, the queue is another's
		l.emptying()
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}

// longest gives the connection that has been in a state for the longest, if for more than some time, and on which nothing
// has come.
func (l *listener) longest(state http.ConnState, more time.Duration) (old *client) {
	before, passed := time.Now().Add(-more), map[*client]bool{}
	for {
		old = nil
		for c := range l.conns {
			if c.state == state && !c.begun && !passed[c] && c.since.Before(before) && (old == nil || c.since.Before(old.since)) {
				old = c
			}
		}
		if old == nil || old.quiet() {
			return old
		}
		passed[old] = true
	}
}

// closeIdle closes the connections on which nothing has begun, those that are new after some grace.
func (l *listener) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.begun && (c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) > newGrace) && c.quiet() {
			c.end()
		}
	}
}

// follow takes in net/http's word on each connection.
func (l *listener) follow(conn net.Conn, state http.ConnState) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c := conn.(*client)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(l.conns, c)
		l.freed.Signal()
	case l.conns[c]:
		if c.state = state; state == http.StateIdle {
			c.since, c.begun = time.Now(), c.buffered()
			l.freed.Signal()
		}
	}
}
