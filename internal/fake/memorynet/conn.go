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

// pair is what the two ends of a connection share.
type link struct {
	mu      sync.Mutex
	cond    *sync.Cond
	latency time.Duration
}

// flow is one direction.
type pipe struct {
	window       int
	buffered     int // bytes on the way or waiting
	segments     []segment
	finArrival   time.Time // when the end arrives; zero: none was sent
	resetArrival time.Time // when a reset arrives; zero: none was sent
	readClosed   bool      // nobody reads it any more
}

type segment struct {
	arrival time.Time // of its arrival
	bytes   []byte
}

// Conn is an end of a connection.
type Conn struct {
	link           *link
	in, out        *pipe
	local          address
	closed         bool
	deadlines      [2]time.Time // of reads, of writes
	timers         [2]*time.Timer
	lastReadSentAt time.Time
}

func newConnPair(to string, window int, latency time.Duration) (near, far *Conn) {
	shared := &link{latency: latency}
	shared.cond = sync.NewCond(&shared.mu)
	there, back := &pipe{window: window}, &pipe{window: window}
	return &Conn{link: shared, in: back, out: there, local: address("to " + to)},
		&Conn{link: shared, in: there, out: back, local: address(to)}
}

// later wakes all that wait once something has arrived. The mutex is held.
func (p *link) scheduleArrival() time.Time {
	time.AfterFunc(p.latency, p.wake)
	return time.Now().Add(p.latency)
}

func (p *link) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond.Broadcast()
}

// Read gives what has arrived. What arrived before a reset can still be read, as on Linux.
func (c *Conn) Read(into []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for {
		n, err, ready := c.readLocked(into)
		if ready {
			return n, err
		}
		if reached(c.deadlines[0]) {
			return 0, os.ErrDeadlineExceeded
		}
		c.link.cond.Wait()
	}
}

// take gives what there is, and tells whether there is something. The mutex is held.
func (c *Conn) readLocked(into []byte) (n int, err error, ready bool) {
	if c.closed {
		return 0, net.ErrClosed, true
	}
	if len(into) == 0 {
		return 0, nil, true
	}
	in := c.in
	for len(in.segments) > 0 && n < len(into) && reached(in.segments[0].arrival) {
		first := &in.segments[0]
		if n == 0 {
			c.lastReadSentAt = first.arrival.Add(-c.link.latency)
		}
		moved := copy(into[n:], first.bytes)
		n += moved
		in.buffered -= moved
		if first.bytes = first.bytes[moved:]; len(first.bytes) == 0 {
			in.segments = in.segments[1:]
		}
	}
	if n > 0 {
		c.link.cond.Broadcast()
		return n, nil, true
	}
	return 0, c.inboundErr(), c.inboundErr() != nil
}

// ending tells how what comes in has ended, or nil. The mutex is held.
func (c *Conn) inboundErr() error {
	switch in := c.in; {
	case reached(in.resetArrival):
		return syscall.ECONNRESET
	case reached(in.finArrival) && len(in.segments) == 0:
		return io.EOF
	}
	return nil
}

// Arrived tells whether anything has come that nobody has read.
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

// ReadSent tells when the first byte was sent that the last read gave.
func (c *Conn) LastReadSentAt() time.Time {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.lastReadSentAt
}

// Latency is how long bytes are on the way.
func (c *Conn) Latency() time.Duration { return c.link.latency }

// Write sends bytes as room is made for them.
func (c *Conn) Write(bytes []byte) (all int, err error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for {
		switch {
		case c.closed:
			return all, net.ErrClosed
		case reached(c.in.resetArrival):
			return all, syscall.ECONNRESET
		case all == len(bytes):
			return all, nil
		case reached(c.deadlines[1]):
			return all, os.ErrDeadlineExceeded
		}
		room := min(c.out.window-c.out.buffered, len(bytes)-all)
		if room <= 0 {
			c.link.cond.Wait()
			continue
		}
		sent := append([]byte(nil), bytes[all:all+room]...)
		all += room
		c.send(sent)
	}
}

// send puts bytes on their way. At an end that is closed they are answered with a reset. The mutex is held.
func (c *Conn) send(bytes []byte) {
	at := c.link.scheduleArrival()
	c.out.buffered += len(bytes)
	if c.out.readClosed {
		c.scheduleReset(2 * c.link.latency)
		return
	}
	c.out.segments = append(c.out.segments, segment{arrival: at, bytes: bytes})
}

// answerReset has this end hear of a reset. The mutex is held.
func (c *Conn) scheduleReset(after time.Duration) {
	if c.in.resetArrival.IsZero() {
		c.in.resetArrival = time.Now().Add(after)
		time.AfterFunc(after, c.link.wake)
	}
}

// Close ends the connection. Where something has come that was not read, or comes later, it is reset.
func (c *Conn) Close() error { return c.shutdown(false, false) }

// Reset ends the connection at once; forget: what the other end has not read by then is lost.
func (c *Conn) Reset(forget bool) { _ = c.shutdown(true, forget) }

func (c *Conn) shutdown(reset, forget bool) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	at := c.link.scheduleArrival()
	if c.out.finArrival.IsZero() {
		c.out.finArrival = at
	}
	if (reset || len(c.in.segments) > 0) && c.out.resetArrival.IsZero() {
		c.out.resetArrival = at
		if forget {
			c.out.segments, c.out.buffered = nil, 0
		}
	}
	c.in.readClosed, c.in.segments, c.in.buffered = true, nil, 0
	c.link.cond.Broadcast()
	return nil
}

// LocalAddr gives a name.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr gives a name.
func (c *Conn) RemoteAddr() net.Addr { return c.local }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.setDeadline(0, t)
	return c.setDeadline(1, t)
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(0, t) }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(1, t) }

func (c *Conn) setDeadline(which int, t time.Time) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.timers[which] != nil {
		c.timers[which].Stop()
		c.timers[which] = nil
	}
	c.deadlines[which] = t
	if !t.IsZero() && !reached(t) {
		c.timers[which] = time.AfterFunc(time.Until(t), c.link.wake)
	}
	c.link.cond.Broadcast()
	return nil
}

// past tells whether a moment was set and has come.
func reached(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
