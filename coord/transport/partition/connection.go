package partition

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// UserTimeout is how long sent bytes may wait for a link to heal before their connection ends. It is the
// TCP_USER_TIMEOUT that package transport sets by default.
const UserTimeout = 1500 * time.Millisecond

// Dialer opens connections to which the partitions of a Watcher apply.
type Dialer struct {
	// Partitions reports which links are partitioned.
	Partitions *Watcher
	// Host is the host of this process as it is named in the watched file.
	Host string
	// Dial opens the underlying connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DialContext opens a connection. While one of its two links is partitioned, it waits until the link heals or the
// context ends.
func (d *Dialer) DialContext(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	outbound, inbound := Link{d.Host, host}, Link{host, d.Host}
	never := func() time.Time { return time.Time{} }
	if !d.Partitions.awaitHealed(outbound, ctx.Done(), never) || !d.Partitions.awaitHealed(inbound, ctx.Done(), never) {
		return nil, ctx.Err()
	}
	underlying, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:       underlying,
		partitions: d.Partitions,
		outbound:   outbound,
		inbound:    inbound,
		closed:     make(chan struct{}),
	}, nil
}

// connection is a net.Conn to which the partitions of its two links apply.
type connection struct {
	net.Conn
	partitions *Watcher
	outbound   Link
	inbound    Link
	closeOnce  sync.Once
	closed     chan struct{} // closed by Close

	// mutex guards the fields below. The deadlines are those that the caller set, zero for none. They also
	// bound the waits for a link to heal, to which the deadlines of the underlying connection don't apply.
	mutex         sync.Mutex
	interrupted   bool // interruptIO has set the deadlines, which must not be changed
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read reads from the underlying connection and returns the result once the inbound link isn't partitioned. The
// end of the connection is held back in the same way.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.partitions.awaitHealed(c.inbound, c.closed, c.loadReadDeadline) {
		return n, err
	}
	// The bytes that were read are discarded. The connection ends, because a caller that continued after a
	// deadline would miss them.
	return 0, c.timeOut()
}

// Write writes bytes once the outbound link isn't partitioned. If the link hasn't healed after UserTimeout or at
// the write deadline, the connection ends.
func (c *connection) Write(p []byte) (int, error) {
	unacknowledgedUntil := time.Now().Add(UserTimeout)
	deadline := func() time.Time {
		if at := c.loadWriteDeadline(); !at.IsZero() && at.Before(unacknowledgedUntil) {
			return at
		}
		return unacknowledgedUntil
	}
	if !c.partitions.awaitHealed(c.outbound, c.closed, deadline) {
		return 0, c.timeOut()
	}
	return c.Conn.Write(p)
}

// timeOut ends the connection and returns the error that TCP returns after TCP_USER_TIMEOUT.
func (c *connection) timeOut() error {
	c.Close()
	return syscall.ETIMEDOUT
}

// Close ends the connection on this side at once. The other end sees that only once the outbound link has
// healed.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		if !c.partitions.Partitioned(c.outbound) {
			c.Conn.Close()
			return
		}
		c.interruptIO()
		go func() {
			for c.partitions.Partitioned(c.outbound) {
				time.Sleep(pollInterval)
			}
			c.Conn.Close()
		}()
	})
	return nil
}

// interruptIO interrupts pending reads and writes of the underlying connection without closing it.
func (c *connection) interruptIO() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.interrupted = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	return c.setDeadline(&c.readDeadline, c.Conn.SetReadDeadline, at)
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(&c.writeDeadline, c.Conn.SetWriteDeadline, at)
}

// setDeadline stores a deadline and sets it on the underlying connection.
func (c *connection) setDeadline(stored *time.Time, set func(time.Time) error, at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.interrupted {
		return net.ErrClosed
	}
	*stored = at
	return set(at)
}

// loadReadDeadline returns the current read deadline.
func (c *connection) loadReadDeadline() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readDeadline
}

// loadWriteDeadline returns the current write deadline.
func (c *connection) loadWriteDeadline() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeDeadline
}
