package transport

import (
	"context"
	"fmt"
	"sync"
)

// callResult is the outcome of a call that was answered: a reply or the handler's error.
type callResult struct {
	reply   any
	failure error
}

// clientLink is a link with the calls that wait for a reply on it. Call numbers are local to one connection, so
// that a reply can't reach a call of an earlier connection.
type clientLink struct {
	*link

	callMutex      sync.Mutex // guards the fields below
	lastCallNumber uint32
	calls          map[uint32]chan callResult // by number; each channel has a buffer of one
}

// newClientLink returns a clientLink without calls.
func newClientLink(l *link) *clientLink {
	return &clientLink{link: l, calls: make(map[uint32]chan callResult)}
}

// call sends a request and waits for its outcome.
//
// If there is no reply, the error tells whether the request may have been handled. It can't have been handled if
// its frame was never handed to the network. This is certain only once the link has ended, because the writer
// may still take the frame until then. A call whose context ends earlier is therefore always uncertain.
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
	case received := <-answer: // the reply arrived just before the link ended
		return received.reply, received.failure
	default:
	}
	if c.mayHaveBeenSent(frameNumber) && !c.options.injected.neverUncertain {
		return nil, uncertainError(c.endCause())
	}
	return nil, notConnectedError(c.endCause())
}

// registerCall registers a call and returns its number, which no pending call has, and the channel for its
// result. Numbers wrap around after 2^32 calls.
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

// removeCall removes a call, so that its number can be used again.
func (c *clientLink) removeCall(number uint32) {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	delete(c.calls, number)
}

// resolve passes a result to the call that waits for it. A result for which no call waits is dropped.
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

// readLoop passes replies to calls, and one-way messages to onPush, until the connection ends. It returns the
// error that ended it.
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
				return fmt.Errorf("%w: failure frame holds a %T, want RemoteError", ErrCorrupt, message)
			}
			c.resolve(received.call, callResult{failure: &failure})
		case frameOneWay:
			onPush(message)
		default:
			return fmt.Errorf("%w: unexpected frame kind %d from a server", ErrCorrupt, received.kind)
		}
	}
}
