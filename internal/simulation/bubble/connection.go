package bubble

import (
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// connection is a TCP connection with both of its ends. The mutex of the network guards all fields here.
type connection struct {
	network *Network
	ends    [2]*endpoint // of the host that dialed, and of the one that accepted
}

// endpoint is one side of a connection. It implements net.Conn.
type endpoint struct {
	connection *connection
	host       *Host
	local      address
	peer       *endpoint

	// From the other side.
	received     []byte // and not read yet
	remoteClosed bool   // the other side has closed, and received is the rest
	readDeadline time.Time
	wake         chan struct{} // closed, and replaced, when a read may go on

	// To the other side.
	inFlight     []segment // not delivered yet, in order
	lastArrival  time.Time // of the newest segment: the order of segments stays
	unackedSince time.Time // since when data goes without acknowledgement; zero if none does
	closing      bool

	failure error // why nothing more is read or written on this side
}

// segment is what one write sent, or the end of the stream.
type segment struct {
	arrival time.Time // at the earliest: a partition may hold it back
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

// wakeReaders lets reads that wait here look again.
func (e *endpoint) wakeReaders() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// fail ends this side. The first cause stays. Once both sides have ended the network forgets the connection.
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

// readAvailable reads without waiting. Without either result there is nothing to read yet.
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

// awaitUntil waits until wake is closed or the deadline passes; a zero one never does.
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

// transmit sends a segment, to arrive after those before it.
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

// deliverDue delivers the segments that are due, unless a partition holds them back. If their acknowledgement
// is lost to a partition of the way back, the sender still counts them as unacknowledged.
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

// deliver hands a segment to the other side, or learns by a reset that there is none any more.
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

// checkUserTimeout ends a side whose data has gone without acknowledgement for userTimeout. Its reset reaches
// the other side, unless that is partitioned and only notices by keep-alive.
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
	noticeDelay := keepAliveTimeout
	if !n.isPartitioned(e.host.ip, peer.host.ip) {
		noticeDelay = n.drawDelay()
	}
	time.AfterFunc(noticeDelay, func() { n.reset(peer) })
}

// Close implements net.Conn. What was written is still delivered.
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
