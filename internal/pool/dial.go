package pool

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/core"
)

// This file owns how a connection is opened, and how one is looked at without reading it.

func (p *Pool) dial(f flow, addr string) (*conn, core.End) {
	nc, err := p.openConn(f, addr)
	if err != nil {
		p.closed()
		return nil, core.EndNoConnect
	}
	c := &conn{Conn: nc, to: addr, peek: peekerOf(nc)}
	if p.opt.TLS != nil {
		host, _, _ := net.SplitHostPort(addr)
		conf := p.opt.TLS.Clone()
		if conf.ServerName == "" {
			conf.ServerName = host
		}
		t := tls.Client(nc, conf)
		nc.SetDeadline(earliest(f.By(), time.Now().Add(time.Duration(p.connectWait.Load()))))
		if t.Handshake() != nil {
			p.drop(c)
			return nil, core.EndNoConnect
		}
		c.Conn = t
	}
	c.in = bufio.NewReaderSize(c, 2048)
	return c, core.EndNone
}

// openConn opens a connection within the time that one may take to come up.
func (p *Pool) openConn(f flow, addr string) (net.Conn, error) {
	wait := time.Duration(p.connectWait.Load())
	if p.opt.Dial == nil {
		d := net.Dialer{Timeout: wait, Deadline: f.By(), KeepAlive: -1}
		return d.Dial("tcp", addr)
	}
	ctx, cancel := context.WithDeadline(context.Background(), earliest(f.By(), time.Now().Add(wait)))
	defer cancel()
	return p.opt.Dial(ctx, addr)
}

// Peeker is a connection that tells by itself whether anything has come that nobody has read, an end included, and how what
// comes in has ended, if it has.
type Peeker interface {
	Arrived() (anything bool, end error)
}

// socket tells what has come by the system's word, without reading it.
type socket struct{ raw syscall.RawConn }

// peekerOf gives the way to look at a connection, or nil where there is none.
func peekerOf(nc net.Conn) Peeker {
	if peek, ok := nc.(Peeker); ok {
		return peek
	}
	one, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := one.SyscallConn()
	if err != nil {
		return nil
	}
	return socket{raw}
}

// Arrived tells whether anything has come. The system tells of a reset once.
func (s socket) Arrived() (anything bool, end error) {
	err := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if anything = !errors.Is(err, syscall.EAGAIN); anything && err != nil {
			end = err
		}
		return true
	})
	return anything || err != nil, end
}

// stirred tells whether anything has come in that nobody has read, an end included.
func (c *conn) stirred() bool {
	if c.in.Buffered() > 0 {
		return true
	}
	if c.peek == nil {
		return false
	}
	anything, end := c.peek.Arrived()
	if end != nil {
		c.over = end // it is told once
	}
	return anything
}
