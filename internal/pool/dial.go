package pool

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"sprucelane.example/sprucelane/internal/core"
)

// connect dials a server, with TLS if configured. The caller has counted the connection as open; connect
// decrements the count if it fails.
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
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, core.EndNone
}

// dialTransport opens a connection within the connect timeout and the deadline of the attempt.
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
