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
	ctx     context.Context
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
		ctx:     ctx,
		cancel:  cancel,
	}
	go c.run()
	return c
}

// Call sends a request and waits for its reply. See the package comment for what its errors tell.
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

// Send queues a one-way message. Messages over one connection arrive in the order of the calls. The error is one of
// ErrNotConnected, ErrQueueFull, ErrFrameTooLarge and ErrEncode; nil doesn't mean that it arrived.
func (c *Client) Send(message any) error {
	current := c.current.Load()
	if current == nil {
		return notConnectedError(c.ctx.Err())
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
	backoff := initialBackoff
	for c.ctx.Err() == nil {
		start := time.Now()
		err := c.dialAndServe()
		c.options.Log("connection ended", err, c.address)
		if time.Since(start) > maxBackoff && !errors.Is(err, errDial) {
			backoff = initialBackoff
		}
		if !c.sleep(backoff/2 + rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits and returns false once the client is closed.
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

// errNoConnection marks errors of attempts that led to no connection.
var errDial = errors.New("no connection")

// connect dials once and serves the connection to its end.
func (c *Client) dialAndServe() error {
	timed, in, peer, err := c.dial()
	if err != nil {
		return fmt.Errorf("%w: %w", errDial, err)
	}
	current := newClientLink(newLink(timed.connection, in, &c.options, peer))
	timed.timeout = maxMissedHeartbeats * current.heartbeat
	c.remote.Store(&peer.identity)
	c.current.Store(current)
	if c.ctx.Err() != nil {
		current.close()
	}
	c.options.Log("connected", nil, c.address)
	c.onState(true)
	current.end(current.readLoop(c.onPush))
	c.current.Store(nil)
	c.onState(false)
	return current.endCause()
}

// dial opens a connection and greets the peer.
func (c *Client) dial() (*deadlineReader, *bufio.Reader, hello, error) {
	limited, cancel := context.WithTimeout(c.ctx, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(limited, c.address)
	if err != nil {
		return nil, nil, hello{}, err
	}
	timed := &deadlineReader{connection: connection}
	in := bufio.NewReaderSize(timed, readBufferSize)
	peer, err := c.handshake(connection, in)
	if err != nil {
		_ = connection.Close()
		return nil, nil, hello{}, err
	}
	return timed, in, peer, nil
}

// greet says hello and reads the answer.
func (c *Client) handshake(connection net.Conn, in *bufio.Reader) (hello, error) {
	stop := context.AfterFunc(c.ctx, func() { _ = connection.Close() })
	defer stop()
	if err := connection.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	if err := setSocketOptions(connection, c.options.UserTimeout); err != nil {
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
	if err := helloError(peer.status); err != nil {
		return hello{}, err
	}
	if _, err := c.options.admit(peer.identity); err != nil {
		return hello{}, err
	}
	return peer, connection.SetDeadline(time.Time{})
}
