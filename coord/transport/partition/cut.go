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
	FileVariable = "SPRUCELANE_CUT_FILE"
	// HostVariable names the process's own host, as the file does.
	HostVariable = "SPRUCELANE_CUT_HOST"
)

// Patience is how long sent bytes may wait.
const Patience = 1500 * time.Millisecond

// readInterval is how often the file is read.
const readInterval = 20 * time.Millisecond

// Way is one direction between two hosts.
type Way struct{ From, To string }

// Cuts knows which ways are cut.
type Cuts struct {
	path string
	ways atomic.Pointer[map[Way]bool]
}

// Watch reads the file now, and again until the context ends.
func Watch(ctx context.Context, path string) *Cuts {
	c := &Cuts{path: path}
	c.read()
	go c.watch(ctx)
	return c
}

func (c *Cuts) watch(ctx context.Context) {
	beat := time.NewTicker(readInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			c.read()
		}
	}
}

func (c *Cuts) read() {
	text, _ := os.ReadFile(c.path) // without the file nothing is cut
	ways := map[Way]bool{}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 {
			ways[Way{fields[0], fields[1]}] = true
		}
	}
	c.ways.Store(&ways)
}

// Cut tells whether a way is cut.
func (c *Cuts) Cut(way Way) bool { return (*c.ways.Load())[way] }

// await waits until a way is whole; false: done was closed, or the limit passed, before.
func (c *Cuts) await(way Way, done <-chan struct{}, limit func() time.Time) bool {
	for c.Cut(way) {
		if at := limit(); !at.IsZero() && !time.Now().Before(at) {
			return false
		}
		select {
		case <-done:
			return false
		case <-time.After(readInterval):
		}
	}
	return true
}

// Dialer dials for one host.
type Dialer struct {
	Cuts *Cuts
	Host string // its own
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DialContext opens a connection that minds the cuts. While one of its two ways is cut none comes up.
func (d *Dialer) DialContext(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	out, in := Way{d.Host, host}, Way{host, d.Host}
	forever := func() time.Time { return time.Time{} }
	if !d.Cuts.await(out, ctx.Done(), forever) || !d.Cuts.await(in, ctx.Done(), forever) {
		return nil, ctx.Err()
	}
	inner, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: inner, cuts: d.Cuts, out: out, in: in, closed: make(chan struct{})}, nil
}

// connection minds the cuts of its two ways.
type connection struct {
	net.Conn
	cuts    *Cuts
	out, in Way
	once    sync.Once
	closed  chan struct{}

	mu             sync.Mutex
	over           bool // the deadlines stay as Close set them
	readBy, sendBy time.Time
}

// Read gives what has come once its way is whole. The end of the connection waits likewise.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.cuts.await(c.in, c.closed, c.readLimit) {
		return n, err
	}
	// What was read is gone. A caller that reads on after a deadline would miss it: the connection is over.
	return 0, c.fail()
}

// Write sends once its way is whole.
func (c *connection) Write(p []byte) (int, error) {
	by := time.Now().Add(Patience)
	limit := func() time.Time {
		if at := c.sendLimit(); !at.IsZero() && at.Before(by) {
			return at
		}
		return by
	}
	if !c.cuts.await(c.out, c.closed, limit) {
		return 0, c.fail()
	}
	return c.Conn.Write(p)
}

// fail ends the connection as TCP does that has waited too long.
func (c *connection) fail() error {
	c.Close()
	return syscall.ETIMEDOUT
}

// Close ends the connection here at once, and at the other end once it can hear of it.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		if !c.cuts.Cut(c.out) {
			c.Conn.Close()
			return
		}
		c.wake()
		go func() {
			for c.cuts.Cut(c.out) {
				time.Sleep(readInterval)
			}
			c.Conn.Close()
		}()
	})
	return nil
}

// wake ends reads and writes that wait.
func (c *connection) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
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
	return c.bound(&c.readBy, c.Conn.SetReadDeadline, at)
}

// SetWriteDeadline bounds writes.
func (c *connection) SetWriteDeadline(at time.Time) error {
	return c.bound(&c.sendBy, c.Conn.SetWriteDeadline, at)
}

func (c *connection) bound(kept *time.Time, set func(time.Time) error, at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return net.ErrClosed
	}
	*kept = at
	return set(at)
}

func (c *connection) readLimit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBy
}

func (c *connection) sendLimit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendBy
}
