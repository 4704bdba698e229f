package bubble

import (
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// connection is a TCP connection with both of its ends. The mutex of the network guards the fields of
// connection and endpoint.
type connection struct {
	network *Network
	ends    [2]*endpoint // of the host that dialed, and of the host that accepted
}

// endpoint is one side of a connection. It implements net.Conn.
type endpoint struct {
	connection *connection
	host       *Host
	local      address
	peer       *endpoint

	// From the other side.
	received     []byte // bytes received and not read yet
	remoteClosed bool   // the other side has closed, and received holds the remaining bytes
	readDeadline time.Time
	wake         chan struct{} // closed, and replaced, when blocked reads must check the state again

	// To the other side.
	inFlight     []segment // segments not delivered yet, in order
	lastArrival  time.Time // of the newest segment; later segments don't arrive before it, as TCP keeps the order
	unackedSince time.Time // since when data has been without acknowledgement; zero if none is
	closing      bool

	failure error // the cause for which this side has ended; nil while it is open
}

// segment holds the data of one write, or marks the end of the stream.
type segment struct {
	arrival time.Time // the earliest time of arrival: a partition may hold the segment back
	data    []byte
	fin     bool // the sender has closed
}

// newConnection returns an open connection.
func newConnection(n *Network, from, to *Host, local, remote string) *connection {
	c := &connection{network: n}
	c.ends[0] = &endpoint{connection: c, host: from, local: address(local), wake: make(chan struct{})}
	c.ends[1] = &endpoint{connection: c, host: to, local: address(remote), wake: make(chan struct{})}
	c.ends[0].peer, c.ends[1].peer = c.ends[1], c.ends[0]
	return c
}

// uses reports whether the connection is between the machines of a link, in either direction.
func (c *connection) uses(l link) bool {
	a, b := c.ends[0].host.ip, c.ends[1].host.ip
	return a == l.from && b == l.to || a == l.to && b == l.from
}

// wakeReaders wakes the blocked reads of this side, so that they check the state again.
func (e *endpoint) wakeReaders() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// fail ends this side. If it has already ended, the first cause is kept. Once both sides have ended, the
// connection is removed from the network.
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

// readAvailable reads without waiting. It returns 0 and no error if there is nothing to read yet.
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

// awaitUntil waits until wake is closed or the deadline passes. A zero deadline never passes.
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

// Write implements net.Conn. It never waits: the send buffer is unbounded.
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

// transmit sends a segment, which arrives after the segments sent before it.
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

// deliverDue delivers the segments that are due, unless a partition holds them back. If a partition of the
// opposite direction loses their acknowledgement, the sender still counts them as unacknowledged.
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

// deliver hands a segment to the other side. If that side has ended, it answers with a reset, which ends this
// side.
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

// checkUserTimeout ends a side whose data has been without acknowledgement for userTimeout. Its reset reaches
// the other side, unless the link to it is partitioned: then it ends only by its keep-alive probes.
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
	peer := e.peer
	detectionDelay := keepAliveTimeout
	if !n.isPartitioned(e.host.ip, peer.host.ip) {
		detectionDelay = n.drawDelay()
	}
	time.AfterFunc(detectionDelay, func() { n.reset(peer) })
}

// Close implements net.Conn. Data that was written before is still delivered.
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

// SetDeadline implements net.Conn. It sets the read deadline only, because writes never wait.
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
