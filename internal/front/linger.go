package front

import (
	"errors"
	"os"
	"slices"
	"time"
)

// Limits of the lingering close (see the package comment), in time and in bytes for each connection.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// lingerDivisor limits the number of lingering connections, which come in addition to the open ones, to 1/16
	// of the limit on those.
	lingerDivisor = 16
)

// startLinger starts the lingering close of a connection. At the limit, it ends that of the connection that has
// been lingering for the longest. The listener's mutex is held.
func (l *listener) startLinger(c *clientConn) {
	l.lingering = append(l.lingering, c)
	if len(l.lingering) > max(1, l.maxConns/lingerDivisor) {
		l.lingering[0].Conn.Close() // this ends its goroutine
		l.lingering = l.lingering[1:]
	}
	go c.linger()
}

// linger reads and discards input until the client closes the connection, at most for lingerTimeout and up to
// maxLingerBytes. Then it closes the connection.
func (c *clientConn) linger() {
	// A timer is used instead of a deadline, as net/http may still set deadlines.
	timer := time.AfterFunc(lingerTimeout, func() { c.Conn.Close() })
	defer timer.Stop()
	var buf [512]byte
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(buf[:])
		total += n
		if errors.Is(err, os.ErrDeadlineExceeded) { // net/http's idle timeout may have caused the close
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
	l.lingering = slices.DeleteFunc(l.lingering, func(other *clientConn) bool { return other == c })
	l.slotFreed.Signal()
}
