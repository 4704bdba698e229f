package bubble

import (
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// connection is both ends of one.
type connection struct {
	network *Network
	ends    [2]*endpoint
}

// end is one side of a connection. It implements net.Conn.
type endpoint struct {
	connection *connection
	host       *Host
	local      address
	peer       *endpoint

	received     []byte
	remoteClosed bool  // the other side has closed
	failure      error // why nothing more is read or written here
	wake         chan struct{}

	// Towards the other side.
	inFlight     []segment // not delivered yet, in order
	lastArrival  time.Time // of the newest of them
	unackedSince time.Time // since when data is without acknowledgement; zero: none is
	closing      bool
	readDeadline time.Time
}

// segment is what one write sent.
type segment struct {
	arrival time.Time
	data    []byte
	fin     bool // the sender closes
}

func newConnection(n *Network, from, to *Host, local, remote string) *connection {
	c := &connection{network: n}
	c.ends[0] = &endpoint{connection: c, host: from, local: address(local), wake: make(chan struct{})}
	c.ends[1] = &endpoint{connection: c, host: to, local: address(remote), wake: make(chan struct{})}
	c.ends[0].peer, c.ends[1].peer = c.ends[1], c.ends[0]
	return c
}

func (c *connection) connects(pair [2]string) bool {
	a, b := c.ends[0].host.ip, c.ends[1].host.ip
	return a == pair[0] && b == pair[1] || a == pair[1] && b == pair[0]
}

// stir wakes who reads here.
func (e *endpoint) wakeReaders() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// fail ends this side.
func (e *endpoint) fail(cause error) {
	if e.failure != nil {
		return
	}
	e.failure = cause
	e.wakeReaders()
	if e.peer.failure != nil {
		delete(e.connection.network.connections, e.connection)
	}
}

// Read implements net.Conn.
func (e *endpoint) Read(into []byte) (int, error) {
	n := e.connection.network
	for {
		n.mutex.Lock()
		count, err := e.readAvailable(into)
		wake, deadline := e.wake, e.readDeadline
		n.mutex.Unlock()
		if count > 0 || err != nil {
			return count, err
		}
		awaitUntil(wake, deadline)
	}
}

func (e *endpoint) readAvailable(into []byte) (int, error) {
	switch {
	case e.failure != nil:
		return 0, e.failure
	case len(e.received) > 0:
		count := copy(into, e.received)
		e.received = e.received[count:]
		return count, nil
	case e.remoteClosed:
		return 0, io.EOF
	case !e.readDeadline.IsZero() && !time.Now().Before(e.readDeadline):
		return 0, os.ErrDeadlineExceeded
	}
	return 0, nil
}

func awaitUntil(wake chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-wake
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
}

// Write implements net.Conn. The buffer of the sender has no bound.
func (e *endpoint) Write(data []byte) (int, error) {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.failure != nil {
		return 0, e.failure
	}
	if e.closing {
		return 0, net.ErrClosed
	}
	e.transmit(segment{data: slices.Clone(data)})
	return len(data), nil
}

// dispatch sends a segment on its way.
func (e *endpoint) transmit(sent segment) {
	n := e.connection.network
	at := time.Now().Add(n.drawDelay())
	if at.Before(e.lastArrival) {
		at = e.lastArrival
	}
	sent.arrival, e.lastArrival = at, at
	e.inFlight = append(e.inFlight, sent)
	if e.unackedSince.IsZero() {
		e.unackedSince = time.Now()
		time.AfterFunc(userTimeout, func() { n.checkUserTimeout(e) })
	}
	time.AfterFunc(time.Until(at), func() { n.deliverDue(e) })
}

// flush delivers what is due and isn't held back by a cut.
func (n *Network) deliverDue(e *endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isPartitioned(e.host.ip, e.peer.host.ip) || e.peer.host.dead {
		return
	}
	now := time.Now()
	for len(e.inFlight) > 0 && !e.inFlight[0].arrival.After(now) {
		e.deliver(e.inFlight[0])
		e.inFlight = e.inFlight[1:]
	}
	if n.isPartitioned(e.peer.host.ip, e.host.ip) {
		return
	}
	e.unackedSince = time.Time{}
	if len(e.inFlight) > 0 {
		e.unackedSince = now
		time.AfterFunc(userTimeout, func() { n.checkUserTimeout(e) })
	}
}

func (e *endpoint) deliver(arrived segment) {
	if e.peer.failure != nil {
		e.fail(syscall.ECONNRESET)
		return
	}
	if arrived.fin {
		e.peer.remoteClosed = true
	} else {
		e.peer.received = append(e.peer.received, arrived.data...)
		e.connection.network.received[e.peer.host.ip] += int64(len(arrived.data))
	}
	e.peer.wakeReaders()
}

// expire ends a side whose data is without acknowledgement for too long.
func (n *Network) checkUserTimeout(e *endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.unackedSince.IsZero() || e.failure != nil {
		return
	}
	if waited := time.Since(e.unackedSince); waited < userTimeout {
		time.AfterFunc(userTimeout-waited, func() { n.checkUserTimeout(e) })
		return
	}
	e.fail(syscall.ETIMEDOUT)
	other := e.peer
	later := keepAliveTimeout
	if !n.isPartitioned(e.host.ip, other.host.ip) {
		later = n.drawDelay()
	}
	time.AfterFunc(later, func() { n.reset(other) })
}

// Close implements net.Conn. What was written still goes out.
func (e *endpoint) Close() error {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.closing || e.failure != nil {
		return nil
	}
	e.closing = true
	e.transmit(segment{fin: true})
	e.fail(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return e.peer.local }

// SetDeadline implements net.Conn. Writes never wait.
func (e *endpoint) SetDeadline(deadline time.Time) error { return e.SetReadDeadline(deadline) }

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(deadline time.Time) error {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	e.readDeadline = deadline
	e.wakeReaders()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(time.Time) error { return nil }
