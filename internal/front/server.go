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

// Defaults of Options.
const (
	defaultReadHeaderTimeout = 2500 * time.Millisecond // clients are promised a close within 3 s
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxHeaderBytes    = 16 << 10
)

const (
	// transferSlack is added to the longest deadline, for clients that are slow to send the request or to read
	// the response.
	transferSlack = 5 * time.Second
	// drainPollInterval is the interval at which the state and the connections are checked while the server
	// drains.
	drainPollInterval = 20 * time.Millisecond
)

// errNotTCP is the error for a listener without a file descriptor.
var errNotTCP = errors.New("front: listening socket can't be duplicated: not a TCP listener")

// Server is an HTTP server for clients.
type Server struct {
	httpServer      *http.Server
	listener        *listener
	state           *service.State
	idleTimeoutFunc func() time.Duration // nil: Options.IdleTimeout applies
	closed          chan struct{}        // closed by Close
}

// Options are the settings of a server.
type Options struct {
	// Address is the TCP address to listen on if Listener is nil.
	Address string

	// Listener is a listening socket that was taken over from another process. nil: Listen opens one on Address.
	Listener net.Listener

	// ReusePort allows other processes of the same user to listen on Address too (SO_REUSEPORT).
	ReusePort bool

	// MaxConnections limits the number of open client connections. At the limit, idle connections are closed
	// to make room for new ones. Each connection takes a file descriptor and some memory.
	MaxConnections int

	// MaxRequestDeadline is the longest deadline of any request. net/http's read and write timeouts are 5 s
	// longer.
	MaxRequestDeadline time.Duration

	// TLS configures TLS. nil: plain TCP. Under TLS pipelined input isn't handled, and framing isn't
	// scanned, as the input is encrypted.
	TLS *tls.Config

	// Admit is called for each new connection. If it returns false, the connection is reset at once, which costs
	// much less than serving it. nil: all connections are admitted.
	Admit func() bool

	// State is the state of service, which determines when connections are closed. nil: a new one, which never
	// drains.
	State *service.State

	// ReadHeaderTimeout is the time within which the head of a request must arrive. 0: 2.5 s.
	ReadHeaderTimeout time.Duration

	// IdleTimeout is the time after which a connection without a request is closed. Clients can
	// reuse connections only if it is longer than their pauses; a shorter timeout frees connections earlier.
	// 0: 2 min.
	IdleTimeout time.Duration

	// IdleTimeoutFunc returns the current idle timeout, if it may change while the server runs. A timeout of
	// more than 10 min has the effect of 10 min. nil: IdleTimeout applies.
	IdleTimeoutFunc func() time.Duration

	// MaxHeaderBytes is the maximum size of the head of a request in bytes. 0: 16 KiB.
	MaxHeaderBytes int
}

// Listen returns a server, for which it opens the listening socket if there is none. Connections are accepted by
// Serve.
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

// newHTTPServer returns the http.Server with these options.
func newHTTPServer(options Options, l *listener, handler http.Handler) *http.Server {
	if options.IdleTimeoutFunc != nil {
		options.IdleTimeout = maxIdleTimeout
	}
	// If ReadTimeout ends while a handler runs, net/http reports that the client has left. So it must be longer
	// than all deadlines.
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
		ErrorLog:          log.New(io.Discard, "", 0), // it only reports broken connections of clients
	}
}

// File returns a duplicate of the listening socket, for another process.
func (s *Server) File() (*os.File, error) {
	t, ok := s.listener.Listener.(*net.TCPListener)
	if !ok {
		return nil, errNotTCP
	}
	return t.File()
}

// Pause stops accepting connections, which stay in the backlog until Resume.
func (s *Server) Pause() { s.listener.setPaused(true) }

// Resume accepts new connections again.
func (s *Server) Resume() { s.listener.setPaused(false) }

// Addr returns the address of the listening socket.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetMaxConnections changes Options.MaxConnections. If more connections are open than a lower limit
// allows, Accept evicts idle ones or waits before it admits a new one.
func (s *Server) SetMaxConnections(maxConns int) {
	s.listener.mu.Lock()
	s.listener.maxConns = maxConns
	s.listener.slotFreed.Broadcast()
	s.listener.mu.Unlock()
}

// Serve accepts and serves connections until the server is closed or shutdown has closed the listener. After
// shutdown it returns nil, and connections may still be open.
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

// OpenConnections returns the number of open connections, including lingering ones. A backlog that is being
// drained counts as one.
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
