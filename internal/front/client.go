package front

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// This file owns how a client's connection is read and how it ends: what may come behind a request that is handled, and the
// lingering close. It must never let a request be read from a connection on which no answer can follow.

const (
	// lingerFor is how long what still comes is read once this side has ended a connection: a close over bytes that nobody
	// has read resets it, and takes the last answer from a client that hasn't read that.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10 // bytes
	// lingerShare is the part of the bound on connections, as a divisor, that may linger beyond it.
	lingerDivisor = 16
	// A client that sends more behind a request that is handled is not answered for all of that, nor is it watched for ever.
	maxPipelinedKept, maxPipelinedRead = 4 << 10, 64 << 10
)

// client is a client's connection. What net/http says of it is not all: a head that comes slowly is read while it still
// counts as idle.
type clientConn struct {
	net.Conn
	listener     *listener
	encrypted    bool // under TLS what is read says nothing of messages
	state        http.ConnState
	stateSince   time.Time
	requestBegun bool // the first bytes of a request have been read
	closed       bool // this side has ended it
	peerEnded    bool // the other side has, or it broke: there is nothing to wait for

	mu                 sync.Mutex // taken under the listener's
	framing            framingScanner
	requests           int    // that have been handed to the handler
	handling           bool   // one is
	pipelined          []byte // read behind the one that is handled, while that is watched
	pipelineOverflowed bool   // more than that: what was read is no longer all that came
}

// Read gives what comes. net/http reads one byte while a request is handled, to hear of an end; were it given one that a
// further request begins with, it would hear of no end after that, nor while it handles requests that it has read already. So
// such a byte waits here, with those behind it, until it is read for its request, or the end has come first.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.takePipelined(b)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(b)
	}
	if c.listener.onRead != nil {
		c.listener.onRead()
	}
	if len(b) == 1 && n == 1 && c.holdPipelined(b) {
		if n, err = 0, c.readPipelined(); err == nil {
			n, err = c.takePipelined(b)
		}
	}
	if err = c.recordRead(n, err); err != nil {
		n = 0
	}
	if !c.encrypted {
		c.mu.Lock()
		c.framing.scan(b[:n])
		c.mu.Unlock()
	}
	return n, err
}

// takeAhead gives what was kept. Where something behind that was not, nothing may follow it.
func (c *clientConn) takePipelined(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(b, c.pipelined)
	if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
		c.pipelined = nil
	}
	if n == 0 && c.pipelineOverflowed {
		err = net.ErrClosed
	}
	return n, err
}

// keeps stores a byte that stands behind a request which is handled, or about to be, and tells whether it does. What was read
// before may end within a further request.
func (c *clientConn) holdPipelined(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests
	if !c.handling {
		request++
	}
	if c.encrypted || c.framing.heads < request || !c.framing.betweenMessages() && !c.framing.readBeyond(request) {
		return false
	}
	c.pipelined = slices.Insert(c.pipelined, 0, b[0])
	return true
}

// came notes what a reading brought. What is read once this side has ended the connection must not be served: there is no
// way for its answer.
func (c *clientConn) recordRead(n int, err error) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.requestBegun = c.requestBegun || n > 0
	if n > 0 {
		return nil // an error that came with it comes again
	}
	c.peerEnded = c.peerEnded || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
	return err
}

// readAhead keeps what comes behind a request until too much has come, or gives the error with which the reading ended: it is
// called off once the request has been handled, or the end came first.
func (c *clientConn) readPipelined() error {
	var buf [512]byte
	for total := 0; total < maxPipelinedRead; {
		n, err := c.Conn.Read(buf[:])
		total += n
		c.mu.Lock()
		keep := min(n, maxPipelinedKept-len(c.pipelined))
		c.pipelined = append(c.pipelined, buf[:keep]...)
		c.pipelineOverflowed = c.pipelineOverflowed || keep < n
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// handles notes that a request is handled, or no longer is.
func (c *clientConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling = handling; handling {
		c.requests++
	}
}

// buffered tells whether something has been read behind the request that is handled, or was last.
func (c *clientConn) hasPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pipelined) > 0 || c.framing.readBeyond(c.requests) // under TLS neither is ever so
}

// behind tells whether something has come there, read or not.
func (c *clientConn) moreArrived() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	between := c.framing.betweenMessages()
	c.mu.Unlock()
	return c.hasPipelined() || between && !c.nothingUnread()
}

// quiet tells whether nothing has come in that nobody has read yet.
func (c *clientConn) nothingUnread() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	n, err := peek(raw)
	return n <= 0 || err != nil
}

// peek looks at what has come and nobody has read yet: 0 bytes without an error are the end.
func peek(raw syscall.Conn) (n int, err error) {
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlled := rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(controlled, err)
}

// left tells whether the client has ended the connection, as far as that shows behind what has been read.
func (c *clientConn) peerClosed() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(raw)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// Left tells whether a request's client has closed its connection. net/http hears of that only once it reads again, and a request
// that has waited here, with the end of its connection behind it, would be sent on before.
func ClientGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c != nil && c.peerClosed()
}

// overrun tells whether more has come behind a request than was kept, so that what follows can't be read.
func (c *clientConn) overflowed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelineOverflowed
}

// Close ends the connection. What still comes is read for a moment, unless nothing can.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.closeLocked()
	return nil
}

// end ends the connection. The listener's mutex is held.
func (c *clientConn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	l := c.listener
	delete(l.conns, c)
	l.slotFreed.Signal()
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || c.peerEnded || l.aborted || t.CloseWrite() != nil {
		c.Conn.Close()
		return
	}
	l.lingering = append(l.lingering, c)
	if len(l.lingering) > max(1, l.maxConns/lingerDivisor) { // descriptors are for those that ask
		l.lingering[0].Conn.Close()
		l.lingering = l.lingering[1:]
	}
	go c.linger()
}

func (c *clientConn) linger() {
	timer := time.AfterFunc(lingerTimeout, func() { c.Conn.Close() }) // whatever time limits net/http still sets
	defer timer.Stop()
	var buf [512]byte
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(buf[:])
		total += n
		if errors.Is(err, os.ErrDeadlineExceeded) { // net/http's: its idle timer may be what ended the connection
			err = c.Conn.SetReadDeadline(time.Time{})
		}
		if err != nil {
			break
		}
	}
	c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering = slices.DeleteFunc(l.lingering, func(k *clientConn) bool { return k == c })
	l.slotFreed.Signal()
}

// Break ends a client's connection in the middle of an answer, so that the client can tell.
func AbortResponse(r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*clientConn); c != nil {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.listener.mu.Lock()
		c.peerEnded = true
		c.listener.mu.Unlock()
		c.Conn.SetDeadline(time.Now())
	}
	panic(http.ErrAbortHandler)
}
