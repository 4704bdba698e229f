// Package serverclient owns what goes between a store and a server: an item's request, and the stream of events that comes
// back. It must never write a byte of a request before its gate has said yes, and never take an event that isn't whole.
package serverclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/batch/job"
)

// Times of an exchange.
const (
	dialTimeout      = 700 * time.Millisecond
	unackedTimeout   = 2 * time.Second       // that sent bytes may go without acknowledgement
	readInterval     = 90 * time.Millisecond // between reads of a stream: one wake-up for several events
	progressInterval = 250 * time.Millisecond
	maxIdle          = 4 * time.Second // that an unused connection is kept at most
	readBufferSize   = 8 << 10
)

// Request is an item on its way to a server.
type Request struct {
	Address      string // host:port of the server
	Instance     string // its id
	Host         string
	Tenant       string
	Item         *job.Item
	LastEventID  int64         // -1: from the start
	Deadline     time.Duration // that the server may take
	StallTimeout time.Duration // after which the server is given up
	// Gate is asked right before the first byte; false ends the exchange.
	Gate func() bool
	// Load is given what the server tells of its load. Nil: nobody is.
	OnLoad func(header string)
	// First is told how long the first event took.
	OnFirstEvent func(time.Duration)
	// Progress is told now and then of events that came since it was told last: those after the event with an id, up to
	// the one with another. Nil: nobody is.
	OnProgress func(after, last int64, events [][]byte)
}

// Ending is how an exchange ended.
type Result int

// The endings.
const (
	Completed     Result = iota // the whole answer is there
	Failed                      // 500: a failed attempt
	Unprocessable               // 422: it can never be done
	NotExecuted                 // the server says that it didn't run it
	Rejected                    // another answer that is no success
	Interrupted                 // broken off, or not to be trusted any further
	NotSent                     // no byte went out
	Canceled                    // the gate said no, or the context ended
)

// Outcome is what came of an exchange: the events that follow LastEventID, and how it ended.
type Outcome struct {
	Result      Result
	Events      [][]byte // data, in order
	LastEventID int64
	Draining    bool          // the server closes the connection: it may be leaving
	RetryAfter  time.Duration // as the server asks
	Cause       error         // of a cut, for people
}

// Client keeps connections to servers. Its methods may be called from any goroutine.
type Client struct {
	mutex sync.Mutex
	idle  map[string][]*connection // by instance
	dials int64
	dial  func(ctx context.Context, address string) (net.Conn, error)
	bugs  injectedBugs // of tests
}

type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time     // it is idle
	keepAlive time.Duration // that it may be
	// open names the items that went over it and may come again: an answer to one that arrives late has the same id as the next.
	unfinished []string
}

// mostOpen bounds them; beyond it a connection is not kept.
const maxUnfinished = 64

// NewClient gives a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]*connection{}, dial: dialTCP} }

// Dials counts the connections that were opened.
func (c *Client) Dials() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dials
}

// Run sends an item and reads its answer.
func (c *Client) Run(ctx context.Context, request *Request) Outcome {
	outcome := Outcome{LastEventID: request.LastEventID}
	conn, used, err := c.connect(ctx, request)
	if err != nil {
		outcome.Result = NotSent
		return outcome
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil || !request.Gate() {
		stop()
		c.putIdle(request.Instance, conn) // it has been idle all the while
		outcome.Result = Canceled
		return outcome
	}
	reuse := c.roundTrip(ctx, conn, request, &outcome)
	if !stop() {
		outcome.Result = Canceled
		reuse = false
	}
	if !reuse {
		_ = conn.Close()
		if used && outcome.Result == Interrupted && len(outcome.Events) == 0 {
			c.closeIdle(request.Instance)
		}
		return outcome
	}
	if outcome.Result != Completed && outcome.Result != Unprocessable {
		conn.unfinished = append(conn.unfinished, request.Item.ID)
	}
	if len(conn.unfinished) > maxUnfinished {
		_ = conn.Close()
		return outcome
	}
	conn.idleSince = time.Now()
	c.putIdle(request.Instance, conn)
	return outcome
}

func (c *Client) connect(ctx context.Context, request *Request) (conn *connection, used bool, err error) {
	if conn := c.takeIdle(request.Instance, request.Item.ID); conn != nil {
		return conn, true, nil
	}
	c.mutex.Lock()
	c.dials++
	c.mutex.Unlock()
	raw, err := c.dial(ctx, request.Address)
	if err != nil {
		return nil, false, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), idleSince: time.Now(), keepAlive: maxIdle}, false, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

const optionTCPUserTimeout = 18 // TCP_USER_TIMEOUT

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionTCPUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// takeIdle gives an idle connection that an item may go over, or nil, and closes those past use.
func (c *Client) takeIdle(instance, item string) (found *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var kept []*connection
	list := c.idle[instance]
	for i := len(list) - 1; i >= 0 && found == nil; i-- {
		conn := list[i]
		switch {
		case time.Since(conn.idleSince) >= conn.keepAlive || !c.bugs.reuseAfterStrayInput && !conn.nothingReceived():
			_ = conn.Close()
		case slices.Contains(conn.unfinished, item) && !c.bugs.reuseForSameItem:
			kept = append(kept, conn)
		default:
			found = conn
		}
		list = list[:i]
	}
	slices.Reverse(kept)
	if list = append(list, kept...); len(list) > 0 {
		c.idle[instance] = list
	} else {
		delete(c.idle, instance)
	}
	return found
}

// quiet tells whether nothing has come on an idle connection: neither its end nor bytes that belong to no request.
func (conn *connection) nothingReceived() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	return conn.nothingToRead()
}

// silent tells whether nothing waits on a connection that was not read, as far as that can be told.
func (conn *connection) nothingToRead() bool {
	if peek, ok := conn.Conn.(interface{ Arrived() (bool, error) }); ok {
		anything, _ := peek.Arrived()
		return !anything
	}
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *Client) putIdle(instance string, conn *connection) {
	if conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle[instance] = append(c.idle[instance], conn)
}

func (c *Client) closeIdle(instance string) {
	c.mutex.Lock()
	list := c.idle[instance]
	delete(c.idle, instance)
	c.mutex.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Sweep closes connections that have rested too long, and all to instances that are gone.
func (c *Client) Sweep(present func(instance string) bool) {
	c.mutex.Lock()
	var over []*connection
	for instance, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if present(instance) && time.Since(conn.idleSince) < conn.keepAlive {
				kept = append(kept, conn)
				continue
			}
			over = append(over, conn)
		}
		c.idle[instance] = kept
		if len(kept) == 0 {
			delete(c.idle, instance)
		}
	}
	c.mutex.Unlock()
	for _, conn := range over {
		_ = conn.Close()
	}
}
