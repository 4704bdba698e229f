package transport

import (
	"context"
	"fmt"
	"sync"
)

// callResult is the outcome of a call that was answered.
type callResult struct {
	reply   any
	failure error
}

// clientLink is a link with the calls that wait for a reply on it. Call numbers belong to one connection: a
// reply can't reach a call of an earlier one.
type clientLink struct {
	*link

	callMutex      sync.Mutex // guards the fields below
	lastCallNumber uint32
	calls          map[uint32]chan callResult // by number; each channel has a buffer of one
}

// newClientLink returns a link without calls.
func newClientLink(l *link) *clientLink {
	return &clientLink{link: l, calls: make(map[uint32]chan callResult)}
}

// call sends a request and waits for its outcome.
//
// Without a reply the error says whether the request may have been handled. It can't have been if its frame
// was never handed to the network. That is final only once the link has ended, because until then the writer
// may still take it: a call that is given up earlier, by its context, is always uncertain.
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
	case received := <-answer: // the reply came just before the link ended
		return received.reply, received.failure
	default:
	}
	if c.mayHaveBeenSent(frameNumber) && !c.options.injected.neverUncertain {
		return nil, uncertainError(c.endCause())
	}
	return nil, notConnectedError(c.endCause())
}

// registerCall returns an unused number for a call, and the channel of its result. Numbers wrap around after
// 2^32 calls.
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

// removeCall frees the number of a call.
func (c *clientLink) removeCall(number uint32) {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	delete(c.calls, number)
}

// resolve passes a result to the call that waits for it. A result that no call waits for any more is dropped.
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

// readLoop passes replies to calls, and one-way messages to onPush, until the connection ends. It returns why
// it ended.
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
