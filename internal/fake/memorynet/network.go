// Package memorynet owns connections in memory for tests in bubbles of testing/synctest: bytes take time and have bounded room, and
// an end may close a connection, reset it or fall silent at any byte. Nothing in it waits on the system, so that virtual time
// passes while all wait. It must never be linked into the program.
package memorynet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network is addresses at which listeners wait.
type Network struct {
	// Window bounds the bytes of one direction that nobody has read, in bytes.
	Window func() int
	// Latency is how long bytes of one connection are on the way.
	Latency func() time.Duration

	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listen waits for connections to an address.
func (n *Network) Listen(address string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	l := &Listener{network: n, address: address, backlog: make(chan *Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial opens a connection.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	latency := n.Latency()
	near, far := newConnPair(address, n.Window(), latency)
	if err := sleep(ctx, 2*latency); err != nil {
		return nil, err
	}
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listener takes the connections to one address.
type Listener struct {
	network   *Network
	address   string
	backlog   chan *Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept gives the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close takes no more.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr gives the address.
func (l *Listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }
