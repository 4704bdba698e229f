package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func (c *testClient) write(t *testing.T, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// openCount returns the number of connections that are neither closed nor lingering.
func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// The client's next request races with the close of its idle connection. The request is not served and
// lingering ends. The connection is not reset, because a reset could discard data in transit to the client.
func TestRequestRacesIdleClose(t *testing.T) {
	served := 0
	s, _ := serve(t, 9, func(http.ResponseWriter, *http.Request) { served++ })
	c := dial(t, s)
	c.send(t)
	c.readResponse(t)
	s.state.Drain(time.Now().Add(-time.Minute))
	require.Eventually(t, func() bool { return s.listener.openCount() == 0 }, time.Minute, time.Millisecond)
	for range 3 { // after a reset the second write would fail
		c.write(t, request)
	}
	_, err := c.in.ReadByte()
	assert.Equal(t, io.EOF, err)
	assert.Equal(t, 1, served)
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, time.Minute, time.Millisecond)
}

// The connection isn't reset either if a request races with a close by the idle timeout, or by the timeout for reading
// a head.
func TestRequestRacesTimeout(t *testing.T) {
	for _, begins := range []string{"", "GET"} {
		s, err := Listen(Options{Address: "127.0.0.1:0", MaxConnections: 9, MaxRequestDeadline: time.Minute},
			http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		require.NoError(t, err)
		s.httpServer.IdleTimeout, s.httpServer.ReadHeaderTimeout = 50*time.Millisecond, 50*time.Millisecond
		go s.Serve()
		t.Cleanup(s.Close)
		c := dial(t, s)
		c.send(t)
		c.readResponse(t)
		c.write(t, begins)
		require.Eventually(t, func() bool { return s.listener.openCount() == 0 }, time.Minute, time.Millisecond)
		time.Sleep(20 * time.Millisecond) // until lingering has begun
		for range 3 {
			c.write(t, request)
		}
		_, err = io.ReadAll(c.in)
		assert.NoError(t, err)
		require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, time.Minute, time.Millisecond)
	}
}

// The connection is closed between reading a request and recording that. The request is not passed to a handler, as
// its response could not be sent.
func TestRequestReadDuringClose(t *testing.T) {
	served := make(chan bool, 9)
	s, _ := serve(t, 9, func(http.ResponseWriter, *http.Request) { served <- true })
	c := dial(t, s)
	c.send(t)
	c.readResponse(t)
	<-served
	require.Eventually(t, func() bool { return s.listener.idleCount() == 1 }, time.Minute, time.Millisecond)
	read, proceed := make(chan bool), make(chan bool)
	s.listener.mu.Lock()
	s.listener.onRead = func() { read <- true; <-proceed }
	s.listener.mu.Unlock()
	c.send(t)
	<-read
	s.state.Drain(time.Now().Add(-time.Minute))
	require.Eventually(t, func() bool { return s.listener.openCount() == 0 }, time.Minute, time.Millisecond)
	close(proceed)
	go func() { // lingering reads call the hook too
		for range read {
		}
	}()
	_, err := c.in.ReadByte()
	assert.Equal(t, io.EOF, err)
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, time.Minute, time.Millisecond)
	assert.Empty(t, served)
}

// The connection is closed after the last response while more input arrives. The client gets the complete response,
// and no reset.
func TestLingeringCloseDeliversResponse(t *testing.T) {
	const size = 100 << 10
	taken, release := make(chan bool), make(chan bool)
	s, _ := serve(t, 9, func(w http.ResponseWriter, _ *http.Request) {
		taken <- true
		<-release
		io.WriteString(w, strings.Repeat("x", size))
	})
	c := dial(t, s)
	c.send(t)
	<-taken
	s.state.Drain(time.Now().Add(-time.Minute)) // so that the grace period has passed
	close(release)
	require.Eventually(t, func() bool { return s.listener.openCount() == 0 }, time.Minute, time.Millisecond)
	for range 3 {
		c.write(t, request)
	}
	resp, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NoError(t, err)
	assert.Len(t, body, size)
	assert.True(t, resp.Close)
	_, err = c.in.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// A client leaves while its request is handled, and has pipelined a part of another request or several ones. The
// handler is notified. If the client stays, the handler is not notified.
func TestClientGoneBehindPipelinedBytes(t *testing.T) {
	for name, disconnect := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"stays":  nil,
	} {
		for _, more := range []string{"G", request[:20], request + request, strings.Repeat(request, 300)} {
			handling, gone, release := make(chan bool, 500), make(chan bool, 500), make(chan bool)
			s, _ := serve(t, 9, func(_ http.ResponseWriter, r *http.Request) {
				handling <- true
				select {
				case <-r.Context().Done():
					gone <- true
				case <-release:
				}
			})
			c := dial(t, s)
			c.send(t)
			<-handling
			c.write(t, more)
			require.Eventually(t, func() bool { return s.listener.allRead() }, time.Minute, time.Millisecond,
				"the pipelined input was not read")
			if disconnect == nil {
				assert.Empty(t, gone, name)
				close(release)
				assert.Equal(t, len(more) > maxPipelinedKept, c.readResponse(t).Close, "discarded input can't be answered")
				continue
			}
			disconnect(c.Conn)
			select {
			case <-gone:
			case <-time.After(10 * time.Second):
				assert.Fail(t, "the handler was not notified", "%s after %d pipelined bytes", name, len(more))
				close(release)
			}
		}
	}
}

