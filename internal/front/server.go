// Package front owns the virtual server that both fronts stand on: net/http's server with its time limits, a
// bound on client connections, and the drain after SIGTERM. It must never read what a request asks for.
package front

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerWait  = 2500 * time.Millisecond // a client that says nothing or not all is left, and owed that within 3 s
	idleWait    = 2 * time.Minute
	answerSlack = 5 * time.Second // beyond the longest deadline, for a slow client to send and read
	maxHeader   = 16 << 10

	// acceptOn is how long new connections are taken after SIGTERM: the front goes on sending them for up to 0.4 s.
	acceptOn = 600 * time.Millisecond
	// newGrace is how long a new connection may say nothing before it makes room for others at the bound.
	newGrace = 250 * time.Millisecond
	// settle is how long an accepted connection that has sent nothing is waited for once the listener is closed.
	settle = 100 * time.Millisecond
)

// Server is a virtual server.
type Server struct {
	http     *http.Server
	listener *listener
	draining atomic.Bool
}

// Options are a virtual server's limits.
type Options struct {
	Listen          string
	Sockets         int           // client connections at once
	LongestDeadline time.Duration // of any transaction
	TLS             *tls.Config   // nil: plain
	Admit           func() bool   // whether one more new connection may be taken; nil: all may
}

// Listen opens the port. Nothing is taken before Serve.
func Listen(opt Options, handler http.Handler) (*Server, error) {
	inner, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: &listener{Listener: inner, most: opt.Sockets, admit: opt.Admit, conns: map[net.Conn]*client{}}}
	s.listener.freed = sync.NewCond(&s.listener.mu)
	// A read time-out below the longest deadline would look like a client that left in the middle of its wait.
	limit := opt.LongestDeadline + answerSlack
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerWait, ReadTimeout: limit, WriteTimeout: limit,
		IdleTimeout: idleWait, MaxHeaderBytes: maxHeader, ConnState: s.listener.state, TLSConfig: opt.TLS,
		ErrorLog: log.New(io.Discard, "", 0)} // a client's broken connection is not news
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Limit sets how many client connections may be open at once from now on.
func (s *Server) Limit(sockets int) {
	s.listener.mu.Lock()
	s.listener.most = sockets
	s.listener.freed.Broadcast()
	s.listener.mu.Unlock()
}

// Serve takes connections until Drain.
func (s *Server) Serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if s.draining.Load() {
		return nil
	}
	return err
}

// Drain goes on accepting for as long as the front sends, marks every answer as its connection's last, and gives
// back once all that was taken is answered, or ctx is over. Idle connections are closed at once: a request that
// crosses that comes again on a new connection, which is still taken.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.http.SetKeepAlivesEnabled(false)
	pause(ctx, acceptOn)
	s.listener.Close()
	pause(ctx, settle)
	for s.listener.active() > 0 && ctx.Err() == nil {
		pause(ctx, 10*time.Millisecond)
	}
	s.http.Close()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// listener bounds the connections open at once. At the bound the client that is idle the longest makes room, else
// the one that has said nothing for the longest: a request in the accept queue counts as taken, so it must not wait
// for long, and connections opened by the hundred in silence must not keep it there.
type listener struct {
	net.Listener
	most  int
	admit func() bool
	mu    sync.Mutex
	freed *sync.Cond
	conns map[net.Conn]*client
	shut  bool
}

type client struct {
	state http.ConnState
	since time.Time
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err == nil && l.admit != nil && !l.admit() { // closed early and cheaply, before a byte of it is read
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		c, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.most && !l.shut {
		if old := l.longest(http.StateIdle, 0); old != nil {
			l.leave(old)
		} else if old := l.longest(http.StateNew, newGrace); old != nil {
			l.leave(old)
		} else {
			wake := time.AfterFunc(newGrace, l.freed.Broadcast)
			l.freed.Wait()
			wake.Stop()
		}
	}
	l.conns[c] = &client{state: http.StateNew, since: time.Now()}
	return c, nil
}

func (l *listener) Close() error {
	l.mu.Lock()
	l.shut = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// longest gives the connection that has been in a state for the longest, if for more than some time.
func (l *listener) longest(state http.ConnState, more time.Duration) (old net.Conn) {
	before := time.Now().Add(-more)
	for c, k := range l.conns {
		if k.state == state && k.since.Before(before) {
			old, before = c, k.since
		}
	}
	return old
}

func (l *listener) leave(c net.Conn) {
	delete(l.conns, c)
	c.Close()
}

// state follows net/http's word on each connection.
func (l *listener) state(c net.Conn, state http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch k := l.conns[c]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(l.conns, c)
		l.freed.Signal()
	case k != nil:
		if k.state = state; state == http.StateIdle {
			k.since = time.Now()
			l.freed.Signal()
		}
	}
}

func (l *listener) active() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.conns {
		if k.state == http.StateActive {
			n++
		}
	}
	return n
}
