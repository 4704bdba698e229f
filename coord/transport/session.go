package transport

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// Session is the server's side of one connection. Its methods may be called by several goroutines at once.
type Session struct {
	link     *link
	ctx      context.Context // of the handlers; ends with the session
	cancel   context.CancelFunc
	inFlight atomic.Int64 // requests in their handler

	mutex    sync.Mutex // guards the fields below
	finished bool       // the functions of onClose have been taken
	onClose  []func()
}

// newSession returns the session of a link.
func newSession(l *link) *Session {
	ctx, cancel := context.WithCancel(context.Background())
	return &Session{link: l, ctx: ctx, cancel: cancel}
}

// Remote returns the identity that the client sent.
func (s *Session) Remote() Identity {
	return s.link.remote
}

// Push queues a one-way message to the client. Messages arrive in the order of the calls. The error is one of
// ErrNotConnected, ErrQueueFull, ErrFrameTooLarge and ErrEncode; nil doesn't mean that it arrived.
func (s *Session) Push(message any) error {
	_, err := s.link.send(frameOneWay, 0, message)
	return err
}

// Done returns a channel that is closed once the connection has ended.
func (s *Session) Done() <-chan struct{} {
	return s.link.done
}

// Close ends the session once the messages queued so far are written. It doesn't wait.
func (s *Session) Close() {
	s.link.close()
}

// OnClose registers a function to call after the session has ended, or calls it at once if it has. Functions
// run in the order of the calls.
func (s *Session) OnClose(run func()) {
	s.mutex.Lock()
	if !s.finished {
		s.onClose = append(s.onClose, run)
		s.mutex.Unlock()
		return
	}
	s.mutex.Unlock()
	run()
}

// runOnClose ends the context and calls the functions given to OnClose.
func (s *Session) runOnClose() {
	s.cancel()
	s.mutex.Lock()
	s.finished = true
	functions := s.onClose
	s.onClose = nil
	s.mutex.Unlock()
	for _, run := range functions {
		run()
	}
}

// readLoop passes messages to the handler until the connection ends. It returns why it ended.
func (s *Session) readLoop(handler Handler) error {
	for {
		received, message, err := s.link.receive()
		if err != nil {
			return err
		}
		switch received.kind {
		case frameRequest:
			s.handleRequest(handler, received.call, message)
		case frameOneWay:
			if _, err := handler(s.ctx, s, message); err != nil {
				s.link.options.Log("one_way_message_failed", err, s.link.remote.Node)
			}
		default:
			return fmt.Errorf("%w: kind %d from a client", ErrCorrupt, received.kind)
		}
	}
}

// handleRequest runs the handler for a request on a goroutine of its own, or rejects the request with
// CodeBusy if Options.Queue of them run already.
func (s *Session) handleRequest(handler Handler, call uint32, message any) {
	if s.inFlight.Add(1) > int64(s.link.options.Queue) {
		s.inFlight.Add(-1)
		s.reply(call, nil, NewError(CodeBusy, "too many requests at work in this session"))
		return
	}
	go func() {
		defer s.inFlight.Add(-1)
		reply, err := handler(s.ctx, s, message)
		s.reply(call, reply, err)
	}()
}

// reply sends the reply or the error of a request. If it can't be sent the connection ends, so that the
// caller doesn't wait until its time-out.
func (s *Session) reply(call uint32, reply any, failure error) {
	var err error
	if failure != nil {
		_, err = s.link.send(frameFailure, call, toRemoteError(failure))
	} else {
		_, err = s.link.send(frameReply, call, reply)
	}
	if err != nil {
		s.link.end(fmt.Errorf("reply not sent: %w", err))
	}
}
