package memorynet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects dialers to the listeners at its addresses.
type Network struct {
	// Window returns, for each new connection, how many bytes of a direction may be on their way or unread.
	Window func() int
	// Latency returns, for each new connection, how long bytes take to arrive.
	Latency func() time.Duration

	mu        sync.Mutex // guards listeners
	listeners map[string]*Listener
}

// Listen returns a listener at an address. It replaces one that was there.
func (n *Network) Listen(address string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	l := &Listener{address: address, backlog: make(chan *Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial opens a connection, after a round trip. The error is ECONNREFUSED where nothing listens at the address.
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

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listener accepts the connections to one address.
type Listener struct {
	address   string
	backlog   chan *Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. Connections that were accepted stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr { return address(l.address) }

// address is a name in a Network.
type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }
