package pool

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/fake"
	"sprucelane.example/sprucelane/policy"
)

// The first attempt of a request with an idempotency key is reset, and the connection of the second is
// established only after the window for retries has passed. No byte is written on it, although the attempt was
// started in time, and the request fails at once.
func TestConnectedAfterRetryWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	m := fake.New(t, fake.Reset, fake.OK("again"))
	p := New(Options{MaxConnections: 9, StaleWindow: time.Minute, IdleTimeout: time.Minute, ConnectTimeout: time.Minute})
	t.Cleanup(p.Close)
	c, err := core.New(policy.Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3,
		Classes: []policy.Class{{LatencyTarget: time.Second, Deadline: time.Minute, Value: 1,
			Idempotency: policy.IdempotentByKey, DedupWindow: window}},
		Plans: []policy.Plan{{ValueMultiplier: 1}}}, 1, core.NewClock(), p, nil)
	require.NoError(t, err)
	p.Set(1, m.Addr, policy.Ready)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
	first, attempts := time.Time{}, 0
	p.onConnected = func(*core.Attempt) {
		if attempts++; attempts == 1 {
			first = time.Now()
			return
		}
		time.Sleep(time.Until(first.Add(window)))
	}
	a := c.Serve(context.Background(), core.Request{Message: &Message{Method: "POST", Target: "/set", Host: "x"},
		Request: policy.Request{Units: 1, SetSize: 1, Deadline: c.Now() + 20*time.Second}})
	assert.Equal(t, core.Failed, a.Kind)
	assert.Equal(t, 2, attempts)
	assert.Len(t, m.Seen(), 1)
	assert.Contains(t, c.Counters().String(), "ended_lapsed=1")
}

// Unsolicited input arrives on an idle connection right after it was acquired: a complete response, a part of a
// status line, a close or a reset. The request must not be written on it, nor the input be taken for its
// response; the request is sent on a new connection.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	for name, event := range map[string]func(net.Conn){
		"a second response": func(c net.Conn) { io.WriteString(c, okHead+"Content-Length: 5\r\n\r\nother") },
		"half a line":       func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"a close":           func(c net.Conn) { c.Close() },
		"a reset":           func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		conns := make(chan net.Conn, 2)
		m := fake.New(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
			conns <- c
			_, err := io.WriteString(c, okHead+"Content-Length: 3\r\n\r\nown")
			return err == nil
		})
		p, ask := newTestPool(t, 9, carry, m)
		require.Equal(t, core.Served, ask().Kind, name)
		attempts := 0
		p.onConnected = func(f *core.Attempt) {
			if attempts++; attempts == 1 {
				event(<-conns)
				// Over loopback the input has arrived by now, and a peek would detect it.
			}
		}
		a := ask()
		assert.Equal(t, core.Served, a.Kind, name)
		assert.Equal(t, "own", string(a.Body), name)
		assert.Len(t, m.Seen(), 2, name)
		assert.Equal(t, 2, m.Opened(), name)
		assert.Equal(t, Stats{Opened: 2, OpenedAfterStale: 1, Open: 1, Idle: 1}, p.Stats(), name)
	}
}

// A connection is established after its attempt was cancelled: the client has left, the process shuts down, or
// the server drains. No byte is written, and the connection is kept for the next request unless the server
// drains.
func TestConnectedAfterCancellation(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(p *Pool, c *core.Core, leave func())
		kind    core.AnswerKind
		kept    int
	}{
		"the client left": {func(_ *Pool, _ *core.Core, leave func()) { leave() }, core.ClientGone, 1},
		"shutdown":        {func(_ *Pool, c *core.Core, _ func()) { c.Shutdown() }, core.Failed, 1},
		"the server drains": {func(p *Pool, c *core.Core, _ func()) {
			p.Set(1, "127.0.0.1:1", policy.Draining)
			c.Servers(policy.ListChanges, []policy.ServerInfo{{ID: 1, State: policy.Draining}})
		}, core.Refused, 0},
	} {
		m := fake.New(t, fake.OK("late"))
		d := fake.Deployment()
		p := New(Options{MaxConnections: 9, StaleWindow: time.Minute,
			IdleTimeout: d.IdleTimeout, ConnectTimeout: d.ConnectTimeout})
		t.Cleanup(p.Close)
		c, err := core.New(d.Settings, 1, core.NewClock(), p, nil)
		require.NoError(t, err)
		p.Set(1, m.Addr, policy.Ready)
		c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
		ctx, leave := context.WithCancel(context.Background())
		answered, hookDone := make(chan bool), make(chan bool)
		p.onConnected = func(*core.Attempt) {
			test.happens(p, c, leave)
			if test.kind != core.Refused { // with Refused, the answer is given only after this attempt has ended
				<-answered
			}
			close(hookDone)
		}
		a := c.Serve(ctx, core.Request{Message: &Message{Method: "POST", Target: "/work-order", Host: "x"},
			Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 2*time.Second}})
		close(answered)
		<-hookDone
		assert.Equal(t, test.kind, a.Kind, name)
		require.Eventually(t, func() bool { n := p.Stats(); return n.Idle == test.kept && n.Open == test.kept }, time.Minute,
			time.Millisecond, name)
		assert.Empty(t, m.Seen(), name)
		leave()
	}
}
