package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// Client keeps a connection to one address.
type Client struct {
	address string
	options Options
	onPush  func(message any)
	onState func(connected bool)
	context context.Context
	cancel  context.CancelFunc
	current atomic.Pointer[clientLink]
	remote  atomic.Pointer[Identity]
}

// NewClient starts to connect to an address. Both functions may be nil. They are called in order on the goroutine
// that reads the connection: they must return soon and must not wait for a Call of the same client. onState(true)
// comes before the first push of a connection, onState(false) after the last.
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
		context: ctx,
		cancel:  cancel,
	}
	go c.run()
	return c
}

// Call sends a request and waits for its reply. See the package comment for what its errors tell.
func (c *Client) Call(ctx context.Context, message any) (any, error) {
	current := c.current.Load()
	if current == nil {
		return nil, notConnected(c.context.Err())
	}
	if err := ctx.Err(); err != nil {
		return nil, notConnected(err)
	}
	return current.call(ctx, message)
}

// Send queues a one-way message. Messages over one connection arrive in the order of the calls. The error is one of
// ErrNotConnected, ErrQueueFull, ErrFrameTooLarge and ErrEncode; nil doesn't mean that it arrived.
func (c *Client) Send(message any) error {
	current := c.current.Load()
	if current == nil {
		return notConnected(c.context.Err())
	}
	_, err := current.send(frameOneWay, 0, message)
	return err
}

// Connected tells whether a connection stands, as far as is known.
func (c *Client) Connected() bool {
	return c.current.Load() != nil
}

// Remote returns the identity that the peer sent last, or a zero one before the first connection.
func (c *Client) Remote() Identity {
	if remote := c.remote.Load(); remote != nil {
		return *remote
	}
	return Identity{}
}

// Close ends the connection once the messages queued so far are written, and dials no more. It doesn't wait:
// onPush and onState may still be running, and onState(false) follows.
func (c *Client) Close() {
	c.cancel()
	if current := c.current.Load(); current != nil {
		current.close()
	}
}

// run connects again and again until the client is closed.
func (c *Client) run() {
	backoff := backoffFirst
	for c.context.Err() == nil {
		start := time.Now()
		err := c.connect()
		c.options.Log("connection ended", err, c.address)
		if time.Since(start) > backoffLimit && !errors.Is(err, errNoConnection) {
			backoff = backoffFirst
		}
		if !c.pause(backoff/2 + rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, backoffLimit)
	}
}

// pause waits and returns false once the client is closed.
func (c *Client) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.context.Done():
		return false
	}
}

// errNoConnection marks errors of attempts that led to no connection.
var errNoConnection = errors.New("no connection")

// connect dials once and serves the connection to its end.
func (c *Client) connect() error {
	timed, in, peer, err := c.dial()
	if err != nil {
		return fmt.Errorf("%w: %w", errNoConnection, err)
	}
	current := newClientLink(newLink(timed.connection, in, &c.options, peer))
	timed.limit = silentHeartbeats * current.heartbeat
	c.remote.Store(&peer.identity)
	c.current.Store(current)
	if c.context.Err() != nil {
		current.close()
	}
	c.options.Log("connected", nil, c.address)
	c.onState(true)
	current.end(current.read(c.onPush))
	c.current.Store(nil)
	c.onState(false)
	return current.endCause()
}

// dial opens a connection and greets the peer.
func (c *Client) dial() (*timedReader, *bufio.Reader, hello, error) {
	limited, cancel := context.WithTimeout(c.context, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(limited, c.address)
	if err != nil {
		return nil, nil, hello{}, err
	}
	timed := &timedReader{connection: connection}
	in := bufio.NewReaderSize(timed, readBuffer)
	peer, err := c.greet(connection, in)
	if err != nil {
		_ = connection.Close()
		return nil, nil, hello{}, err
	}
	return timed, in, peer, nil
}

// greet says hello and reads the answer.
func (c *Client) greet(connection net.Conn, in *bufio.Reader) (hello, error) {
	stop := context.AfterFunc(c.context, func() { _ = connection.Close() })
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	if err := tuneSocket(connection, c.options.UserTimeout); err != nil {
		return hello{}, err
	}
	own := hello{heartbeat: c.options.Heartbeat, identity: c.options.Identity}
	if err := own.write(connection); err != nil {
		return hello{}, err
	}
	peer, err := readHello(in)
	if err != nil {
		return hello{}, err
	}
	if err := statusError(peer.status); err != nil {
		return hello{}, err
	}
	if _, err := c.options.judge(peer.identity); err != nil {
		return hello{}, err
	}
	return peer, connection.SetDeadline(time.Time{})
}
