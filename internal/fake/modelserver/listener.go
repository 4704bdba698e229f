package modelserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener resets connections beyond a limit.
type limitedListener struct {
	net.Listener
	limit int // 0: none
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.limit) || l.limit == 0 {
			return &limitedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // has Close reset the connection
		}
		conn.Close()
	}
}

// limitedConn counts itself out when it is closed.
type limitedConn struct {
	net.Conn
	open      *atomic.Int64
	closeOnce sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
