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

// errReadLimit is returned by reads beyond the maximum size of a head or a body.
var errReadLimit = errors.New("pool: response exceeds its maximum size")

// readBufferSize is the size of a connection's read buffer in bytes: a head usually fits, and idle
// connections hold one each.
const readBufferSize = 2 << 10

// conn is a connection to a server. It belongs to one goroutine, or to an idle list under the pool's mutex.
type conn struct {
	net.Conn
	peeker    Peeker        // nil: unread input can't be detected
	reader    *bufio.Reader // of this conn, so that reads are counted and bounded
	readLimit int64         // bytes that may still be read; set anew for each head and body
	addr      string
	used      bool          // a request was written on it
	idleSince time.Time     // zero: it was never idle
	keepAlive time.Duration // the idle timeout from the server's last Keep-Alive header; 0: it gave none
	readErr   error         // final error of reads: how the input has ended
}

// Read reads at most readLimit bytes, so that a peer that sends without an end can't fill the memory. It
// keeps a final error: the kernel reports a reset only once and an end of file from then on, which would make
// a reset body look complete.
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

// writeAll writes bytes and reports whether all of them were accepted by the kernel.
func (c *conn) writeAll(b []byte) bool {
	n, _ := c.Write(b)
	return n == len(b)
}

// hasUnread reports whether bytes or an end have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.peeker == nil {
		return false
	}
	anything, end := c.peeker.Arrived()
	if end != nil {
		c.readErr = end // the kernel reports it once
	}
	return anything
}

// Peeker is implemented by connections that can tell, without reading, whether bytes or an end have arrived
// that were not read yet. end is the error of the input, if it has ended with one.
type Peeker interface {
	Arrived() (anything bool, end error)
}

// socketPeeker is the Peeker of connections with a file descriptor.
type socketPeeker struct{ raw syscall.RawConn }

// newPeeker returns a connection's Peeker, or nil if there is none. It must get the connection below TLS:
// what has arrived there, a closing alert included, makes the connection unfit for a request.
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

// Arrived peeks at the socket's receive buffer. A reset is reported by this call only once, and not by later
// reads.
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

// unexpectedEOF replaces io.EOF, for reads that ended before the message did.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// endOfReadError returns the end of an attempt whose response could not be read: a time-out or a reset.
func endOfReadError(err error) core.End {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return core.EndTimedOut
	}
	return core.EndReset
}
