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

func (p *Pool) connect(a attempt, addr string) (*conn, core.End) {
	raw, err := p.dialTransport(a, addr)
	if err != nil {
		p.noteClosed()
		return nil, core.EndNoConnect
	}
	c := &conn{Conn: raw, addr: addr, peeker: newPeeker(raw)}
	if p.options.TLS != nil {
		host, _, _ := net.SplitHostPort(addr)
		config := p.options.TLS.Clone()
		if config.ServerName == "" {
			config.ServerName = host
		}
		tlsConn := tls.Client(raw, config)
		raw.SetDeadline(earliest(a.By(), time.Now().Add(time.Duration(p.connectTimeout.Load()))))
		if tlsConn.Handshake() != nil {
			p.discard(c)
			return nil, core.EndNoConnect
		}
		c.Conn = tlsConn
	}
	c.reader = bufio.NewReaderSize(c, 2048)
	return c, core.EndNone
}

// openConn opens a connection within the time that one may take to come up.
func (p *Pool) dialTransport(a attempt, addr string) (net.Conn, error) {
	timeout := time.Duration(p.connectTimeout.Load())
	if p.options.Dial == nil {
		dialer := net.Dialer{Timeout: timeout, Deadline: a.By(), KeepAlive: -1}
		return dialer.Dial("tcp", addr)
	}
	ctx, cancel := context.WithDeadline(context.Background(), earliest(a.By(), time.Now().Add(timeout)))
	defer cancel()
	return p.options.Dial(ctx, addr)
}

// Peeker is a connection that tells by itself whether anything has come that nobody has read, an end included, and how what
// comes in has ended, if it has.
type Peeker interface {
	Arrived() (anything bool, end error)
}

// socket tells what has come by the system's word, without reading it.
type socketPeeker struct{ raw syscall.RawConn }

// peekerOf gives the way to look at a connection, or nil where there is none.
func newPeeker(conn net.Conn) Peeker {
	if peeker, ok := conn.(Peeker); ok {
		return peeker
	}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	return socketPeeker{raw}
}

// Arrived tells whether anything has come. The system tells of a reset once.
func (s socketPeeker) Arrived() (anything bool, end error) {
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
func (c *conn) hasUnread() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if c.peeker == nil {
		return false
	}
	anything, end := c.peeker.Arrived()
	if end != nil {
		c.readErr = end // it is told once
	}
	return anything
}
