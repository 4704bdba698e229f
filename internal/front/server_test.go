package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func serve(t *testing.T, maxConns int, h http.HandlerFunc) (*Server, chan error) {
	s, err := Listen(Options{Address: "127.0.0.1:0", MaxConnections: maxConns, MaxRequestDeadline: time.Minute}, h)
	require.NoError(t, err)
	s.state.MarkStarted()
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(s.Close)
	return s, done
}

func dial(t *testing.T, s *Server) *testClient {
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

// testClient is the connection of a client, with a reader of its input.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

func (c *testClient) send(t *testing.T) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
}

func (c *testClient) readResponse(t *testing.T) *http.Response {
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp
}

// At shutdown all accepted requests are answered, and so are those on connections that are opened shortly
// afterwards. Each response is marked as the last one of its connection.
func TestShutdownAnswersAllAccepted(t *testing.T) {
	taken, release := make(chan bool, 2), make(chan bool)
	s, done := serve(t, 9, func(http.ResponseWriter, *http.Request) { taken <- true; <-release })
	old := dial(t, s)
	old.send(t)
	<-taken
	s.state.Shutdown(time.Now(), time.Minute)
	late := dial(t, s)
	late.send(t)
	<-taken
	require.NoError(t, <-done, "the port is closed, the two requests are still open")
	assert.Equal(t, 2, s.OpenConnections())
	close(release)
	for _, c := range []*testClient{old, late} {
		resp := c.readResponse(t)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
	}
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, time.Minute, time.Millisecond)
	_, err := net.Dial("tcp", s.Addr())
	assert.Error(t, err)
}

// While the server drains, each response is the last one of its connection, also if the request began before the
// drain. A request within the grace period is answered. Then idle connections are closed, including new ones on
// which nothing was sent, but not one on which a request has begun to arrive, however slowly. After the drain
// connections stay open again.
func TestDrain(t *testing.T) {
	taken, release := make(chan bool, 1), make(chan bool)
	s, _ := serve(t, 9, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			taken <- true
			<-release
		}
	})
	idle, active, long, unused, slow := dial(t, s), dial(t, s), dial(t, s), dial(t, s), dial(t, s)
	for _, c := range []*testClient{idle, active, slow} {
		c.send(t)
		assert.False(t, c.readResponse(t).Close)
	}
	io.WriteString(long, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	<-taken
	io.WriteString(slow, "GET / HTTP/1.1\r\nHo")
	require.Eventually(t, func() bool { return s.listener.requestsBegun() == 2 }, time.Minute, time.Millisecond)
	s.state.Drain(time.Now())
	active.send(t)
	assert.True(t, active.readResponse(t).Close)
	for _, c := range []*testClient{active, idle, unused} {
		_, err := c.in.ReadByte()
		assert.Equal(t, io.EOF, err)
	}
	io.WriteString(slow, "st: x\r\n\r\n")
	assert.True(t, slow.readResponse(t).Close)
	close(release)
	assert.True(t, long.readResponse(t).Close)
	late := dial(t, s)
	late.send(t)
	assert.True(t, late.readResponse(t).Close, "new connections are served")
	s.state.Undrain()
	again := dial(t, s)
	for range 2 {
		again.send(t)
		assert.False(t, again.readResponse(t).Close)
	}
}

// At the limit on connections the one that has been idle for the longest is evicted, because for their clients
// connections in the backlog are already accepted.
func TestIdleConnectionIsEvicted(t *testing.T) {
	s, _ := serve(t, 2, func(http.ResponseWriter, *http.Request) {})
	var first *testClient
	for i := range 3 {
		c := dial(t, s)
		c.send(t)
		assert.Equal(t, http.StatusOK, c.readResponse(t).StatusCode)
		if i == 0 {
			first = c
		}
		require.Eventually(t, func() bool { return s.listener.idleCount() == min(i+1, 2) }, time.Minute, time.Millisecond)
	}
	_, err := first.in.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// At the limit, connections that have sent nothing are evicted too: a large number of them must not keep out
// requests.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s, _ := serve(t, 3, func(http.ResponseWriter, *http.Request) {})
	for range 9 {
		dial(t, s)
	}
	c := dial(t, s)
	c.send(t)
	assert.Equal(t, http.StatusOK, c.readResponse(t).StatusCode)
}

func (l *listener) requestsBegun() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.requestBegun {
			n++
		}
	}
	return n
}

func (l *listener) idleCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state == http.StateIdle {
			n++
		}
	}
	return n
}

// When connections arrive faster than they can be served, those that are not admitted are reset before any byte is
// read, and don't count towards the limit. The others are served.
func TestAdmit(t *testing.T) {
	var arrived, served atomic.Int32
	s, err := Listen(Options{Address: "127.0.0.1:0", MaxConnections: 64, MaxRequestDeadline: time.Minute,
		Admit: func() bool { return arrived.Add(1)%10 == 0 }},
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	require.NoError(t, err)
	go s.Serve()
	t.Cleanup(s.Close)
	answered := 0
	for range 500 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil { // reset before the dial returned
			continue
		}
		c.SetDeadline(time.Now().Add(time.Minute))
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") // fails if it was reset
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			answered++
			resp.Body.Close()
		}
		c.Close()
	}
	assert.Equal(t, 50, answered)
	assert.Equal(t, int32(50), served.Load())
}
