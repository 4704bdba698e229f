package serverclient

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// readBufferSize is the size of a connection's read buffer, bytes.
const readBufferSize = 8 << 10

// Client sends requests to servers and keeps idle connections to them. Its methods may be called from any
// goroutine.
type Client struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	bugs injectedBugs

	mutex sync.Mutex               // guards the fields below
	idle  map[string][]*connection // by instance, the most recently used last; contains no empty slices
	dials int64
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: map[string][]*connection{}, dial: dialTCP} }

// Dials returns the number of connections that were dialed.
func (c *Client) Dials() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dials
}

// Run sends an item and reads the response. It returns when the response is complete, when the attempt has
// failed, or soon after the context has ended.
func (c *Client) Run(ctx context.Context, request *Request) Outcome {
	outcome := Outcome{LastEventID: request.LastEventID}
	cleaned := *request
	cleaned.Item = withoutLineEnds(request.Item)
	request = &cleaned
	if err := request.checkSyntax(); err != nil {
		outcome.Result, outcome.Cause = Malformed, err
		return outcome
	}
	conn, reused, err := c.connect(ctx, request)
	if err != nil {
		outcome.Result = NotSent
		return outcome
	}
	// A deadline in the past ends pending reads and writes of the connection. Code that sets a later deadline
	// must check the context afterwards, because that deadline replaces this one.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil || !request.Gate() {
		stop()
		c.putIdle(request.Instance, conn) // idleSince doesn't change, because nothing was written
		outcome.Result = Canceled
		return outcome
	}
	e := exchange{conn: conn, request: request, outcome: &outcome, bugs: &c.bugs}
	reusable := e.roundTrip(ctx)
	if !stop() {
		outcome.Result = Canceled
		reusable = false
	}
	if !reusable {
		_ = conn.Close()
		if reused && outcome.Result == Interrupted && len(outcome.Events) == 0 {
			c.closeIdle(request.Instance) // they lead to the same process, which may be gone
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

// connect returns an idle connection that the request may use, or dials a new one. reused reports whether it is
// an idle one.
func (c *Client) connect(ctx context.Context, request *Request) (conn *connection, reused bool, err error) {
	if conn := c.takeIdle(request.Instance, request.Item.ID); conn != nil {
		return conn, true, nil
	}
	c.mutex.Lock()
	c.dials++
	c.mutex.Unlock()
	dialed, err := c.dial(ctx, request.Address)
	if err != nil {
		return nil, false, err
	}
	conn = &connection{
		Conn:      dialed,
		reader:    bufio.NewReaderSize(dialed, readBufferSize),
		idleSince: time.Now(),
		keepAlive: maxIdle,
	}
	return conn, false, nil
}
