package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptBackoff is how long a server waits after a failed accept, such as for lack of a free file descriptor.
const acceptBackoff = 50 * time.Millisecond

// Handler handles the messages of a session. The context ends with the session.
//
// Each request (Client.Call) is handled in its own goroutine, up to Options.Queue at once in a session. The reply
// or the error is returned to the caller, the error as a RemoteError. NewError returns an error with a code.
//
// One-way messages (Client.Send) are handled in order on the goroutine that reads the connection. The handler
// must return from them quickly, and must not wait for other messages of the same session. Its replies to them
// are dropped, and its errors are logged.
type Handler func(ctx context.Context, session *Session, message any) (reply any, err error)

// Server accepts connections and passes their messages to a Handler.
type Server struct {
	listener net.Listener
	options  Options
	handler  Handler
	done     chan struct{}

	// mutex guards the fields below. Each connection is in handshaking or sessions until it ends, and none is
	// added once closed is true, so that Close reaches all connections.
	mutex       sync.Mutex
	closed      bool
	handshaking map[net.Conn]struct{}
	sessions    map[*Session]struct{}
}

// Serve accepts connections from the listener until the server is closed.
func Serve(listener net.Listener, options Options, handler Handler) *Server {
	s := &Server{
		listener:    listener,
		options:     options.withDefaults(),
		handler:     handler,
		done:        make(chan struct{}),
		handshaking: make(map[net.Conn]struct{}),
		sessions:    make(map[*Session]struct{}),
	}
	go s.accept()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr {
	return s.listener.Addr()
}

// Close closes the listener and all sessions, and waits for the connections to end. Queued messages are still
// written, within Options.WriteTimeout. It doesn't wait for running handlers, but their contexts end.
func (s *Server) Close() {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	sessions := make([]*Session, 0, len(s.sessions))
	for session := range s.sessions {
		sessions = append(sessions, session)
	}
	for connection := range s.handshaking {
		_ = connection.Close()
	}
	s.mutex.Unlock()
	close(s.done)
	_ = s.listener.Close()
	for _, session := range sessions {
		session.Close()
	}
	for _, session := range sessions {
		<-session.Done()
	}
}

// accept accepts connections until the server is closed.
func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err == nil {
			go s.serve(connection)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.options.Log("accept_failed", err, "")
		select {
		case <-time.After(acceptBackoff):
		case <-s.done:
			return
		}
	}
}

// serve serves one connection from its handshake to its end.
func (s *Server) serve(connection net.Conn) {
	remote := connection.RemoteAddr().String()
	if !s.trackHandshake(connection) {
		_ = connection.Close()
		return
	}
	reader := &deadlineReader{connection: connection}
	in := bufio.NewReaderSize(reader, readBufferSize)
	peer, err := s.handshake(connection, in)
	if err != nil {
		s.untrackHandshake(connection)
		_ = connection.Close()
		s.options.Log("handshake_rejected", err, remote)
		return
	}
	session := newSession(newLink(connection, in, &s.options, peer))
	reader.timeout = maxMissedHeartbeats * session.link.heartbeat
	if !s.startSession(connection, session) {
		session.link.end(ErrClosed)
		return
	}
	s.options.Log("session_opened", nil, remote)
	err = session.readLoop(s.handler)
	session.link.end(err)
	session.runOnClose()
	s.mutex.Lock()
	delete(s.sessions, session)
	s.mutex.Unlock()
	s.options.Log("session_ended", session.link.endCause(), remote)
}

// trackHandshake adds a connection to handshaking. It returns false if the server is closed.
func (s *Server) trackHandshake(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.handshaking[connection] = struct{}{}
	return true
}

// untrackHandshake removes a connection whose handshake failed from handshaking.
func (s *Server) untrackHandshake(connection net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.handshaking, connection)
}

// startSession moves a connection from handshaking to sessions. It returns false if the server is closed.
func (s *Server) startSession(connection net.Conn, session *Session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.handshaking, connection)
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}
