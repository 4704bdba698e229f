package pool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/core"
)

// errReadLimit is the error of reads beyond the maximum size of a head or a body.
var errReadLimit = errors.New("pool: response exceeds its maximum size")

// readBufferSize is the size of a connection's read buffer in bytes. A head usually fits. It is not larger
// because each idle connection holds one.
const readBufferSize = 2 << 10

// conn is a connection to a server. It is owned by one goroutine, or is in an idle list, guarded by the pool's
// mutex.
type conn struct {
	net.Conn
	peeker    Peeker        // nil: unread input can't be detected
	reader    *bufio.Reader // reads through conn.Read, which counts and limits the bytes
	readLimit int64         // bytes that may still be read; set anew for each head and body
	addr      string
	used      bool          // writing a request on it was started
	idleSince time.Time     // zero: never idle so far
	keepAlive time.Duration // the timeout in the server's last Keep-Alive header; 0: none
	readErr   error         // final error of reads; nil while the input is open
}

// Read reads at most readLimit bytes, so that a peer that sends without end can't exhaust the memory. It
// returns a final error again on further calls: the kernel reports a reset only once and end of file from then
// on, which would make a truncated body look complete.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errReadLimit
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.readLimit)])
	c.readLimit -= int64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// writeAll writes b and reports whether the kernel has accepted all of it.
func (c *conn) writeAll(b []byte) bool {
	n, _ := c.Write(b)
	return n == len(b)
}

// hasUnread reports whether unread bytes, a close or a reset have arrived.
func (c *conn) hasUnread() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.peeker == nil {
		return false
	}
	anything, end := c.peeker.Arrived()
	if end != nil {
		c.readErr = end // kept, as the kernel reports it only once
	}
	return anything
}

// Peeker is implemented by connections that can detect unread input without reading it. Arrived reports
// whether unread bytes, a close or a reset have arrived. end is the error with which the input has ended, if
// any.
type Peeker interface {
	Arrived() (anything bool, end error)
}

// socketPeeker is the Peeker of connections with a file descriptor.
type socketPeeker struct{ raw syscall.RawConn }

// newPeeker returns the Peeker of a connection, or nil if there is none. It must be called with the connection
// below TLS: any input that has arrived there, including a TLS close alert, makes the connection unusable for a
// request.
func newPeeker(conn net.Conn) Peeker {
	if peeker, ok := conn.(Peeker); ok {
		return peeker
	}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	return socketPeeker{raw}
}

// Arrived peeks at the socket's receive buffer. The kernel reports a reset to this call only, and not to later
// calls or reads.
func (s socketPeeker) Arrived() (anything bool, end error) {
	err := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if anything = !errors.Is(err, syscall.EAGAIN); anything && err != nil {
			end = err
		}
		return true
	})
	return anything || err != nil, end
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for input that ended before the message did.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// endOfReadError returns the core.End for an error in reading a response: a time-out, or a reset for any other
// error.
func endOfReadError(err error) core.End {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return core.EndTimedOut
	}
	return core.EndReset
}
