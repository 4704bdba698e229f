// Package control owns the address at which operators call a gateway: HTTP/1.1, one call to a connection. It asks and
// moves internal/service and nothing else, so that an answer never waits for clients, members or discovery. It must
// never change anything without a whole call.
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

const (
	callTimeout   = 10 * time.Second // for a whole call, where others don't need the room
	writeTimeout  = time.Second      // for an answer to be taken
	lingerTimeout = 250 * time.Millisecond
	maxHeadSize   = 8 << 10
	maxBodySize   = 4 << 10
)

// Server answers operators' calls.
type Server struct {
	ReadyDetail func() string // what the answer to /ready says beside the phase; set before Serve; nil: nothing

	listener   net.Listener
	state      *service.State
	ready      func() bool
	maxCallers int
	now        func() time.Time

	mu       sync.Mutex
	callers  []net.Conn // in the order in which they came
	calls    map[string]uint64
	rejected uint64
	evicted  uint64
}

// Listen opens the address, for so many callers at once. At the bound the one that has been there longest makes room.
// Ready tells whether there is anything to serve with; it must not wait.
func Listen(addr string, callers int, state *service.State, ready func() bool) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, state: state, ready: ready, maxCallers: callers, now: time.Now, calls: map[string]uint64{}}, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends Serve and what callers there are.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.Close()
	}
}

// Counts are the calls so far: each by its path, those that were none, and callers closed to make room for others.
type Stats struct {
	Ready, Drain, Undrain, Rejected, Evicted uint64
}

// Counts gives the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{s.calls["/ready"], s.calls["/drain"], s.calls["/undrain"], s.rejected, s.evicted}
}

// Serve takes calls until Close.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // of one connection, or for want of a descriptor for a moment
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.addCaller(c)
		go s.serve(c)
	}
}

// enter keeps a caller, in the place of the one that has been there longest where there are too many: a whole call takes
// a moment, so that one is the least likely to be making one.
func (s *Server) addCaller(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= s.maxCallers {
		s.callers[0].Close()
		s.callers = s.callers[1:]
		s.evicted++
	}
	s.callers = append(s.callers, c)
}

func (s *Server) removeCaller(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.callers {
		if s.callers[i] == c {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			return
		}
	}
}

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
	if t, ok := c.(*net.TCPConn); ok { // what is still unread must not take the answer with it
		t.CloseWrite()
		c.SetDeadline(s.now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c, maxBodySize))
	}
}

// call reads one call whole, and only then carries it out. Code 0: there is nobody left to answer.
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
	method, known := map[string]string{"/ready": http.MethodGet, "/drain": http.MethodPost, "/undrain": http.MethodPost}[r.URL.Path]
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

func (s *Server) reject(code int, text string) (int, string) {
	s.mu.Lock()
	s.rejected++
	s.mu.Unlock()
	return code, text
}
