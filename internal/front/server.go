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
	"time"

	"sprucelane.example/sprucelane/internal/service"
)

// Timeouts and limits where Options don't set others.
const (
	defaultReadHeaderTimeout = 2500 * time.Millisecond // clients are promised a close within 3 s
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxHeaderBytes    = 16 << 10
)

const (
	// transferSlack is added to the longest deadline, for a client that is slow to send its request and read
	// the response.
	transferSlack = 5 * time.Second
	// drainPollInterval is the time between two looks at the connections while the server drains.
	drainPollInterval = 20 * time.Millisecond
)

// errNotTCP reports a listener without a file descriptor.
var errNotTCP = errors.New("front: the listener is not a TCP one")

// Server is a server for clients.
type Server struct {
	httpServer      *http.Server
	listener        *listener
	state           *service.State
	idleTimeoutFunc func() time.Duration // nil: Options.IdleTimeout is fixed
	closed          chan struct{}        // closed by Close
}

// Options are the settings of a server.
type Options struct {
	// Address is the TCP address to listen at, unless there is a Listener.
	Address string

	// Listener is a listening socket that was taken over from another process. nil: one is opened at Address.
	Listener net.Listener

	// ReusePort allows other processes of the same user to listen at Address as well (SO_REUSEPORT).
	ReusePort bool

	// MaxConnections bounds the client connections that are open at once. At the bound idle ones are closed
	// for new ones. Each takes a file descriptor and some memory.
	MaxConnections int

	// MaxRequestDeadline is the longest deadline of any request. net/http's read and write timeouts are 5 s
	// longer.
	MaxRequestDeadline time.Duration

	// TLS configures TLS. nil: plain TCP. Under TLS pipelined input can't be watched, nor framing be scanned.
	TLS *tls.Config

	// Admit is called for each new connection; one that is not admitted is reset at once, which costs far
	// less than to serve it. nil: all are.
	Admit func() bool

	// State is the state of service, which says when connections are closed. nil: one of its own, which never
	// drains.
	State *service.State

	// ReadHeaderTimeout bounds the time in which the head of a request has to arrive. 0: 2.5 s.
	ReadHeaderTimeout time.Duration

	// IdleTimeout is the time after which a connection without a request is closed. Clients reuse connections
	// only if it is longer than their pauses; a short one frees connections earlier. 0: 2 min.
	IdleTimeout time.Duration

	// IdleTimeoutFunc returns the idle timeout if it changes while the server runs. Values over 10 min have
	// no effect. nil: IdleTimeout.
	IdleTimeoutFunc func() time.Duration

	// MaxHeaderBytes bounds the head of a request, in bytes. 0: 16 KiB.
	MaxHeaderBytes int
}

// Listen opens the listening socket. Connections are accepted by Serve.
func Listen(options Options, handler http.Handler) (*Server, error) {
	inner := options.Listener
	if inner == nil {
		config := net.ListenConfig{}
		if options.ReusePort {
			config.Control = SetReusePort
		}
		var err error
		if inner, err = config.Listen(context.Background(), "tcp", options.Address); err != nil {
			return nil, err
		}
	}
	if options.State == nil {
		options.State = service.New()
	}
	l := &listener{Listener: inner, maxConns: options.MaxConnections, encrypted: options.TLS != nil,
		admit: options.Admit, conns: map[*clientConn]bool{}}
	l.slotFreed = sync.NewCond(&l.mu)
	return &Server{listener: l, httpServer: newHTTPServer(options, l, handler), state: options.State,
		idleTimeoutFunc: options.IdleTimeoutFunc, closed: make(chan struct{})}, nil
}

// newHTTPServer returns the server of net/http.
func newHTTPServer(options Options, l *listener, handler http.Handler) *http.Server {
	if options.IdleTimeoutFunc != nil {
		options.IdleTimeout = maxIdleTimeout
	}
	// net/http reports the end of ReadTimeout during a handler as a client that has left, so it must exceed
	// all deadlines.
	timeout := options.MaxRequestDeadline + transferSlack
	return &http.Server{
		Handler:           trackRequests(options.State, handler),
		TLSConfig:         options.TLS,
		ReadHeaderTimeout: cmp.Or(options.ReadHeaderTimeout, defaultReadHeaderTimeout),
		ReadTimeout:       timeout,
		WriteTimeout:      timeout,
		IdleTimeout:       cmp.Or(options.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    cmp.Or(options.MaxHeaderBytes, defaultMaxHeaderBytes),
		ConnState:         l.trackState,
		ConnContext:       withConn,
		ErrorLog:          log.New(io.Discard, "", 0), // it reports clients' broken connections
	}
}

// File returns a duplicate of the listening socket, to be handed to another process.
func (s *Server) File() (*os.File, error) {
	t, ok := s.listener.Listener.(*net.TCPListener)
	if !ok {
		return nil, errNotTCP
	}
	return t.File()
}

// Pause leaves new connections in the backlog, until Resume.
func (s *Server) Pause() { s.listener.setPaused(true) }

// Resume accepts new connections again.
func (s *Server) Resume() { s.listener.setPaused(false) }

// Addr returns the address of the listening socket.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetMaxConnections changes Options.MaxConnections. Connections beyond a lower bound are not closed for it,
// but new ones wait.
func (s *Server) SetMaxConnections(maxConns int) {
	s.listener.mu.Lock()
	s.listener.maxConns = maxConns
	s.listener.slotFreed.Broadcast()
	s.listener.mu.Unlock()
}

// Serve accepts and serves connections until the server is closed, or shutdown has closed the listener, in
// which case it returns nil. Connections may still be open then.
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

// runDrain closes idle connections while the server drains, and the listener once no more connections are
// accepted.
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

// OpenConnections counts the connections, lingering ones included. A backlog that is being drained counts as
// one.
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

// Close closes the server and all its connections at once. Requests that are being handled get no response.
func (s *Server) Close() {
	close(s.closed)
	s.listener.mu.Lock()
	s.listener.aborted = true
	s.listener.mu.Unlock()
	s.httpServer.Close()
}
