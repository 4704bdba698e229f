//go:build review

package lab

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server is a stand-in of a model server. It follows PROTOCOL.md: it answers 421 to requests for another instance,
// echoes X-Request-Id, and signs what it runs.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	lab                        *Lab
}

// Handler runs a request. The identity checks have been made, and X-Request-Id has been set in the answer.
type Handler func(s *Server, w http.ResponseWriter, r *http.Request)

// AddServer starts a server and lists it at the platform.
func (l *Lab) AddServer(service string, slots int, handler Handler) (*Server, error) {
	l.mu.Lock()
	number := len(l.servers)
	l.mu.Unlock()
	s := &Server{ID: fmt.Sprintf("i-%08x", 0x40f42500+number), Service: service, Zone: zones[number%len(zones)],
		Address: fmt.Sprintf("%s:%d", l.Address(50+number), portServer), Slots: slots, lab: l}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", s.ID)
	})
	routes.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
			s.Reject(w, http.StatusMisdirectedRequest)
			return
		}
		handler(s, w, r)
	})
	go func() { _ = (&http.Server{Handler: routes, IdleTimeout: 30 * time.Second}).Serve(listener) }()
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	return s, nil
}

// Reject answers that the request hasn't run here and never will.
func (s *Server) Reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// StartStream sends the head of a stream of events.
func (s *Server) StartStream(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "3e1b."+s.ID+"."+id)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

// Event sends one event.
func (s *Server) Event(w http.ResponseWriter, id string, number int) error {
	if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
