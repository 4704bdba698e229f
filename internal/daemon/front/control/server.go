package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/service"
)

// Limits of one call. lingerTimeout bounds the time for which unread input is discarded after the answer.
const (
	callTimeout   = 10 * time.Second // for reading a call
	writeTimeout  = time.Second      // for writing the answer
	lingerTimeout = 250 * time.Millisecond
	maxHeadSize   = 8 << 10
	maxBodySize   = 4 << 10
)

// methods maps the path of each call to its HTTP method.
var methods = map[string]string{"/ready": http.MethodGet, "/drain": http.MethodPost, "/undrain": http.MethodPost}

// Server answers operators' calls.
type Server struct {
	// ReadyDetail returns the text that follows the phase in the answer to /ready. It must be set before Serve.
	// If it is nil, the answer has only the phase.
	ReadyDetail func() string

	listener   net.Listener
	state      *service.State
	ready      func() bool
	maxCallers int
	now        func() time.Time

	mu       sync.Mutex        // guards the fields below
	conns    []net.Conn        // open connections, oldest first
	calls    map[string]uint64 // by path
	rejected uint64
	evicted  uint64
}

// Listen opens a listening socket on addr. At most callers connections are open at once. ready reports whether the
// gateway has anything to serve requests with; it must not block.
func Listen(addr string, callers int, state *service.State, ready func() bool) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, state: state, ready: ready, maxCallers: callers, now: time.Now,
		calls: map[string]uint64{}}, nil
}

// Addr returns the address of the listening socket.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends Serve and closes all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// Stats has the number of calls so far by path, of rejected calls, and of connections that were closed to make room
// for new ones.
type Stats struct {
	Ready, Drain, Undrain, Rejected, Evicted uint64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{s.calls["/ready"], s.calls["/drain"], s.calls["/undrain"], s.rejected, s.evicted}
}

// Serve answers calls until Close.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // a single connection failed, or no file descriptor is free at the moment
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.addCaller(c)
		go s.serve(c)
	}
}

// addCaller adds a connection. At the maximum it closes the oldest connection first: a call is short, so the oldest
// caller is the least likely to be in the middle of one.
func (s *Server) addCaller(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxCallers {
		s.conns[0].Close()
		s.conns = s.conns[1:]
		s.evicted++
	}
	s.conns = append(s.conns, c)
}

// removeCaller closes a connection and removes it.
func (s *Server) removeCaller(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.conns {
		if s.conns[i] == c {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

// serve answers the call on a connection. After the answer it discards further input for a short time before it
// closes the connection, because closing a socket with unread input may destroy the answer.
func (s *Server) serve(c net.Conn) {
	defer s.removeCaller(c)
	c.SetDeadline(s.now().Add(callTimeout))
	code, text := s.handle(c)
	if code == 0 {
		return
	}
	c.SetDeadline(s.now().Add(writeTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		code, http.StatusText(code), len(text)+1, text)
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetDeadline(s.now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c, maxBodySize))
	}
}

// handle reads one call completely and only then performs it. It returns the status code and text of the answer.
// Code 0 means that the connection failed or was closed before the call was complete, and no answer is sent.
func (s *Server) handle(c net.Conn) (code int, text string) {
	limited := &io.LimitedReader{R: c, N: maxHeadSize + maxBodySize}
	r, err := http.ReadRequest(bufio.NewReader(limited))
	var netErr net.Error
	switch {
	case err == nil:
	case limited.N <= 0:
		return s.reject(http.StatusRequestHeaderFieldsTooLarge, "a call is shorter")
	case errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr):
		return 0, ""
	default:
		return s.reject(http.StatusBadRequest, "not a call: "+err.Error())
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodySize+1)); n > maxBodySize {
		return s.reject(http.StatusRequestEntityTooLarge, "a call needs no body")
	} else if err != nil {
		return s.reject(http.StatusBadRequest, "the body is not whole")
	}
	method, known := methods[r.URL.Path]
	if !known {
		return s.reject(http.StatusNotFound, "calls are GET /ready, POST /drain, POST /undrain")
	}
	if r.Method != method {
		return s.reject(http.StatusMethodNotAllowed, r.URL.Path+" takes "+method)
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	done := true
	switch r.URL.Path {
	case "/ready":
		done = s.state.CanServe() && s.ready()
	case "/drain":
		done = s.state.Drain(s.now())
	case "/undrain":
		done = s.state.Undrain()
	}
	phase := s.state.Phase().String()
	if r.URL.Path == "/ready" && s.ReadyDetail != nil {
		phase += " " + s.ReadyDetail()
	}
	if r.URL.Path != "/ready" {
		slog.Info("operator_call", "call", r.URL.Path, "done", done, "phase", phase)
	}
	if !done {
		return http.StatusServiceUnavailable, phase
	}
	return http.StatusOK, phase
}

// reject counts a rejected call and returns the status code and text of its answer.
func (s *Server) reject(code int, text string) (int, string) {
	s.mu.Lock()
	s.rejected++
	s.mu.Unlock()
	return code, text
}
