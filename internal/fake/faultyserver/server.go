package faultyserver

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

// server is a faulty server at one address, over all of its incarnations.
type server struct {
	incarnation
	checker   *Checker
	faultRate float64
	script    *script // nil: plans are drawn
}

// incarnation is the present incarnation of a server.
type incarnation struct {
	mu      sync.Mutex // guards the fields below
	id      string
	conns   []*memorynet.Conn
	drained time.Time // since when the gateway knows that it must send nothing new; zero: it may
}

// startIncarnation replaces the incarnation by another, and resets the connections of the last one.
func (s *server) startIncarnation(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Reset(false)
	}
	s.id, s.conns, s.drained = id, nil, time.Time{}
}

// drain records that the gateway must send nothing new from now on.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
}

// addConn adds a connection to the present incarnation, and returns the incarnation's id.
func (s *server) addConn(c *memorynet.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return s.id
}

// drainedBefore returns whether an incarnation was drained before a time.
func (s *server) drainedBefore(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == id && !s.drained.IsZero() && at.After(s.drained)
}

// accept serves all connections to the server. Each draws from random numbers of its own.
func (s *server) accept(l net.Listener, seed uint64) {
	for number := uint64(0); ; number++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.checker.Count(countConnections)
		go s.serve(c.(*memorynet.Conn), rand.New(rand.NewPCG(seed, number)))
	}
}
