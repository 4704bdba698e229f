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

// pipes is a port whose clients come over pipes in memory, on the clock of a test.
type pipes struct {
	come  chan net.Conn
	ended context.Context
	end   context.CancelFunc
}

func newPipes() *pipes {
	p := &pipes{come: make(chan net.Conn)}
	p.ended, p.end = context.WithCancel(context.Background())
	return p
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.come:
		return c, nil
	case <-p.ended.Done():
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.end(); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() *caller {
	near, far := net.Pipe()
	p.come <- far
	return &caller{near, bufio.NewReader(near)}
}

// A client that rests for up to four fifths of what the operator allows now has its next request answered, on a connection from
// before that changed as well; one that rests for longer than allowed is closed.
func TestRestFollowsTheOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		port, allowed := newPipes(), atomic.Int64{}
		allowed.Store(int64(15 * time.Second))
		s, err := Listen(Options{Listener: port, MaxConnections: 9, MaxRequestDeadline: time.Minute, IdleTimeout: 15 * time.Second,
			IdleTimeoutFunc: func() time.Duration { return time.Duration(allowed.Load()) }}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		require.NoError(t, err)
		s.state.MarkStarted()
		go s.Serve()
		defer s.Close()
		c := port.dial()
		for _, seconds := range []int{15, 60, 5, 150} {
			c.ask(t)
			assert.False(t, c.answer(t).Close)
			allowed.Store(int64(time.Duration(seconds) * time.Second))
			time.Sleep(time.Duration(seconds) * time.Second * 4 / 5)
		}
		c.ask(t)
		c.answer(t)
		began := time.Now()
		_, err = c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.InDelta(t, 150, time.Since(began).Seconds(), 1)
	})
}
