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
type pair struct {
	mu      sync.Mutex
	changed *sync.Cond
	latency time.Duration
}

// flow is one direction.
type flow struct {
	window int
	length int // bytes on the way or waiting
	pieces []piece
	ended  time.Time // when the end arrives; zero: none was sent
	broken time.Time // when a reset arrives; zero: none was sent
	shut   bool      // nobody reads it any more
}

type piece struct {
	at    time.Time // of its arrival
	bytes []byte
}

// Conn is an end of a connection.
type Conn struct {
	pair     *pair
	in, out  *flow
	local    address
	closed   bool
	deadline [2]time.Time // of reads, of writes
	timers   [2]*time.Timer
	readSent time.Time
}

func newPair(to string, window int, latency time.Duration) (near, far *Conn) {
	shared := &pair{latency: latency}
	shared.changed = sync.NewCond(&shared.mu)
	there, back := &flow{window: window}, &flow{window: window}
	return &Conn{pair: shared, in: back, out: there, local: address("to " + to)},
		&Conn{pair: shared, in: there, out: back, local: address(to)}
}

// later wakes all that wait once something has arrived. The mutex is held.
func (p *pair) later() time.Time {
	time.AfterFunc(p.latency, p.wake)
	return time.Now().Add(p.latency)
}

func (p *pair) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// Read gives what has arrived. What arrived before a reset can still be read, as on Linux.
func (c *Conn) Read(into []byte) (int, error) {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	for {
		n, err, ready := c.take(into)
		if ready {
			return n, err
		}
		if past(c.deadline[0]) {
			return 0, os.ErrDeadlineExceeded
		}
		c.pair.changed.Wait()
	}
}

// take gives what there is, and tells whether there is something. The mutex is held.
func (c *Conn) take(into []byte) (n int, err error, ready bool) {
	if c.closed {
		return 0, net.ErrClosed, true
	}
	if len(into) == 0 {
		return 0, nil, true
	}
	in := c.in
	for len(in.pieces) > 0 && n < len(into) && past(in.pieces[0].at) {
		first := &in.pieces[0]
		if n == 0 {
			c.readSent = first.at.Add(-c.pair.latency)
		}
		moved := copy(into[n:], first.bytes)
		n += moved
		in.length -= moved
		if first.bytes = first.bytes[moved:]; len(first.bytes) == 0 {
			in.pieces = in.pieces[1:]
		}
	}
	if n > 0 {
		c.pair.changed.Broadcast()
		return n, nil, true
	}
	return 0, c.ending(), c.ending() != nil
}

// ending tells how what comes in has ended, or nil. The mutex is held.
func (c *Conn) ending() error {
	switch in := c.in; {
	case past(in.broken):
		return syscall.ECONNRESET
	case past(in.ended) && len(in.pieces) == 0:
		return io.EOF
	}
	return nil
}

// Arrived tells whether anything has come that nobody has read.
func (c *Conn) Arrived() (anything bool, end error) {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	if len(c.in.pieces) > 0 && past(c.in.pieces[0].at) {
		return true, nil
	}
	if end := c.ending(); !errors.Is(end, io.EOF) {
		return end != nil, end
	}
	return true, nil
}

// ReadSent tells when the first byte was sent that the last read gave.
func (c *Conn) ReadSent() time.Time {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	return c.readSent
}

// Latency is how long bytes are on the way.
func (c *Conn) Latency() time.Duration { return c.pair.latency }

// Write sends bytes as room is made for them.
func (c *Conn) Write(bytes []byte) (all int, err error) {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	for {
		switch {
		case c.closed:
			return all, net.ErrClosed
		case past(c.in.broken):
			return all, syscall.ECONNRESET
		case all == len(bytes):
			return all, nil
		case past(c.deadline[1]):
			return all, os.ErrDeadlineExceeded
		}
		room := min(c.out.window-c.out.length, len(bytes)-all)
		if room <= 0 {
			c.pair.changed.Wait()
			continue
		}
		sent := append([]byte(nil), bytes[all:all+room]...)
		all += room
		c.send(sent)
	}
}

// send puts bytes on their way. At an end that is closed they are answered with a reset. The mutex is held.
func (c *Conn) send(bytes []byte) {
	at := c.pair.later()
	c.out.length += len(bytes)
	if c.out.shut {
		c.answerReset(2 * c.pair.latency)
		return
	}
	c.out.pieces = append(c.out.pieces, piece{at: at, bytes: bytes})
}

// answerReset has this end hear of a reset. The mutex is held.
func (c *Conn) answerReset(after time.Duration) {
	if c.in.broken.IsZero() {
		c.in.broken = time.Now().Add(after)
		time.AfterFunc(after, c.pair.wake)
	}
}

// Close ends the connection. Where something has come that was not read, or comes later, it is reset.
func (c *Conn) Close() error { return c.end(false, false) }

// Reset ends the connection at once; forget: what the other end has not read by then is lost.
func (c *Conn) Reset(forget bool) { _ = c.end(true, forget) }

func (c *Conn) end(reset, forget bool) error {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	at := c.pair.later()
	if c.out.ended.IsZero() {
		c.out.ended = at
	}
	if (reset || len(c.in.pieces) > 0) && c.out.broken.IsZero() {
		c.out.broken = at
		if forget {
			c.out.pieces, c.out.length = nil, 0
		}
	}
	c.in.shut, c.in.pieces, c.in.length = true, nil, 0
	c.pair.changed.Broadcast()
	return nil
}

// LocalAddr gives a name.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr gives a name.
func (c *Conn) RemoteAddr() net.Addr { return c.local }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.set(0, t)
	return c.set(1, t)
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.set(0, t) }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(1, t) }

func (c *Conn) set(which int, t time.Time) error {
	c.pair.mu.Lock()
	defer c.pair.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.timers[which] != nil {
		c.timers[which].Stop()
		c.timers[which] = nil
	}
	c.deadline[which] = t
	if !t.IsZero() && !past(t) {
		c.timers[which] = time.AfterFunc(time.Until(t), c.pair.wake)
	}
	c.pair.changed.Broadcast()
	return nil
}

// past tells whether a moment was set and has come.
func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }
