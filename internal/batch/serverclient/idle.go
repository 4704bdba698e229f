package serverclient

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// maxIdle is the longest time for which an idle connection is kept. A server can ask for less.
const maxIdle = 4 * time.Second

// maxUnfinished bounds the unfinished items of a connection. A connection with more is closed.
const maxUnfinished = 64

// connection is a connection to a server. It belongs to one request at a time, or is idle.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration // longest time for which it may be idle
	// unfinished holds the ids of items that were sent over this connection and may be retried, as their
	// answers were not final. They must not be sent over it again: a late answer to the earlier request would be
	// mistaken for the answer to the later one.
	unfinished []string
}

// takeIdle removes and returns the most recently used idle connection that an item may be sent over, nil if there
// is none. It closes connections that can't be reused.
func (c *Client) takeIdle(instance, item string) (found *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var passedOver []*connection
	idle := c.idle[instance]
	for i := len(idle) - 1; i >= 0 && found == nil; i-- {
		conn := idle[i]
		switch {
		case time.Since(conn.idleSince) >= conn.keepAlive || !c.bugs.reuseAfterStrayInput && !conn.nothingReceived():
			_ = conn.Close()
		case slices.Contains(conn.unfinished, item) && !c.bugs.reuseForSameItem:
			passedOver = append(passedOver, conn)
		default:
			found = conn
		}
		idle = idle[:i]
	}
	slices.Reverse(passedOver)
	if idle = append(idle, passedOver...); len(idle) > 0 {
		c.idle[instance] = idle
	} else {
		delete(c.idle, instance)
	}
	return found
}

// putIdle keeps a connection for reuse. Deadlines that were set on it are removed.
func (c *Client) putIdle(instance string, conn *connection) {
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle[instance] = append(c.idle[instance], conn)
}

// closeIdle closes all idle connections to an instance.
func (c *Client) closeIdle(instance string) {
	c.mutex.Lock()
	idle := c.idle[instance]
	delete(c.idle, instance)
	c.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// Sweep closes connections that were idle for too long, and all idle connections to instances for which present
// returns false.
func (c *Client) Sweep(present func(instance string) bool) {
	c.mutex.Lock()
	var expired []*connection
	for instance, idle := range c.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if present(instance) && time.Since(conn.idleSince) < conn.keepAlive {
				kept = append(kept, conn)
				continue
			}
			expired = append(expired, conn)
		}
		c.idle[instance] = kept
		if len(kept) == 0 {
			delete(c.idle, instance)
		}
	}
	c.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// nothingReceived reports whether nothing was received on an idle connection: neither a close by the server nor
// bytes, which would belong to no request.
func (conn *connection) nothingReceived() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	return conn.nothingToRead()
}

// nothingToRead reports whether a read of the connection would block: the kernel has no bytes for it, no end of
// the stream and no error. It doesn't consume anything. Connections of simulations implement Arrived instead.
func (conn *connection) nothingToRead() bool {
	if peeker, ok := conn.Conn.(interface{ Arrived() (bool, error) }); ok {
		arrived, _ := peeker.Arrived()
		return !arrived
	}
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && nothing
}
