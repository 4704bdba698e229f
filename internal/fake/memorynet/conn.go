package memorynet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is what the two ends of a connection share.
type link struct {
	mu      sync.Mutex // guards both pipes, and the fields of both ends
	cond    *sync.Cond // signalled when anything changes for a blocked Read or Write
	latency time.Duration
}

// pipe is one direction of a connection.
type pipe struct {
	window       int
	buffered     int // bytes on their way or unread; at most window
	segments     []segment
	finArrival   time.Time // when the end of the stream arrives; zero: none was sent
	resetArrival time.Time // when a reset arrives; zero: none was sent
	readClosed   bool      // the reading end is closed
}

// segment is bytes that were written at once.
type segment struct {
	arrival time.Time
	bytes   []byte
}

// direction selects one of the deadlines of a connection.
type direction int

const (
	reads direction = iota
	writes
	directions
)

// Conn is an end of a connection. It implements net.Conn.
type Conn struct {
	link           *link
	in, out        *pipe
	local          address
	closed         bool
	deadlines      [directions]time.Time
	timers         [directions]*time.Timer // wake blocked calls at the deadlines
	lastReadSentAt time.Time
}

func newConnPair(to string, window int, latency time.Duration) (near, far *Conn) {
	shared := &link{latency: latency}
	shared.cond = sync.NewCond(&shared.mu)
	there, back := &pipe{window: window}, &pipe{window: window}
	return &Conn{link: shared, in: back, out: there, local: address("to " + to)},
		&Conn{link: shared, in: there, out: back, local: address(to)}
}

// scheduleArrival returns when what is sent now arrives, and has blocked calls wake then.
func (l *link) scheduleArrival() time.Time {
	time.AfterFunc(l.latency, l.wake)
	return time.Now().Add(l.latency)
}

func (l *link) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cond.Broadcast()
}

// Read reads what has arrived. What arrived before a reset can still be read, as on Linux.
func (c *Conn) Read(into []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for {
		if n, err := c.readLocked(into); n > 0 || err != nil || len(into) == 0 {
			return n, err
		}
		if reached(c.deadlines[reads]) {
			return 0, os.ErrDeadlineExceeded
		}
		c.link.cond.Wait()
	}
}

// readLocked reads what has arrived, or returns how the stream has ended. It returns 0 and nil where neither
// is the case yet.
func (c *Conn) readLocked(into []byte) (n int, err error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(into) == 0 {
		return 0, nil
	}
	in := c.in
	for len(in.segments) > 0 && n < len(into) && reached(in.segments[0].arrival) {
		first := &in.segments[0]
		if n == 0 {
			c.lastReadSentAt = first.arrival.Add(-c.link.latency)
		}
		copied := copy(into[n:], first.bytes)
		n += copied
		in.buffered -= copied
		if first.bytes = first.bytes[copied:]; len(first.bytes) == 0 {
			in.segments = in.segments[1:]
		}
	}
	if n > 0 {
		c.link.cond.Broadcast() // the window has opened for the peer's Write
		return n, nil
	}
	return 0, c.inboundErr()
}

// inboundErr returns how the inbound stream has ended; nil: it hasn't. The caller holds the mutex.
func (c *Conn) inboundErr() error {
	switch in := c.in; {
	case reached(in.resetArrival):
		return syscall.ECONNRESET
	case reached(in.finArrival) && len(in.segments) == 0:
		return io.EOF
	}
	return nil
}

// Arrived returns whether anything has arrived that wasn't read: bytes, the end of the stream, or a reset,
// which is returned as the error. internal/pool looks for this method on its connections, in place of a peek
// at a socket.
func (c *Conn) Arrived() (anything bool, end error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if len(c.in.segments) > 0 && reached(c.in.segments[0].arrival) {
		return true, nil
	}
	if end := c.inboundErr(); !errors.Is(end, io.EOF) {
		return end != nil, end
	}
	return true, nil
}

// LastReadSentAt returns when the peer sent the first byte that the last Read returned.
func (c *Conn) LastReadSentAt() time.Time {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.lastReadSentAt
}

// Latency returns how long bytes take to arrive.
func (c *Conn) Latency() time.Duration { return c.link.latency }

// Write sends bytes, as the window allows.
func (c *Conn) Write(bytes []byte) (n int, err error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for {
		switch {
		case c.closed:
			return n, net.ErrClosed
		case reached(c.in.resetArrival):
			return n, syscall.ECONNRESET
		case n == len(bytes):
			return n, nil
		case reached(c.deadlines[writes]):
			return n, os.ErrDeadlineExceeded
		}
		room := min(c.out.window-c.out.buffered, len(bytes)-n)
		if room <= 0 {
			c.link.cond.Wait()
			continue
		}
		sent := append([]byte(nil), bytes[n:n+room]...)
		n += room
		c.send(sent)
	}
}

// send sends a segment. A peer that is closed answers with a reset. The caller holds the mutex.
func (c *Conn) send(bytes []byte) {
	arrival := c.link.scheduleArrival()
	c.out.buffered += len(bytes)
	if c.out.readClosed {
		c.scheduleReset(2 * c.link.latency)
		return
	}
	c.out.segments = append(c.out.segments, segment{arrival: arrival, bytes: bytes})
}

// scheduleReset has a reset arrive at this end after a time. The caller holds the mutex.
func (c *Conn) scheduleReset(after time.Duration) {
	if c.in.resetArrival.IsZero() {
		c.in.resetArrival = time.Now().Add(after)
		time.AfterFunc(after, c.link.wake)
	}
}

// Close closes this end. Where bytes have arrived that weren't read, or arrive later, the connection is reset.
func (c *Conn) Close() error { return c.shutdown(false, false) }

// Reset resets the connection. With discard the peer loses what it hasn't read by then.
func (c *Conn) Reset(discard bool) { _ = c.shutdown(true, discard) }

func (c *Conn) shutdown(reset, discard bool) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	arrival := c.link.scheduleArrival()
	if c.out.finArrival.IsZero() {
		c.out.finArrival = arrival
	}
	if (reset || len(c.in.segments) > 0) && c.out.resetArrival.IsZero() {
		c.out.resetArrival = arrival
		if discard {
			c.out.segments, c.out.buffered = nil, 0
		}
	}
	c.in.readClosed, c.in.segments, c.in.buffered = true, nil, 0
	c.link.cond.Broadcast()
	return nil
}

// LocalAddr returns a name of the connection.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns a name of the connection.
func (c *Conn) RemoteAddr() net.Addr { return c.local }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.setDeadline(reads, t)
	return c.setDeadline(writes, t)
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(reads, t) }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(writes, t) }

func (c *Conn) setDeadline(d direction, t time.Time) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.timers[d] != nil {
		c.timers[d].Stop()
		c.timers[d] = nil
	}
	c.deadlines[d] = t
	if !t.IsZero() && !reached(t) {
		c.timers[d] = time.AfterFunc(time.Until(t), c.link.wake)
	}
	c.link.cond.Broadcast()
	return nil
}

// reached returns whether a time is set and has come.
func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
