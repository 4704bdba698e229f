package transport

import (
	"context"
	"fmt"
	"sync"
)

// result is what became of a call.
type result struct {
	reply   any
	failure error
}

// clientLink is a link with the calls that wait on it.
type clientLink struct {
	*link

	callMutex sync.Mutex
	lastCall  uint32
	calls     map[uint32]chan result
}

// newClientLink returns a link without calls.
func newClientLink(l *link) *clientLink {
	return &clientLink{link: l, calls: make(map[uint32]chan result)}
}

// call sends a request and waits for what becomes of it.
func (c *clientLink) call(ctx context.Context, message any) (any, error) {
	number, answer := c.open()
	defer c.forget(number)
	frameNumber, err := c.send(frameRequest, number, message)
	if err != nil {
		return nil, err
	}
	select {
	case received := <-answer:
		return received.reply, received.failure
	case <-ctx.Done():
		return nil, uncertain(ctx.Err())
	case <-c.done:
	}
	select {
	case received := <-answer:
		return received.reply, received.failure
	default:
	}
	if c.wasHanded(frameNumber) && !c.options.bugs.neverHanded {
		return nil, uncertain(c.endCause())
	}
	return nil, notConnected(c.endCause())
}

// open takes a number for a call.
func (c *clientLink) open() (uint32, chan result) {
	answer := make(chan result, 1)
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	for {
		c.lastCall++
		if _, taken := c.calls[c.lastCall]; !taken {
			break
		}
	}
	c.calls[c.lastCall] = answer
	return c.lastCall, answer
}

// forget gives up the number of a call.
func (c *clientLink) forget(number uint32) {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	delete(c.calls, number)
}

// resolve hands a result to the call that waits for it, if any.
func (c *clientLink) resolve(number uint32, received result) {
	c.callMutex.Lock()
	if c.options.bugs.anyCall {
		for number = range c.calls {
			break
		}
	}
	answer, waits := c.calls[number]
	delete(c.calls, number)
	c.callMutex.Unlock()
	if waits {
		answer <- received
	}
}

// read hands replies to calls and one-way messages to onPush until the connection ends.
func (c *clientLink) read(onPush func(message any)) error {
	for {
		received, message, err := c.receive()
		if err != nil {
			return err
		}
		switch received.kind {
		case frameReply:
			c.resolve(received.call, result{reply: message})
		case frameFailure:
			failure, ok := message.(RemoteError)
			if !ok {
				return fmt.Errorf("%w: failure of type %T", ErrCorrupt, message)
			}
			c.resolve(received.call, result{failure: &failure})
		case frameOneWay:
			onPush(message)
		default:
			return fmt.Errorf("%w: kind %d from a server", ErrCorrupt, received.kind)
		}
	}
}
