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
	ends    [2]*end
}

// end is one side of a connection. It implements net.Conn.
type end struct {
	connection *connection
	host       *Host
	local      address
	other      *end

	received []byte
	finished bool  // the other side has closed
	failure  error // why nothing more is read or written here
	wake     chan struct{}

	// Towards the other side.
	flight   []segment // not delivered yet, in order
	lastAt   time.Time // of the newest of them
	unacked  time.Time // since when data is without acknowledgement; zero: none is
	closing  bool
	readTill time.Time
}

// segment is what one write sent.
type segment struct {
	at   time.Time
	data []byte
	end  bool // the sender closes
}

func newConnection(n *Network, from, to *Host, local, remote string) *connection {
	c := &connection{network: n}
	c.ends[0] = &end{connection: c, host: from, local: address(local), wake: make(chan struct{})}
	c.ends[1] = &end{connection: c, host: to, local: address(remote), wake: make(chan struct{})}
	c.ends[0].other, c.ends[1].other = c.ends[1], c.ends[0]
	return c
}

func (c *connection) between(pair [2]string) bool {
	a, b := c.ends[0].host.ip, c.ends[1].host.ip
	return a == pair[0] && b == pair[1] || a == pair[1] && b == pair[0]
}

// stir wakes who reads here.
func (e *end) stir() {
	close(e.wake)
	e.wake = make(chan struct{})
}

// fail ends this side.
func (e *end) fail(cause error) {
	if e.failure != nil {
		return
	}
	e.failure = cause
	e.stir()
	if e.other.failure != nil {
		delete(e.connection.network.open, e.connection)
	}
}

// Read implements net.Conn.
func (e *end) Read(into []byte) (int, error) {
	n := e.connection.network
	for {
		n.mutex.Lock()
		count, err := e.take(into)
		wake, till := e.wake, e.readTill
		n.mutex.Unlock()
		if count > 0 || err != nil {
			return count, err
		}
		awaitUntil(wake, till)
	}
}

func (e *end) take(into []byte) (int, error) {
	switch {
	case e.failure != nil:
		return 0, e.failure
	case len(e.received) > 0:
		count := copy(into, e.received)
		e.received = e.received[count:]
		return count, nil
	case e.finished:
		return 0, io.EOF
	case !e.readTill.IsZero() && !time.Now().Before(e.readTill):
		return 0, os.ErrDeadlineExceeded
	}
	return 0, nil
}

func awaitUntil(wake chan struct{}, till time.Time) {
	if till.IsZero() {
		<-wake
		return
	}
	timer := time.NewTimer(time.Until(till))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
}

// Write implements net.Conn. The buffer of the sender has no bound.
func (e *end) Write(data []byte) (int, error) {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.failure != nil {
		return 0, e.failure
	}
	if e.closing {
		return 0, net.ErrClosed
	}
	e.dispatch(segment{data: slices.Clone(data)})
	return len(data), nil
}

// dispatch sends a segment on its way.
func (e *end) dispatch(one segment) {
	n := e.connection.network
	at := time.Now().Add(n.delay())
	if at.Before(e.lastAt) {
		at = e.lastAt
	}
	one.at, e.lastAt = at, at
	e.flight = append(e.flight, one)
	if e.unacked.IsZero() {
		e.unacked = time.Now()
		time.AfterFunc(userTimeout, func() { n.expire(e) })
	}
	time.AfterFunc(time.Until(at), func() { n.flush(e) })
}

// flush delivers what is due and isn't held back by a cut.
func (n *Network) flush(e *end) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isCut(e.host.ip, e.other.host.ip) || e.other.host.dead {
		return
	}
	now := time.Now()
	for len(e.flight) > 0 && !e.flight[0].at.After(now) {
		e.deliver(e.flight[0])
		e.flight = e.flight[1:]
	}
	if n.isCut(e.other.host.ip, e.host.ip) {
		return
	}
	e.unacked = time.Time{}
	if len(e.flight) > 0 {
		e.unacked = now
		time.AfterFunc(userTimeout, func() { n.expire(e) })
	}
}

func (e *end) deliver(one segment) {
	if e.other.failure != nil {
		e.fail(syscall.ECONNRESET)
		return
	}
	if one.end {
		e.other.finished = true
	} else {
		e.other.received = append(e.other.received, one.data...)
		e.connection.network.bytes[e.other.host.ip] += int64(len(one.data))
	}
	e.other.stir()
}

// expire ends a side whose data is without acknowledgement for too long.
func (n *Network) expire(e *end) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.unacked.IsZero() || e.failure != nil {
		return
	}
	if waited := time.Since(e.unacked); waited < userTimeout {
		time.AfterFunc(userTimeout-waited, func() { n.expire(e) })
		return
	}
	e.fail(syscall.ETIMEDOUT)
	other := e.other
	later := probeTimeout
	if !n.isCut(e.host.ip, other.host.ip) {
		later = n.delay()
	}
	time.AfterFunc(later, func() { n.reset(other) })
}

// Close implements net.Conn. What was written still goes out.
func (e *end) Close() error {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if e.closing || e.failure != nil {
		return nil
	}
	e.closing = true
	e.dispatch(segment{end: true})
	e.fail(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return e.other.local }

// SetDeadline implements net.Conn. Writes never wait.
func (e *end) SetDeadline(till time.Time) error { return e.SetReadDeadline(till) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(till time.Time) error {
	n := e.connection.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	e.readTill = till
	e.stir()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
