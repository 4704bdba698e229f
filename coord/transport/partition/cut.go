// Package partition cuts connections between processes of a test off, as a network does that loses everything: what is sent arrives
// nowhere and late, and nobody is told. A file names the ways that are cut, one a line: the host that sends and the host that is
// sent to; it is read again and again. Whoever dials minds both directions of a connection. Only programs that are built with the
// tag faultinjection are linked with it.
//
// Bytes on a way that is cut wait until it heals, as those of TCP do that are sent again. A connection with bytes that have
// waited for Patience is over, as after TCP_USER_TIMEOUT; its other end learns of that when the way has healed.
package partition

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The variables that a process is told by.
const (
	// FileVariable names the file of the ways that are cut.
	EnvFile = "SPRUCELANE_CUT_FILE"
	// HostVariable names the process's own host, as the file does.
	EnvHost = "SPRUCELANE_CUT_HOST"
)

// Patience is how long sent bytes may wait.
const UserTimeout = 1500 * time.Millisecond

// readInterval is how often the file is read.
const pollInterval = 20 * time.Millisecond

// Way is one direction between two hosts.
type Link struct{ From, To string }

// Cuts knows which ways are cut.
type Watcher struct {
	path        string
	partitioned atomic.Pointer[map[Link]bool]
}

// Watch reads the file now, and again until the context ends.
func Watch(ctx context.Context, path string) *Watcher {
	c := &Watcher{path: path}
	c.reload()
	go c.watch(ctx)
	return c
}

func (c *Watcher) watch(ctx context.Context) {
	beat := time.NewTicker(pollInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			c.reload()
		}
	}
}

func (c *Watcher) reload() {
	text, _ := os.ReadFile(c.path) // without the file nothing is cut
	links := map[Link]bool{}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 {
			links[Link{fields[0], fields[1]}] = true
		}
	}
	c.partitioned.Store(&links)
}

// Cut tells whether a way is cut.
func (c *Watcher) Partitioned(link Link) bool { return (*c.partitioned.Load())[link] }

// await waits until a way is whole; false: done was closed, or the limit passed, before.
func (c *Watcher) awaitHealed(link Link, done <-chan struct{}, limit func() time.Time) bool {
	for c.Partitioned(link) {
		if at := limit(); !at.IsZero() && !time.Now().Before(at) {
			return false
		}
		select {
		case <-done:
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

// Dialer dials for one host.
type Dialer struct {
	Partitions *Watcher
	Host       string // its own
	Dial       func(ctx context.Context, address string) (net.Conn, error)
}

// DialContext opens a connection that minds the cuts. While one of its two ways is cut none comes up.
func (d *Dialer) DialContext(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	out, in := Link{d.Host, host}, Link{host, d.Host}
	forever := func() time.Time { return time.Time{} }
	if !d.Partitions.awaitHealed(out, ctx.Done(), forever) || !d.Partitions.awaitHealed(in, ctx.Done(), forever) {
		return nil, ctx.Err()
	}
	inner, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: inner, partitions: d.Partitions, outbound: out, inbound: in, closed: make(chan struct{})}, nil
}

// connection minds the cuts of its two ways.
type connection struct {
	net.Conn
	partitions        *Watcher
	outbound, inbound Link
	once              sync.Once
	closed            chan struct{}

	mu                          sync.Mutex
	closing                     bool // the deadlines stay as Close set them
	readDeadline, writeDeadline time.Time
}

// Read gives what has come once its way is whole. The end of the connection waits likewise.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.partitions.awaitHealed(c.inbound, c.closed, c.loadReadDeadline) {
		return n, err
	}
	// What was read is gone. A caller that reads on after a deadline would miss it: the connection is over.
	return 0, c.timeOut()
}

// Write sends once its way is whole.
func (c *connection) Write(p []byte) (int, error) {
	by := time.Now().Add(UserTimeout)
	limit := func() time.Time {
		if at := c.loadWriteDeadline(); !at.IsZero() && at.Before(by) {
			return at
		}
		return by
	}
	if !c.partitions.awaitHealed(c.outbound, c.closed, limit) {
		return 0, c.timeOut()
	}
	return c.Conn.Write(p)
}

// fail ends the connection as TCP does that has waited too long.
func (c *connection) timeOut() error {
	c.Close()
	return syscall.ETIMEDOUT
}

// Close ends the connection here at once, and at the other end once it can hear of it.
func (c *connection) Close() error {
	c.once.Do(func() {
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

// wake ends reads and writes that wait.
func (c *connection) interruptIO() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// SetDeadline bounds reads and writes.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// SetReadDeadline bounds reads.
func (c *connection) SetReadDeadline(at time.Time) error {
	return c.setDeadline(&c.readDeadline, c.Conn.SetReadDeadline, at)
}

// SetWriteDeadline bounds writes.
func (c *connection) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(&c.writeDeadline, c.Conn.SetWriteDeadline, at)
}

func (c *connection) setDeadline(stored *time.Time, set func(time.Time) error, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	*stored = at
	return set(at)
}

func (c *connection) loadReadDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadline
}

func (c *connection) loadWriteDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeDeadline
}
