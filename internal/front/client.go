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
	lingerFor  = 500 * time.Millisecond
	lingerMost = 256 << 10 // bytes
	// lingerShare is the part of the bound on connections, as a divisor, that may linger beyond it.
	lingerShare = 16
	// A client that sends more behind a request that is handled is not answered for all of that, nor is it watched for ever.
	aheadMost, aheadWatched = 4 << 10, 64 << 10
)

// client is a client's connection. What net/http says of it is not all: a head that comes slowly is read while it still
// counts as idle.
type client struct {
	net.Conn
	in     *listener
	opaque bool // under TLS what is read says nothing of messages
	state  http.ConnState
	since  time.Time
	begun  bool // the first bytes of a request have been read
	ended  bool // this side has ended it
	over   bool // the other side has, or it broke: there is nothing to wait for

	mu       sync.Mutex // taken under the listener's
	framing  framing
	requests int    // that have been handed to the handler
	handled  bool   // one is
	ahead    []byte // read behind the one that is handled, while that is watched
	dropped  bool   // more than that: what was read is no longer all that came
}

// Read gives what comes. net/http reads one byte while a request is handled, to hear of an end; were it given one that a
// further request begins with, it would hear of no end after that, nor while it handles requests that it has read already. So
// such a byte waits here, with those behind it, until it is read for its request, or the end has come first.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.takeAhead(b)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(b)
	}
	if c.in.crossing != nil {
		c.in.crossing()
	}
	if len(b) == 1 && n == 1 && c.keeps(b) {
		if n, err = 0, c.readAhead(); err == nil {
			n, err = c.takeAhead(b)
		}
	}
	if err = c.came(n, err); err != nil {
		n = 0
	}
	if !c.opaque {
		c.mu.Lock()
		c.framing.follow(b[:n])
		c.mu.Unlock()
	}
	return n, err
}

// takeAhead gives what was kept. Where something behind that was not, nothing may follow it.
func (c *client) takeAhead(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(b, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	if n == 0 && c.dropped {
		err = net.ErrClosed
	}
	return n, err
}

// keeps stores a byte that stands behind a request which is handled, or about to be, and tells whether it does. What was read
// before may end within a further request.
func (c *client) keeps(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests
	if !c.handled {
		request++
	}
	if c.opaque || c.framing.heads < request || !c.framing.between() && !c.framing.beyond(request) {
		return false
	}
	c.ahead = slices.Insert(c.ahead, 0, b[0])
	return true
}

// came notes what a reading brought. What is read once this side has ended the connection must not be served: there is no
// way for its answer.
func (c *client) came(n int, err error) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.ended {
		return net.ErrClosed
	}
	c.begun = c.begun || n > 0
	if n > 0 {
		return nil // an error that came with it comes again
	}
	c.over = c.over || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
	return err
}

// readAhead keeps what comes behind a request until too much has come, or gives the error with which the reading ended: it is
// called off once the request has been handled, or the end came first.
func (c *client) readAhead() error {
	var piece [512]byte
	for all := 0; all < aheadWatched; {
		n, err := c.Conn.Read(piece[:])
		all += n
		c.mu.Lock()
		keep := min(n, aheadMost-len(c.ahead))
		c.ahead = append(c.ahead, piece[:keep]...)
		c.dropped = c.dropped || keep < n
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// handles notes that a request is handled, or no longer is.
func (c *client) handles(one bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled = one; one {
		c.requests++
	}
}

// buffered tells whether something has been read behind the request that is handled, or was last.
func (c *client) buffered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) > 0 || c.framing.beyond(c.requests) // under TLS neither is ever so
}

// behind tells whether something has come there, read or not.
func (c *client) behind() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	between := c.framing.between()
	c.mu.Unlock()
	return c.buffered() || between && !c.quiet()
}

// quiet tells whether nothing has come in that nobody has read yet.
func (c *client) quiet() bool {
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
func (c *client) left() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(raw)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// Left tells whether a request's client has closed its connection. net/http hears of that only once it reads again, and a request
// that has waited here, with the end of its connection behind it, would be sent on before.
func Left(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c != nil && c.left()
}

// overrun tells whether more has come behind a request than was kept, so that what follows can't be read.
func (c *client) overrun() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Close ends the connection. What still comes is read for a moment, unless nothing can.
func (c *client) Close() error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.end()
	return nil
}

// end ends the connection. The listener's mutex is held.
func (c *client) end() {
	if c.ended {
		return
	}
	c.ended = true
	l := c.in
	delete(l.conns, c)
	l.freed.Signal()
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || c.over || l.dead || t.CloseWrite() != nil {
		c.Conn.Close()
		return
	}
	l.lingers = append(l.lingers, c)
	if len(l.lingers) > max(1, l.most/lingerShare) { // descriptors are for those that ask
		l.lingers[0].Conn.Close()
		l.lingers = l.lingers[1:]
	}
	go c.linger()
}

func (c *client) linger() {
	cut := time.AfterFunc(lingerFor, func() { c.Conn.Close() }) // whatever time limits net/http still sets
	defer cut.Stop()
	var piece [512]byte
	for all := 0; all < lingerMost; {
		n, err := c.Conn.Read(piece[:])
		all += n
		if errors.Is(err, os.ErrDeadlineExceeded) { // net/http's: its idle timer may be what ended the connection
			err = c.Conn.SetReadDeadline(time.Time{})
		}
		if err != nil {
			break
		}
	}
	c.Conn.Close()
	l := c.in
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingers = slices.DeleteFunc(l.lingers, func(k *client) bool { return k == c })
	l.freed.Signal()
}

// Break ends a client's connection in the middle of an answer, so that the client can tell.
func Break(r *http.Request) {
	if c, _ := r.Context().Value(clientKey{}).(*client); c != nil {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.in.mu.Lock()
		c.over = true
		c.in.mu.Unlock()
		c.Conn.SetDeadline(time.Now())
	}
	panic(http.ErrAbortHandler)
}
