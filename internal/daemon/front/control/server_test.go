package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/service"
)

const callers = 16

func open(t *testing.T) (*Server, *service.State) {
	state := service.New()
	s, err := Listen("127.0.0.1:0", callers, state, func() bool { return true })
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() { s.Close(); assert.NoError(t, <-ended) })
	return s, state
}

func dial(t *testing.T, s *Server) net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return c
}

// call sends text on a new connection. It returns the status code and text of the answer, or code 0 if the connection
// ends without an answer.
func call(t *testing.T, s *Server, text string) (int, string) {
	c := dial(t, s)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	c.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	assert.True(t, resp.Close, "the connection must be closed after one call")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, strings.TrimSpace(string(body))
}

func TestCalls(t *testing.T) {
	s, state := open(t)
	ready := "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
	post := func(path string) string { return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" }
	for _, step := range []struct {
		before func()
		text   string
		code   int
		answer string
		phase  service.Phase
	}{
		{nil, ready, 503, "starting", service.Starting},
		{state.MarkStarted, ready, 200, "serving", service.Serving},
		{nil, post("/undrain"), 200, "serving", service.Serving},
		{nil, post("/drain"), 200, "draining", service.Draining},
		{nil, ready, 200, "draining", service.Draining},
		{nil, post("/drain"), 200, "draining", service.Draining},
		{nil, post("/undrain") + post("/drain"), 200, "serving", service.Serving}, // the second call is ignored
		{func() { state.Shutdown(time.Now(), time.Second) }, post("/undrain"), 503, "ending", service.ShuttingDown},
		{nil, ready, 503, "ending", service.ShuttingDown},
	} {
		if step.before != nil {
			step.before()
		}
		code, answer := call(t, s, step.text)
		assert.Equal(t, step.code, code, step.text)
		assert.Equal(t, step.answer, answer, step.text)
		assert.Equal(t, step.phase, state.Phase(), step.text)
	}
	assert.Equal(t, Stats{Ready: 4, Drain: 2, Undrain: 3}, s.Stats())
}

// A malformed or incomplete call gets an error, or no answer if its caller has disconnected, and changes no state.
func TestMalformedCalls(t *testing.T) {
	s, state := open(t)
	state.MarkStarted()
	for text, code := range map[string]int{
		"GET /drain HTTP/1.1\r\nHost: x\r\n\r\n":                                                      405,
		"POST /ready HTTP/1.1\r\nHost: x\r\n\r\n":                                                     405,
		"POST /drains HTTP/1.1\r\nHost: x\r\n\r\n":                                                    404,
		"POST / HTTP/1.1\r\nHost: x\r\n\r\n":                                                          404,
		"drain please\r\n\r\n":                                                                        400,
		"\x16\x03\x01\x00\xa5\x01\r\n\r\n":                                                            400,
		"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 1,2\r\n\r\n":                              400,
		"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nshort":                           400,
		"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000): 413,
		"POST /drain HTTP/1.1\r\nHost: x\r\n":                                                         400,
		"":                                                                                            0,
		"POST /drain HTTP/1.1\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n":                       431,
	} {
		got, _ := call(t, s, text)
		assert.Equal(t, code, got, "%.60q", text)
		assert.Equal(t, service.Serving, state.Phase(), "%.60q", text)
	}
}

// Callers that hold connections open with incomplete calls don't block other callers. They get no answer, and their
// calls take no effect.
func TestIdleCallersAreEvicted(t *testing.T) {
	s, state := open(t)
	state.MarkStarted()
	for range 5 * callers {
		_, err := io.WriteString(dial(t, s), "POST /drain HTTP/1.1\r\nHost: x\r\n")
		require.NoError(t, err)
	}
	code, _ := call(t, s, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Equal(t, 200, code)
	assert.Equal(t, service.Serving, state.Phase())
	assert.GreaterOrEqual(t, s.Stats().Evicted, uint64(4*callers))
	s.mu.Lock()
	assert.LessOrEqual(t, len(s.conns), callers)
	s.mu.Unlock()
}
