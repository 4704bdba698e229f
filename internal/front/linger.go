package front

import (
	"errors"
	"os"
	"slices"
	"time"
)

// The lingering close: see the package comment.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// lingerDivisor bounds the connections that linger, beyond the bound on open ones, to 1/16 of it.
	lingerDivisor = 16
)

// startLinger begins to linger. The listener's mutex is held.
func (l *listener) startLinger(c *clientConn) {
	l.lingering = append(l.lingering, c)
	if len(l.lingering) > max(1, l.maxConns/lingerDivisor) {
		l.lingering[0].Conn.Close() // its goroutine ends with that
		l.lingering = l.lingering[1:]
	}
	go c.linger()
}

// linger reads and discards input until the client closes, or for lingerTimeout, or maxLingerBytes.
func (c *clientConn) linger() {
	// A timer and not a deadline, as net/http may still set deadlines.
	timer := time.AfterFunc(lingerTimeout, func() { c.Conn.Close() })
	defer timer.Stop()
	var buf [512]byte
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(buf[:])
		total += n
		if errors.Is(err, os.ErrDeadlineExceeded) { // net/http's idle timeout may be what closed the connection
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