// allRead reports whether, on each connection, pipelined input was read and no input is unread.
func (l *listener) allRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.hasPipelined() || !c.nothingUnread() {
			return false
		}
	}
	return true
}

// Shutdown begins while a request is handled that has others pipelined after it. All are answered, in order, and
// only the last response has Connection: close.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	taken, release := make(chan bool, 9), make(chan bool)
	s, _ := serve(t, 9, func(w http.ResponseWriter, r *http.Request) {
		taken <- true
		<-release
		io.WriteString(w, r.URL.Path)
	})
	c := dial(t, s)
	c.send(t)
	<-taken
	c.write(t, strings.Replace(request, "/", "/b", 1)+strings.Replace(request, "/", "/c", 1))
	require.Eventually(t, func() bool { return s.listener.allRead() }, time.Minute, time.Millisecond)
	// The time is in the future, so that the grace period of idle connections can't have passed, also on a slow
	// machine.
	s.state.Shutdown(time.Now().Add(time.Minute), time.Hour)
	close(release)
	for _, want := range []string{"/", "/b", "/c"} {
		resp, err := http.ReadResponse(c.in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, want, string(body))
		assert.Equal(t, want == "/c", resp.Close, want)
	}
	_, err := c.in.ReadByte()
	assert.Equal(t, io.EOF, err)
}

// The read deadline passes while a request is handled that has another pipelined after it. Both are answered.
func TestReadTimeoutWithPipelinedRequest(t *testing.T) {
	taken, release := make(chan bool, 9), make(chan bool)
	s, _ := serve(t, 9, func(w http.ResponseWriter, r *http.Request) {
		taken <- true
		if r.URL.Path == "/" {
			<-release
			http.NewResponseController(w).SetReadDeadline(time.Now())
			time.Sleep(20 * time.Millisecond) // the pending read must neither spin nor lose a byte
		}
		io.WriteString(w, r.URL.Path)
	})
	var reads atomic.Int32
	s.listener.onRead = func() { reads.Add(1) }
	c := dial(t, s)
	c.send(t)
	<-taken
	c.write(t, strings.Replace(request, "/", "/b", 1))
	require.Eventually(t, func() bool { return s.listener.allRead() }, time.Minute, time.Millisecond)
	close(release)
	defer func() { assert.Less(t, reads.Load(), int32(50), "the pending read spins") }()
	for _, want := range []string{"/", "/b"} {
		resp, err := http.ReadResponse(c.in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, want, string(body))
	}
}

// The listener closes while connections wait in the backlog because the limit is reached. All of them are served.
func TestBacklogIsServedOnClose(t *testing.T) {
	taken, release := make(chan bool, 9), make(chan bool)
	s, done := serve(t, 1, func(http.ResponseWriter, *http.Request) { taken <- true; <-release })
	first := dial(t, s)
	first.send(t)
	<-taken
	var queue []*testClient
	for range 4 {
		c := dial(t, s)
		c.send(t)
		queue = append(queue, c)
	}
	s.state.Shutdown(time.Now().Add(-time.Second), time.Hour)
	require.Eventually(t, func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return s.listener.stopping
	}, time.Minute, time.Millisecond)
	time.Sleep(2 * backlogDrainTimeout) // longer than draining takes without waiting at the limit
	assert.Empty(t, done, "Serve has ended before the backlog was drained")
	close(release)
	for _, c := range append(queue, first) {
		assert.True(t, c.readResponse(t).Close)
	}
	require.NoError(t, <-done)
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 }, time.Minute, time.Millisecond)
}

// At the limit a connection with an unread request is not evicted.
func TestEvictionSparesUnreadRequest(t *testing.T) {
	port, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer port.Close()
	l := &listener{conns: map[*clientConn]bool{}}
	var idle net.Conn
	for i, input := range []string{request, "", ""} {
		far, err := net.Dial("tcp", port.Addr().String())
		require.NoError(t, err)
		defer far.Close()
		near, err := port.Accept()
		require.NoError(t, err)
		defer near.Close()
		l.conns[&clientConn{Conn: near, listener: l, state: http.StateIdle, stateSince: time.Unix(int64(i), 0)}] = true
		io.WriteString(far, input)
		if i == 1 {
			idle = near
		}
	}
	require.Eventually(t, func() bool { return l.longestInState(http.StateIdle, 0).Conn == idle }, time.Minute,
		time.Millisecond, "longest idle of the connections without unread input")
}
