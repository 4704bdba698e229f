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

// ServerState is the state of a server as reported by discovery.
type ServerState = policy.ServerState

// Options are the settings of a pool.
type Options struct {
	// MaxConnections limits the number of open connections, including those being dialled. A higher limit
	// allows more concurrent requests, and takes more file descriptors.
	MaxConnections int

	// ResponseMemory limits the memory for responses that Carry buffers, and for the buffers through which
	// request bodies are streamed. When it is used up, responses wait. nil: no limit.
	ResponseMemory *buffers.Budget

	// BufferResponses makes Carry read each response completely, up to MaxBufferedResponse, instead of
	// streaming long ones.
	BufferResponses bool

	// IdleTimeout is the time after which servers close an idle connection. The pool reuses a connection only
	// within three quarters of it. If the value is too high, requests are lost on closed connections; if it is
	// too low, connections are dialled more often.
	IdleTimeout time.Duration

	// ConnectTimeout limits the time for dialling, and the time for the TLS handshake after it.
	ConnectTimeout time.Duration

	// StaleWindow is the time after writing a request to a reused connection within which a reset is
	// attributed to the connection, not to the server (core.EndStale). 0: 25 ms.
	StaleWindow time.Duration

	// TLS configures connections to servers. nil: plain TCP.
	TLS *tls.Config

	// Dial opens a connection to a server. nil: over TCP. If the connection implements Peeker, its Arrived
	// method is used to test for unread input.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// LoadFields maps the name of each field of a load report to its index in core.Answer's LoadReport. nil: reports are
	// ignored.
	LoadFields map[string]int
}

// Pool holds the servers and the connections to them. It is safe for concurrent use.
type Pool struct {
	options     Options // MaxConnections is guarded by mu; the timeouts are in the atomics below
	injected    injectedBugs
	stop        chan struct{}       // closed by Close; ends sweepIdle
	onConnected func(*core.Attempt) // set by tests, to force races: called between connecting and recheck

	idleTimeout, connectTimeout atomic.Int64 // time.Duration

	staleness stalenessEstimator // guarded by its own mutex

	// mu guards the fields below, including the idle lists. A connection is either in exactly one idle list or
	// owned by the goroutine that removed it from there or dialled it. While mu is held, sockets are only
	// peeked at and closed, which doesn't block.
	mu      sync.Mutex
	servers map[policy.ServerID]*server
	open    int // connections: idle, in use and being dialled; exceeds MaxConnections only after that was lowered
	stats   Stats
}

// server is a server from discovery, with the idle connections to it.
type server struct {
	addr  string
	state ServerState
	idle  []*conn // in the order in which they were released; the last one is used first
}

// New returns a pool without servers. It closes unusable idle connections once a second until Close.
func New(options Options) *Pool {
	if options.StaleWindow == 0 {
		options.StaleWindow = defaultStaleWindow
	}
	p := &Pool{options: options, stop: make(chan struct{}), servers: map[policy.ServerID]*server{}}
	p.SetTimeouts(options.IdleTimeout, options.ConnectTimeout)
	go p.sweepIdle()
	return p
}

// Close closes the idle connections and stops the checks of them. Connections in use are not affected.
func (p *Pool) Close() {
	close(p.stop)
	p.closeIdle(func(*server, *conn) bool { return true })
}

// SetMaxConnections changes Options.MaxConnections. If more connections are open than a lower limit
// allows, they stay open until they are no longer used.
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

// Set adds or changes a server. Idle connections to its former address are closed, and all idle ones if it
// is no longer ready. A server that has departed is removed.
func (p *Pool) Set(id policy.ServerID, addr string, state ServerState) {
	p.Apply([]Change{{ID: id, Address: addr, State: state}})
}

// Change is the new address and state of a server.
type Change struct {
	ID      policy.ServerID
	Address string
	State   ServerState
}

// Apply does for several servers at once what Set does for one.
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

// ReadyServers returns the number of servers that accept new requests.
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

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
