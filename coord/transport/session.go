package transport

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
)

// Session is the server's side of one connection. Its methods are safe for concurrent use.
type Session struct {
	link     *link
	ctx      context.Context // passed to the handlers; canceled when the session ends
	cancel   context.CancelFunc
	inFlight atomic.Int64 // number of requests whose handler is running

	mutex    sync.Mutex // guards the fields below
	finished bool       // runOnClose has taken the functions of onClose
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
// ErrNotConnected, ErrQueueFull, ErrFrameTooLarge and ErrEncode; nil doesn't mean that the message arrived.
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

// OnClose registers a function to call after the session has ended, or calls it at once if the session has ended
// already. Registered functions run in the order of registration.
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

// runOnClose cancels the context and calls the functions registered by OnClose.
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

// readLoop passes messages to the handler until the connection ends. It returns the error that ended it.
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
			return fmt.Errorf("%w: unexpected frame kind %d from a client", ErrCorrupt, received.kind)
		}
	}
}

// handleRequest runs the handler for a request in a new goroutine, or rejects the request with CodeBusy if
// Options.Queue handlers are running already.
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

// reply sends the reply or the error of a request. If that fails, it ends the connection, so that the caller
// doesn't wait until its time-out.
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
