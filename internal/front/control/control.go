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
	callWait = 10 * time.Second // for a whole call, where others don't need the room
	sayWait  = time.Second      // for an answer to be taken
	leaving  = 250 * time.Millisecond
	mostHead = 8 << 10
	mostBody = 4 << 10
)

// Server answers operators' calls.
type Server struct {
	Says func() string // what the answer to /ready says beside the phase; set before Serve; nil: nothing

	listener net.Listener
	state    *service.State
	ready    func() bool
	most     int
	now      func() time.Time

	mu      sync.Mutex
	callers []net.Conn // in the order in which they came
	calls   map[string]uint64
	refused uint64
	crowded uint64
}

// Listen opens the address, for so many callers at once. At the bound the one that has been there longest makes room.
// Ready tells whether there is anything to serve with; it must not wait.
func Listen(addr string, callers int, state *service.State, ready func() bool) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: l, state: state, ready: ready, most: callers, now: time.Now, calls: map[string]uint64{}}, nil
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
type Counts struct {
	Ready, Drain, Undrain, Refused, Crowded uint64
}

// Counts gives the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{s.calls["/ready"], s.calls["/drain"], s.calls["/undrain"], s.refused, s.crowded}
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
		s.enter(c)
		go s.serve(c)
	}
}

// enter keeps a caller, in the place of the one that has been there longest where there are too many: a whole call takes
// a moment, so that one is the least likely to be making one.
func (s *Server) enter(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= s.most {
		s.callers[0].Close()
		s.callers = s.callers[1:]
		s.crowded++
	}
	s.callers = append(s.callers, c)
}

func (s *Server) leave(c net.Conn) {
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
	defer s.leave(c)
	c.SetDeadline(s.now().Add(callWait))
	code, text := s.call(c)
	if code == 0 {
		return
	}
	c.SetDeadline(s.now().Add(sayWait))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		code, http.StatusText(code), len(text)+1, text)
	if t, ok := c.(*net.TCPConn); ok { // what is still unread must not take the answer with it
		t.CloseWrite()
		c.SetDeadline(s.now().Add(leaving))
		io.Copy(io.Discard, io.LimitReader(c, mostBody))
	}
}

// call reads one call whole, and only then carries it out. Code 0: there is nobody left to answer.
func (s *Server) call(c net.Conn) (code int, text string) {
	head := &io.LimitedReader{R: c, N: mostHead + mostBody}
	r, err := http.ReadRequest(bufio.NewReader(head))
	var late net.Error
	switch {
	case err == nil:
	case head.N <= 0:
		return s.no(http.StatusRequestHeaderFieldsTooLarge, "a call is shorter")
	case errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &late):
		return 0, ""
	default:
		return s.no(http.StatusBadRequest, "not a call: "+err.Error())
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody+1)); n > mostBody {
		return s.no(http.StatusRequestEntityTooLarge, "a call needs no body")
	} else if err != nil {
		return s.no(http.StatusBadRequest, "the body is not whole")
	}
	want, known := map[string]string{"/ready": http.MethodGet, "/drain": http.MethodPost, "/undrain": http.MethodPost}[r.URL.Path]
	if !known {
		return s.no(http.StatusNotFound, "calls are GET /ready, POST /drain, POST /undrain")
	}
	if r.Method != want {
		return s.no(http.StatusMethodNotAllowed, r.URL.Path+" takes "+want)
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	yes := true
	switch r.URL.Path {
	case "/ready":
		yes = s.state.CanServe() && s.ready()
	case "/drain":
		yes = s.state.Drain(s.now())
	case "/undrain":
		yes = s.state.Undrain()
	}
	phase := s.state.Phase().String()
	if r.URL.Path == "/ready" && s.Says != nil {
		phase += " " + s.Says()
	}
	if r.URL.Path != "/ready" {
		slog.Info("operator_call", "call", r.URL.Path, "done", yes, "phase", phase)
	}
	if !yes {
		return http.StatusServiceUnavailable, phase
	}
	return http.StatusOK, phase
}

func (s *Server) no(code int, text string) (int, string) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	return code, text
}
