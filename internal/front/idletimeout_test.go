package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pipeListener is a listener whose connections are in-memory pipes, so that tests can run in virtual time.
type pipeListener struct {
	conns chan net.Conn
	ended context.Context
	end   context.CancelFunc
}

func newPipeListener() *pipeListener {
	p := &pipeListener{conns: make(chan net.Conn)}
	p.ended, p.end = context.WithCancel(context.Background())
	return p
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended.Done():
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { p.end(); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() *testClient {
	near, far := net.Pipe()
	p.conns <- far
	return &testClient{near, bufio.NewReader(near)}
}

// The next request of a client that was idle for four fifths of the current timeout is answered, also on a
// connection that was opened before the timeout changed. A connection that is idle for longer than the timeout is
// closed.
func TestIdleTimeoutFunc(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		port, allowed := newPipeListener(), atomic.Int64{}
		allowed.Store(int64(15 * time.Second))
		options := Options{Listener: port, MaxConnections: 9, MaxRequestDeadline: time.Minute, IdleTimeout: 15 * time.Second,
			IdleTimeoutFunc: func() time.Duration { return time.Duration(allowed.Load()) }}
		s, err := Listen(options, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		require.NoError(t, err)
		s.state.MarkStarted()
		go s.Serve()
		defer s.Close()
		c := port.dial()
		for _, seconds := range []int{15, 60, 5, 150} {
			c.send(t)
			assert.False(t, c.readResponse(t).Close)
			allowed.Store(int64(time.Duration(seconds) * time.Second))
			time.Sleep(time.Duration(seconds) * time.Second * 4 / 5)
		}
		c.send(t)
		c.readResponse(t)
		began := time.Now()
		_, err = c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.InDelta(t, 150, time.Since(began).Seconds(), 1)
	})
}
