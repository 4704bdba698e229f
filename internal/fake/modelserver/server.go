// Package modelserver owns stand-in model servers: they speak the protocol's "Servers", batch requests in slots, read prompts, keep
// shared parts of them and put out streams of events, and they account for what they ran. They must never be linked into a
// program that is deployed, nor judge what a gateway should have done.
package modelserver

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The headers of the protocol that servers read and write.
const (
	headerRequest        = "X-Request-Id"
	headerExpectInstance = "X-Expect-Instance"
	headerInstance       = "X-Instance-Id"
	headerNotExecuted    = "X-Not-Executed"
	headerSignature      = "X-Response-Signature"
	headerLoad           = "X-Server-Load"
	headerDeadline       = "X-Deadline-Ms"
	headerTenant         = "X-Tenant"
	headerKey            = "Api-Key"
	headerTokenUsage     = "X-Token-Usage"
	headerPromptPrefix   = "X-Prompt-Prefix"
	headerLastEvent      = "Last-Event-Id"
	notExecuted          = "1"
	defaultDeadline      = 10 * time.Second // of a request that names no deadline
	maxBodyBytes         = 8 << 20
	headerReadTimeout    = 10 * time.Second
	idleTimeout          = 30 * time.Second
	queuedPerSlot        = 1 // requests that may wait, for each slot
	defaultEvents        = 8 // of a request that doesn't tell how much it may put out
)

// Options are what a server can do.
type Options struct {
	ID             string // of this incarnation
	Service        string
	Address        string // ip:port; port 0 takes any
	Slots          int
	MaxConnections int           // 0: no bound
	KVTokens       int           // of running requests and cached parts together
	PrefillRate    float64       // prompt tokens read in a second
	EventInterval  time.Duration // between events of a server with one request
	TokensPerEvent int           // output tokens of an event
	ExecutionLog   *ExecutionLog // where runs are told; shared by all servers
	ReportLoad     bool          // answers tell the load

	// Fails gives a status with which an attempt fails after it ran, or 0; nil: none fails.
	FailStatus func(request string) int
}

// Server is a model server in one incarnation.
type Server struct {
	options  Options
	listener *limitedListener
	server   *http.Server
	stopped  chan struct{}
	stopOnce sync.Once

	slots    chan struct{}
	queued   atomic.Int64
	draining atomic.Bool
	cache    *prefixCache
}

// Start starts a server.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", options.ID, err)
	}
	s := &Server{
		options:  options,
		listener: &limitedListener{Listener: listener, limit: options.MaxConnections},
		stopped:  make(chan struct{}),
		slots:    make(chan struct{}, options.Slots),
		cache:    newPrefixCache(options.KVTokens),
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /report", s.handleReport)
	routes.HandleFunc("GET /healthz", s.handleHealth)
	routes.HandleFunc("/", s.handleRequest)
	s.server = &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go s.server.Serve(s.listener)
	return s, nil
}

// ID gives the incarnation.
func (s *Server) ID() string { return s.options.ID }

// Service gives the name of the service.
func (s *Server) Service() string { return s.options.Service }

// tellLoad puts the load into an answer: requests running, requests waiting, slots.
func (s *Server) setLoadHeader(w http.ResponseWriter) {
	if s.options.ReportLoad {
		w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(s.slots), max(0, s.queued.Load()), s.options.Slots))
	}
}

// Slots gives how many requests run at the same time.
func (s *Server) Slots() int { return s.options.Slots }

// Address gives ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Running counts the requests that hold a slot.
func (s *Server) Running() int { return len(s.slots) }

// Drain makes the server say that it is leaving; it goes on serving until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining tells whether it is leaving.
func (s *Server) Draining() bool { return s.draining.Load() }

// Stop ends the server as a crash does: streams break off, connections are refused.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.server.Close()
	})
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerInstance, s.options.ID)
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	<-s.slots
	w.WriteHeader(http.StatusOK)
}

// enter takes a slot, after a wait where all are taken. It fails where too many wait, or the caller's time is over.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.queued.Add(1) > int64(queuedPerSlot*s.options.Slots) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

// turnAway answers that the request has not run here and never will.
func (s *Server) reject(w http.ResponseWriter, status int) {
	s.setLoadHeader(w)
	w.Header().Set(headerNotExecuted, notExecuted)
	w.Header().Set(headerInstance, s.options.ID)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// countedListener resets the connections over a bound.
type limitedListener struct {
	net.Listener
	limit int
	open  atomic.Int64
}

// Accept gives the next connection within the bound.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.limit) || l.limit == 0 {
			return &limitedConn{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a close resets then
		}
		connection.Close()
	}
}

type limitedConn struct {
	net.Conn
	open      *atomic.Int64
	closeOnce sync.Once
}

func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
