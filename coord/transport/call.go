package transport

import (
	"context"
	"fmt"
	"sync"
)

// result is what became of a call.
type callResult struct {
	reply   any
	failure error
}

// clientLink is a link with the calls that wait on it.
type clientLink struct {
	*link

	callMutex      sync.Mutex
	lastCallNumber uint32
	calls          map[uint32]chan callResult
}

// newClientLink returns a link without calls.
func newClientLink(l *link) *clientLink {
	return &clientLink{link: l, calls: make(map[uint32]chan callResult)}
}

// call sends a request and waits for what becomes of it.
func (c *clientLink) call(ctx context.Context, message any) (any, error) {
	number, answer := c.registerCall()
	defer c.removeCall(number)
	frameNumber, err := c.send(frameRequest, number, message)
	if err != nil {
		return nil, err
	}
	select {
	case received := <-answer:
		return received.reply, received.failure
	case <-ctx.Done():
		return nil, uncertainError(ctx.Err())
	case <-c.done:
	}
	select {
	case received := <-answer:
		return received.reply, received.failure
	default:
	}
	if c.mayHaveBeenSent(frameNumber) && !c.options.injected.neverUncertain {
		return nil, uncertainError(c.endCause())
	}
	return nil, notConnectedError(c.endCause())
}

// open takes a number for a call.
func (c *clientLink) registerCall() (uint32, chan callResult) {
	answer := make(chan callResult, 1)
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	for {
		c.lastCallNumber++
		if _, taken := c.calls[c.lastCallNumber]; !taken {
			break
		}
	}
	c.calls[c.lastCallNumber] = answer
	return c.lastCallNumber, answer
}

// forget gives up the number of a call.
func (c *clientLink) removeCall(number uint32) {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	delete(c.calls, number)
}

// resolve hands a result to the call that waits for it, if any.
func (c *clientLink) resolve(number uint32, received callResult) {
	c.callMutex.Lock()
	if c.options.injected.replyToAnyCall {
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
func (c *clientLink) readLoop(onPush func(message any)) error {
	for {
		received, message, err := c.receive()
		if err != nil {
			return err
		}
		switch received.kind {
		case frameReply:
			c.resolve(received.call, callResult{reply: message})
		case frameFailure:
			failure, ok := message.(RemoteError)
			if !ok {
				return fmt.Errorf("%w: failure of type %T", ErrCorrupt, message)
			}
			c.resolve(received.call, callResult{failure: &failure})
		case frameOneWay:
			onPush(message)
		default:
			return fmt.Errorf("%w: kind %d from a server", ErrCorrupt, received.kind)
		}
	}
}
