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

// Dialer opens connections that obey the partitions of a Watcher.
type Dialer struct {
	// Partitions knows which links are partitioned.
	Partitions *Watcher
	// Host is the host of this process, as the watched file names it.
	Host string
	// Dial opens the underlying connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DialContext opens a connection. While one of its two links is partitioned it waits, until the context ends.
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

// connection is a net.Conn that obeys the partitions of its two links.
type connection struct {
	net.Conn
	partitions *Watcher
	outbound   Link
	inbound    Link
	closeOnce  sync.Once
	closed     chan struct{} // closed by Close

	// mutex guards the fields below. The deadlines are those that the caller set, zero for none: they also
	// bound the waits for a link to heal, of which the underlying connection knows nothing.
	mutex         sync.Mutex
	interrupted   bool // Close has set deadlines of its own, which must stay
	readDeadline  time.Time
	writeDeadline time.Time
}

// Read returns what has arrived, once the inbound link isn't partitioned. The end of the connection waits
// likewise.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.partitions.awaitHealed(c.inbound, c.closed, c.loadReadDeadline) {
		return n, err
	}
	// The bytes that were read are lost. A caller that went on after a deadline would miss them: the
	// connection ends.
	return 0, c.timeOut()
}

// Write sends bytes once the outbound link isn't partitioned. After UserTimeout, or its deadline, the
// connection ends.
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

// interruptIO ends reads and writes of the underlying connection that wait, without closing it.
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

// loadReadDeadline returns the present read deadline.
func (c *connection) loadReadDeadline() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readDeadline
}

// loadWriteDeadline returns the present write deadline.
func (c *connection) loadWriteDeadline() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeDeadline
}
