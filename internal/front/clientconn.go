package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// clientConn is the connection of a client. It records when the next request begins to arrive, because net/http
// reports a connection as idle until the complete head of a request was read.
type clientConn struct {
	net.Conn
	listener  *listener
	encrypted bool // the input is TLS, so messages can't be recognized in it

	// Guarded by the listener's mutex.
	state        http.ConnState
	stateSince   time.Time
	requestBegun bool // bytes of the next request have been read
	closed       bool // closed by this side; see closeLocked
	peerEnded    bool // the peer has closed or reset the connection, or AbortResponse resets it: no lingering close

	mu                 sync.Mutex // guards the fields below; locked after the listener's
	framing            framingScanner
	requests           int    // number of requests passed to the handler
	handling           bool   // the last of these requests is being handled
	pipelined          []byte // input after that request, not yet returned by Read
	pipelineOverflowed bool   // more than maxPipelinedKept bytes were read, and the excess was discarded
}

// connKey is the key of the *clientConn in the context of its requests.
type connKey struct{}

// withConn adds the connection to the context of its requests, unless it carries TLS.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if client, ok := c.(*clientConn); ok { // else a *tls.Conn
		ctx = context.WithValue(ctx, connKey{}, client)
	}
	return ctx
}

// Read returns input as it arrives. A read of one byte is how net/http watches for the client's disconnect while
// a handler runs. If the byte belongs to a further request, Read does not return it: net/http would stop
// watching, also during the requests that it has already buffered. Instead Read keeps the byte and goes on
// reading until the connection ends, or until net/http cancels the read because the handler has returned. The
// next reads return the input that was kept.
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

// recordRead records the result of a read, and returns the error that Read must return. That is net.ErrClosed if
// this side has closed the connection meanwhile: a request in the input can't be answered, and must not be
// handled.
func (c *clientConn) recordRead(n int, err error) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.requestBegun = c.requestBegun || n > 0
	if n > 0 {
		return nil // the next read returns the error again, if there is one
	}
	c.peerEnded = c.peerEnded || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
	return err
}

// setHandling records that handling a request has begun or ended.
func (c *clientConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling = handling; handling {
		c.requests++
	}
}

// nothingUnread reports whether the socket has no unread input. End of file is not input.
func (c *clientConn) nothingUnread() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	n, err := peek(raw)
	return n <= 0 || err != nil
}

// peerClosed reports whether the client has closed or reset the connection. It returns false if there is unread
// input before the close.
func (c *clientConn) peerClosed() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(raw)
	return n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// ClientGone reports whether the client of a request has closed its connection. It checks the socket, because
// net/http detects a close only by its next read, and a request that has waited could be forwarded before that.
func ClientGone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c != nil && c.peerClosed()
}

// Close closes the connection, with a lingering close if the client may still be sending.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.closeLocked()
	return nil
}

// closeLocked closes the connection. The listener's mutex is held.
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
	l.startLinger(c)
}

// AbortResponse resets the connection of a request in the middle of the response, so that the client detects the
// truncation and doesn't take it for the end of the response. It panics with http.ErrAbortHandler.
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
