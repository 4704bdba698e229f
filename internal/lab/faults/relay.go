package faults

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// This file owns relays of TCP connections: between a gateway and a member, discovery or a client. A relay is open, or cut, as
// when a machine vanishes: connections stay open and silent, new ones never come up; or down, as when the process behind it has
// died: connections are reset and new ones refused. It must never answer for who is behind it.

// State is what a relay does.
type State uint8

// The states of a relay.
const (
	Open State = iota
	Cut
	Down
)

// dialWait bounds the relay's own connections.
const dialWait = 2 * time.Second

// Relay passes connections on to one address.
type Relay struct {
	addr, target string

	mu       sync.Mutex
	changed  *sync.Cond
	state    State
	delay    time.Duration
	listener *net.TCPListener // nil: down
	plugs    []net.Conn       // that fill its line while it is cut
	conns    map[net.Conn]bool
	closed   bool
	all      sync.WaitGroup
}

// NewRelay opens a relay on a host.
func NewRelay(host, target string) (*Relay, error) {
	r := &Relay{target: target, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r.addr, r.listener = l.Addr().String(), l.(*net.TCPListener)
	r.all.Go(func() { r.accept(r.listener) })
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.addr }

// Delay makes every piece that passes wait so long.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Set changes what the relay does. What a cut holds back comes when it is open again.
func (r *Relay) Set(s State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || s == r.state {
		return nil
	}
	was := r.state
	r.state = s
	r.changed.Broadcast()
	for _, p := range r.plugs {
		p.Close()
	}
	r.plugs = nil
	switch {
	case s == Down:
		r.listener.Close()
		r.listener = nil
		r.reset()
	case was == Down:
		l, err := net.Listen("tcp4", r.addr)
		if err != nil {
			r.state = Down
			return err
		}
		r.listener = l.(*net.TCPListener)
		r.all.Go(func() { r.accept(r.listener) })
	}
	if s == Cut {
		return r.plug()
	}
	if was == Cut && s == Open {
		return errors.Join(r.listener.SetDeadline(time.Time{}), r.line(128))
	}
	return nil
}

// line sets how many connections may wait to be taken.
func (r *Relay) line(length int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var short error
	err = raw.Control(func(fd uintptr) { short = syscall.Listen(int(fd), length) })
	return errors.Join(err, short)
}

// plug fills the listener's line, which is made as short as can be, so that whoever connects hears nothing. From the deadline on nothing is
// taken off the line: the accepting goroutine may not have seen the cut yet, and on a busy machine would see it long after the line is full.
func (r *Relay) plug() error {
	if err := errors.Join(r.listener.SetDeadline(time.Unix(1, 0)), r.line(0)); err != nil {
		return err
	}
	for range 3 {
		c, err := net.DialTimeout("tcp4", r.addr, 50*time.Millisecond)
		if err != nil {
			break // it is full
		}
		r.plugs = append(r.plugs, c)
	}
	return nil
}

// reset breaks all connections, as a process does that dies.
func (r *Relay) reset() {
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		delete(r.conns, c)
	}
}

// waits holds the caller while the relay is cut, and tells whether it goes on.
func (r *Relay) waits() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.state == Cut && !r.closed {
		r.changed.Wait()
	}
	return r.delay, !r.closed && r.state == Open
}

func (r *Relay) accept(l *net.TCPListener) {
	for {
		r.mu.Lock()
		for r.state == Cut && !r.closed && r.listener == l {
			r.changed.Wait()
		}
		r.mu.Unlock()
		c, err := l.Accept()
		if err != nil {
			if isClosed(err) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		r.all.Go(func() { r.pass(c) })
	}
}

// keep notes a connection, so that it ends with the relay. It tells whether it may go on.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.state == Down {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) pass(c net.Conn) {
	if !r.keep(c) {
		return
	}
	defer r.drop(c)
	if _, ok := r.waits(); !ok {
		return
	}
	d, err := net.DialTimeout("tcp4", r.target, dialWait)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	if !r.keep(d) {
		return
	}
	defer r.drop(d)
	var both sync.WaitGroup
	both.Go(func() { r.copy(d, c) })
	both.Go(func() { r.copy(c, d) })
	both.Wait()
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy passes bytes on in one direction until either side ends, and ends the other side as the one has ended.
func (r *Relay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		delay, ok := r.waits()
		if !ok {
			return
		}
		if n > 0 {
			time.Sleep(delay)
			if _, ok = r.waits(); !ok {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				from.(*net.TCPConn).SetLinger(0)
				from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil { // a reset comes through as one
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
	}
}

// Close ends the relay and all that passes.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	if r.listener != nil {
		r.listener.Close()
	}
	for _, p := range r.plugs {
		p.Close()
	}
	r.reset()
	r.mu.Unlock()
	r.all.Wait()
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
