package pool

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// idleConn returns a connection that has been idle for the given time.
func idleConn(t *testing.T, idle time.Duration) *conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return &conn{Conn: near, idleSince: time.Now().Add(-idle)}
}

// TestEvictsLongestIdle checks that the connection with the longest idle time is closed. It isn't always the first in
// the list of its server, because a connection that was acquired and not used keeps its idle time.
func TestEvictsLongestIdle(t *testing.T) {
	p := New(Options{MaxConnections: 9, IdleTimeout: time.Hour, ConnectTimeout: time.Second})
	t.Cleanup(p.Close)
	first, longest, last := idleConn(t, time.Second), idleConn(t, time.Minute), idleConn(t, 2*time.Second)
	other := idleConn(t, 30*time.Second)
	p.servers[1] = &server{state: policy.Ready, idle: []*conn{first, longest, last}}
	p.servers[2] = &server{state: policy.Ready, idle: []*conn{other}}
	require.True(t, p.evictIdle())
	assert.Equal(t, []*conn{first, last}, p.servers[1].idle)
	require.True(t, p.evictIdle())
	assert.Empty(t, p.servers[2].idle)
	require.True(t, p.evictIdle())
	assert.Equal(t, []*conn{first}, p.servers[1].idle)
	require.True(t, p.evictIdle())
	assert.False(t, p.evictIdle())
}

// TestInterimResponses checks that both Exchange.ReadHead and readResponse find the final response after
// maxInterimResponses interim ones, and return an error after more.
func TestInterimResponses(t *testing.T) {
	p := New(Options{MaxConnections: 9, IdleTimeout: time.Hour, ConnectTimeout: time.Second})
	t.Cleanup(p.Close)
	for interim, found := range map[int]bool{0: true, maxInterimResponses: true, maxInterimResponses + 1: false} {
		text := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", interim) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		connect := func() *conn {
			c := &conn{Conn: &limitedConn{input: strings.NewReader(text)}, readLimit: maxHeadSize}
			c.reader = bufio.NewReader(c)
			return c
		}
		exchange := &Exchange{pool: p, conn: connect(), method: http.MethodGet}
		_, err := exchange.ReadHead(time.Now().Add(time.Minute))
		assert.Equal(t, found, err == nil, "%d interim responses: %v", interim, err)
		attempt := &core.Attempt{Until: time.Now().Add(time.Minute)}
		end, _, _ := connect().readResponse(p, attempt, &Message{Method: http.MethodGet})
		assert.Equal(t, found, end != core.EndReset, "%d interim responses: end %v", interim, end)
	}
}
