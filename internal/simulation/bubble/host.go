package bubble

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// listenBacklog is the number of connections that may wait for Accept at one listener.
const listenBacklog = 1024

// Host is one incarnation of a process on a machine with an IP address.
type Host struct {
	network   *Network
	ip        string
	dead      bool
	listeners map[string]*listener // by address
}

// StartHost starts an incarnation on the machine with an IP address. The previous incarnation and its
// connections end.
func (n *Network) StartHost(ip string) *Host {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if old := n.hosts[ip]; old != nil {
		old.markDead()
		n.endConnections(old, 0)
	}
	host := &Host{network: n, ip: ip, listeners: map[string]*listener{}}
	n.hosts[ip] = host
	return host
}

// Kill ends the process. The kernel of its machine resets its connections.
func (h *Host) Kill() { h.stop(0) }

// LosePower ends the machine, which sends nothing, no resets either: peers detect this by their time-outs.
func (h *Host) LosePower() { h.stop(keepAliveTimeout) }

// stop ends the incarnation. Its peers detect this after detectionDelay.
func (h *Host) stop(detectionDelay time.Duration) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h.markDead()
	n.endConnections(h, detectionDelay)
}

// markDead marks the incarnation as ended, and closes its listeners. The caller holds the mutex of the network.
func (h *Host) markDead() {
	h.dead = true
	for _, l := range h.listeners {
		l.close()
	}
}

// Listen listens at an address of the host.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if h.dead {
		return nil, net.ErrClosed
	}
	if old := h.listeners[address]; old != nil && !old.closed {
		return nil, fmt.Errorf("listen %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: address, accepted: make(chan net.Conn, listenBacklog), done: make(chan struct{})}
	h.listeners[address] = l
	return l, nil
}

// Dial opens a connection from the host. While the other machine doesn't answer it tries again, until the
// context ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		connection, err := h.dial(ip, address)
		if !errors.Is(err, errNoAnswer) {
			return connection, err
		}
		timer := time.NewTimer(maxRetransmitDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case <-timer.C:
		}
	}
}

// errNoAnswer is returned for a connection attempt that the other machine didn't answer.
var errNoAnswer = errors.New("bubble: remote machine did not answer")

// dial makes one connection attempt, which takes a round trip. It returns errNoAnswer if the other machine is
// dead or partitioned.
func (h *Host) dial(ip, address string) (net.Conn, error) {
	n := h.network
	n.mutex.Lock()
	roundTrip := 2 * n.drawDelay()
	n.mutex.Unlock()
	time.Sleep(roundTrip)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.hosts[ip]
	switch {
	case h.dead:
		return nil, net.ErrClosed
	case target == nil || target.dead || n.isPartitioned(h.ip, ip) || n.isPartitioned(ip, h.ip):
		return nil, errNoAnswer
	}
	l := target.listeners[address]
	if l == nil || l.closed {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	c := newConnection(n, h, target, fmt.Sprintf("%s:%d", h.ip, n.lastPort), address)
	select {
	case l.accepted <- c.ends[1]:
	default:
		return nil, errors.New("bubble: backlog of the listener is full")
	}
	n.connections[c] = true
	return c.ends[0], nil
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn // connections that wait for Accept
	done     chan struct{} // closed with the listener
	closed   bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	l.close()
	return nil
}

// close closes the listener. The caller holds the mutex of the network.
func (l *listener) close() {
	if !l.closed {
		l.closed = true
		close(l.done)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (a address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
