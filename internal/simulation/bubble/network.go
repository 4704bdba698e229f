package bubble

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Times of the network.
const (
	minDelay    = 200 * time.Microsecond
	delayJitter = 400 * time.Microsecond
	// userTimeout is how long data may go without acknowledgement, as coord/transport sets it.
	userTimeout = 1500 * time.Millisecond
	// probeTimeout is after how long probes end a connection without an answer.
	keepAliveTimeout = 3 * time.Second
	// retransmission is how long after the end of a cut held bytes arrive, at most.
	maxRetransmitDelay = 200 * time.Millisecond
	// backlog is how many connections wait to be accepted.
	listenBacklog = 1024
)

// Network is all machines and the links between them.
type Network struct {
	mutex          sync.Mutex // of all below, and of all hosts and connections
	random         *rand.Rand
	hosts          map[string]*Host // by IP, the present life
	partitions     map[[2]string]int
	partitionCount int // counts cuts
	connections    map[*connection]bool
	lastPort       int
	received       map[string]int64 // that arrived, by IP
}

// New gives a network without machines. Call it in the bubble.
func NewNetwork(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 11)), hosts: map[string]*Host{}, partitions: map[[2]string]int{},
		connections: map[*connection]bool{}, lastPort: 40_000, received: map[string]int64{}}
}

// Host is one life of a process on a machine with an IP address.
type Host struct {
	network   *Network
	ip        string
	dead      bool
	listeners map[string]*listener
}

// Host begins a life at an address. Connections of the life before end.
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

// Kill ends the life as a killed process does: the other sides of its connections hear of it.
func (h *Host) Kill() { h.stop(0) }

// LosePower ends the life without a word to anybody.
func (h *Host) LosePower() { h.stop(keepAliveTimeout) }

func (h *Host) stop(noticeDelay time.Duration) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	h.markDead()
	n.endConnections(h, noticeDelay)
}

func (h *Host) markDead() {
	h.dead = true
	for _, one := range h.listeners {
		one.close()
	}
}

// endConnections ends a life's connections on its own side at once, and on the others later.
func (n *Network) endConnections(h *Host, noticeDelay time.Duration) {
	for c := range n.connections {
		for side, one := range c.ends {
			if one.host != h {
				continue
			}
			one.fail(net.ErrClosed)
			other := c.ends[1-side]
			time.AfterFunc(noticeDelay+n.drawDelay(), func() { n.reset(other) })
		}
	}
}

func (n *Network) drawDelay() time.Duration {
	return minDelay + time.Duration(n.random.Int64N(int64(delayJitter)))
}

// Cut cuts one direction between two machines.
func (n *Network) Partition(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pair := [2]string{from, to}
	n.partitionCount++
	cut := n.partitionCount
	n.partitions[pair] = cut
	time.AfterFunc(keepAliveTimeout, func() { n.expireKeepAlive(pair, cut) })
}

// probe ends the connections over a cut that still holds.
func (n *Network) expireKeepAlive(pair [2]string, cut int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitions[pair] != cut {
		return
	}
	for c := range n.connections {
		if c.connects(pair) {
			c.ends[0].fail(syscall.ETIMEDOUT)
			c.ends[1].fail(syscall.ETIMEDOUT)
		}
	}
}

// Heal ends a cut.
func (n *Network) Heal(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pair := [2]string{from, to}
	delete(n.partitions, pair)
	for c := range n.connections {
		if !c.connects(pair) {
			continue
		}
		for _, one := range c.ends {
			time.AfterFunc(time.Duration(n.random.Int64N(int64(maxRetransmitDelay))), func() { n.deliverDue(one) })
		}
	}
}

// Reset resets all connections between two machines.
func (n *Network) Reset(one, other string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.connections {
		if c.connects([2]string{one, other}) {
			c.ends[0].fail(syscall.ECONNRESET)
			c.ends[1].fail(syscall.ECONNRESET)
		}
	}
}

// Received gives how many bytes have arrived at a machine.
func (n *Network) BytesReceived(ip string) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.received[ip]
}

func (n *Network) isPartitioned(from, to string) bool { return n.partitions[[2]string{from, to}] != 0 }

// reset ends one side as a reset that comes in does.
func (n *Network) reset(one *endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	one.fail(syscall.ECONNRESET)
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
	one := &listener{network: n, address: address, accepted: make(chan net.Conn, listenBacklog), done: make(chan struct{})}
	h.listeners[address] = one
	return one, nil
}

// Dial opens a connection from the host.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		connection, err := h.dial(ip, address)
		if connection != nil || err != nil {
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

// dial tries once; without either result nothing was heard.
func (h *Host) dial(ip, address string) (net.Conn, error) {
	n := h.network
	n.mutex.Lock()
	delay := 2 * n.drawDelay()
	n.mutex.Unlock()
	time.Sleep(delay)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.hosts[ip]
	switch {
	case h.dead:
		return nil, net.ErrClosed
	case target == nil || target.dead || n.isPartitioned(h.ip, ip) || n.isPartitioned(ip, h.ip):
		return nil, nil
	}
	one := target.listeners[address]
	if one == nil || one.closed {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	c := newConnection(n, h, target, fmt.Sprintf("%s:%d", h.ip, n.lastPort), address)
	select {
	case one.accepted <- c.ends[1]:
	default:
		return nil, errors.New("bubble: the backlog is full")
	}
	n.connections[c] = true
	return c.ends[0], nil
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	done     chan struct{}
	closed   bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case one := <-l.accepted:
		return one, nil
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
