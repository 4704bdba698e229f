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

	notExecuted = "1" // the value of headerNotExecuted
)

const (
	headerReadTimeout = 10 * time.Second
	idleTimeout       = 30 * time.Second // of a connection
	// queuedPerSlot is the number of requests that may be queued for each slot.
	queuedPerSlot = 1
)

// Options configure a server.
type Options struct {
	// ID is the id of this incarnation, which changes with each start.
	ID string
	// Service is the name of the service that the server belongs to.
	Service string
	// Address is ip:port; port 0 takes any.
	Address string
	// Slots is the number of requests that run at the same time.
	Slots int
	// MaxConnections bounds the open connections; those beyond it are reset. 0: no bound.
	MaxConnections int
	// KVTokens is the capacity of the prefix cache, in tokens.
	KVTokens int
	// PrefillRate is the rate at which prompts are read, in tokens per second.
	PrefillRate float64
	// EventInterval is the time between events while one request runs. It doubles as the slots fill.
	EventInterval time.Duration
	// TokensPerEvent is the number of output tokens of an event.
	TokensPerEvent int
	// ExecutionLog records all executions; servers share it.
	ExecutionLog *ExecutionLog
	// ReportLoad has responses report the load (X-Server-Load).
	ReportLoad bool
	// FailStatus returns the status with which a request fails after its prompt was read, or 0. Nil: none fails.
	FailStatus func(request string) int
}

// Server is one incarnation of a model server.
type Server struct {
	options  Options
	listener *limitedListener
	server   *http.Server
	stopped  chan struct{} // closed by Stop
	stopOnce sync.Once

	slots    chan struct{} // holds an element for each running request
	queued   atomic.Int64
	draining atomic.Bool
	faults   atomic.Pointer[Faults] // nil: none
	cache    *prefixCache
}

// Start starts a server.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("modelserver: %s: %w", options.ID, err)
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

// ID returns the id of this incarnation.
func (s *Server) ID() string { return s.options.ID }

// Service returns the name of the service.
func (s *Server) Service() string { return s.options.Service }

// Slots returns how many requests can run at the same time.
func (s *Server) Slots() int { return s.options.Slots }

// Address returns ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Running returns the number of requests that hold a slot.
func (s *Server) Running() int { return len(s.slots) }

// Drain makes health checks fail, as of a server that shuts down gracefully; it goes on serving until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining returns whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Stop ends the server as a crash does: streams break off, and connections are refused.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.server.Close()
	})
}

// handleHealth answers a health check. It takes a slot for a moment, so that a saturated server fails it.
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
	s.releaseSlot()
	w.WriteHeader(http.StatusOK)
}

// acquireSlot takes a slot, and waits for one where all are taken. It returns false where too many requests
// are queued, the context ends, or the server is stopped.
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

func (s *Server) releaseSlot() { <-s.slots }

// setLoadHeader reports the load in a response: running requests, queued requests, slots.
func (s *Server) setLoadHeader(w http.ResponseWriter) {
	if s.options.ReportLoad {
		w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(s.slots), max(0, s.queued.Load()), s.options.Slots))
	}
}

// reject answers that the request hasn't run here and never will.
func (s *Server) reject(w http.ResponseWriter, status int) {
	s.setLoadHeader(w)
	w.Header().Set(headerNotExecuted, notExecuted)
	w.Header().Set(headerInstance, s.options.ID)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
