package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Backoff between attempts to connect. A client waits between half of the backoff and all of it, so that the
// clients of a restarted server don't reconnect at the same time. The backoff doubles with each attempt, and is
// reset after a connection that lasted longer than maxBackoff.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Client keeps one connection to an address, and reconnects whenever the connection ends, until the client is
// closed. Its methods are safe for concurrent use.
type Client struct {
	address string
	options Options
	onPush  func(message any)
	onState func(connected bool)
	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	current atomic.Pointer[clientLink] // nil while not connected
	remote  atomic.Pointer[Identity]   // identity of the peer of the last connection
}

// NewClient returns a client that starts to connect to an address. onPush receives the one-way messages of the
// server, and onState is called at the beginning and end of each connection; both may be nil. They are called
// in order on the goroutine that reads the connection, so that they must return quickly and must not wait for a
// Call of the same client. onState(true) precedes the first push of a connection, onState(false) follows the
// last.
func NewClient(address string, options Options, onPush func(message any), onState func(connected bool)) *Client {
	if onPush == nil {
		onPush = func(any) {}
	}
	if onState == nil {
		onState = func(bool) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		address: address,
		options: options.withDefaults(),
		onPush:  onPush,
		onState: onState,
		ctx:     ctx,
		cancel:  cancel,
	}
	go c.run()
	return c
}

// Call sends a request and waits for its reply. The request is sent at most once: Call never repeats it. Its
// errors tell whether the request may have been handled, as the package comment describes: ErrNotConnected,
// ErrQueueFull, ErrFrameTooLarge, ErrEncode (it was not sent), ErrUncertain, or a *RemoteError (the handler's
// error).
func (c *Client) Call(ctx context.Context, message any) (any, error) {
	current := c.current.Load()
	if current == nil {
		return nil, notConnectedError(c.ctx.Err())
	}
	if err := ctx.Err(); err != nil {
		return nil, notConnectedError(err)
	}
	return current.call(ctx, message)
}

// Send queues a one-way message. Messages over one connection arrive in the order of the calls. The error is
// one of ErrNotConnected, ErrQueueFull, ErrFrameTooLarge and ErrEncode; nil doesn't mean that the message arrived.
func (c *Client) Send(message any) error {
	current := c.current.Load()
	if current == nil {
		return notConnectedError(c.ctx.Err())
	}
	_, err := current.send(frameOneWay, 0, message)
	return err
}

// Connected reports whether there is a connection. The connection to a dead peer ends only after a time-out.
func (c *Client) Connected() bool {
	return c.current.Load() != nil
}

// Remote returns the identity that the peer sent last, or a zero Identity before the first connection.
func (c *Client) Remote() Identity {
	if remote := c.remote.Load(); remote != nil {
		return *remote
	}
	return Identity{}
}

// Close closes the client. The connection ends once the messages queued so far are written, and the client
// doesn't reconnect. Close doesn't wait for that: onPush and onState may still be running afterwards, and
// onState(false) follows.
func (c *Client) Close() {
	c.cancel()
	if current := c.current.Load(); current != nil {
		current.close()
	}
}

// run dials and serves connections, with backoff, until the client is closed.
func (c *Client) run() {
	backoff := initialBackoff
	for c.ctx.Err() == nil {
		start := time.Now()
		err := c.dialAndServe()
		c.options.Log("connection_ended", err, c.address)
		if time.Since(start) > maxBackoff && !errors.Is(err, errDial) {
			backoff = initialBackoff
		}
		if !c.sleep(backoff/2 + rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for a duration. It returns false if the client is closed before that.
func (c *Client) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// errDial marks the errors of attempts that failed before the handshake completed.
var errDial = errors.New("no connection")

// dialAndServe dials once and serves the connection until it ends. It returns why it ended.
func (c *Client) dialAndServe() error {
	current, err := c.dial()
	if err != nil {
		return fmt.Errorf("%w: %w", errDial, err)
	}
	remote := current.remote // a copy, so that the link isn't kept after its end
	c.remote.Store(&remote)
	c.current.Store(current)
	if c.ctx.Err() != nil {
		// Close was called since the start of the dial. If it loaded current before the Store above, it found no
		// connection to close.
		current.close()
	}
	c.options.Log("connected", nil, c.address)
	c.onState(true)
	current.end(current.readLoop(c.onPush))
	c.current.Store(nil)
	c.onState(false)
	return current.endCause()
}

// dial opens a connection, performs the handshake and returns the link.
func (c *Client) dial() (*clientLink, error) {
	limited, cancel := context.WithTimeout(c.ctx, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(limited, c.address)
	if err != nil {
		return nil, err
	}
	reader := &deadlineReader{connection: connection}
	in := bufio.NewReaderSize(reader, readBufferSize)
	peer, err := c.handshake(connection, in)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	opened := newClientLink(newLink(connection, in, &c.options, peer))
	reader.timeout = maxMissedHeartbeats * opened.heartbeat
	return opened, nil
}
