package pool

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// ServerState is what discovery says of a server.
type ServerState = policy.ServerState

// Options are the settings of a pool.
type Options struct {
	// MaxConnections bounds the connections that are open at once, those being dialled included. A higher
	// bound allows more requests at once, and takes more file descriptors.
	MaxConnections int

	// ResponseMemory bounds what Carry buffers of responses, and the buffers through which request bodies are
	// streamed. When it is used up, responses wait. nil: no bound.
	ResponseMemory *buffers.Budget

	// BufferResponses makes Carry read each response whole, up to MaxBufferedResponse, instead of streaming
	// long ones.
	BufferResponses bool

	// IdleTimeout is the time after which servers close an idle connection. The pool reuses a connection only
	// within three quarters of it. Too long a value loses requests to closed connections; too short a one
	// dials more often.
	IdleTimeout time.Duration

	// ConnectTimeout bounds dialling, and the TLS handshake after it.
	ConnectTimeout time.Duration

	// StaleWindow bounds the time between writing a request to a reused connection and a reset for which the
	// connection, not the server, is held responsible (core.EndStale). 0: 25 ms.
	StaleWindow time.Duration

	// TLS configures connections to servers. nil: plain TCP.
	TLS *tls.Config

	// Dial opens a connection to a server. nil: over TCP. If the connection implements Peeker, that is used
	// to test for unread input.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// LoadFields has the index of each field of a load report in core.Answer's LoadReport. nil: reports are
	// ignored.
	LoadFields map[string]int
}

// Pool has the servers and the connections to them. It is safe for concurrent use.
type Pool struct {
	options     Options // MaxConnections is guarded by mu; the timeouts are in the atomics below
	injected    injectedBugs
	stop        chan struct{}       // closed by Close; ends sweepIdle
	onConnected func(*core.Attempt) // set by tests, to force races: there is a connection, and nothing was rechecked yet

	idleTimeout, connectTimeout atomic.Int64 // time.Duration

	staleness stalenessEstimator // has a mutex of its own

	// mu guards what follows, the idle lists included. A connection is either in exactly one idle list or
	// owned by the goroutine that took it from there or dialled it. While mu is held sockets are only peeked
	// at and closed, which doesn't block.
	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections: idle, in use and being dialled; over MaxConnections only after that was lowered
	stats   Stats
}

// server is a server that discovery has named.
type server struct {
	addr  string
	state ServerState
	idle  []*conn // in the order of their release; the last one is used first
}

// New returns an empty pool, which checks its idle connections every second until Close.
func New(options Options) *Pool {
	if options.StaleWindow == 0 {
		options.StaleWindow = defaultStaleWindow
	}
	p := &Pool{options: options, stop: make(chan struct{}), servers: map[policy.ServerID]*server{}}
	p.SetTimeouts(options.IdleTimeout, options.ConnectTimeout)
	go p.sweepIdle()
	return p
}

// Close closes the idle connections and ends the checks. Those in use are not affected.
func (p *Pool) Close() {
	close(p.stop)
	p.closeIdle(func(*server, *conn) bool { return true })
}

// SetMaxConnections changes Options.MaxConnections. Connections beyond a lower bound stay open until they are
// no longer used.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	p.options.MaxConnections = n
	p.mu.Unlock()
}

// SetTimeouts changes Options.IdleTimeout and Options.ConnectTimeout.
func (p *Pool) SetTimeouts(idle, connect time.Duration) {
	p.idleTimeout.Store(int64(idle))
	p.connectTimeout.Store(int64(connect))
}

// Set adds or changes a server. Idle connections to its former address are closed, and all of them if it is
// no longer ready. One that has departed is forgotten.
func (p *Pool) Set(id policy.ServerID, addr string, state ServerState) {
	p.Apply([]Change{{ID: id, Address: addr, State: state}})
}

// Change is the address and the state of a server from now on.
type Change struct {
	ID      policy.ServerID
	Address string
	State   ServerState
}

// Apply applies the changes of several servers at once, as Set does with one.
func (p *Pool) Apply(changes []Change) {
	p.mu.Lock()
	for _, change := range changes {
		s := p.servers[change.ID]
		if s == nil {
			s = &server{}
			p.servers[change.ID] = s
		}
		s.addr, s.state = change.Address, change.State
	}
	p.mu.Unlock()
	p.closeIdle(func(s *server, c *conn) bool { return s.state != policy.Ready || c.addr != s.addr })
}

// ReadyServers counts the servers that may be sent new requests.
func (p *Pool) ReadyServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if s.state == policy.Ready {
			n++
		}
	}
	return n
}

// earliest returns the earlier one of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
