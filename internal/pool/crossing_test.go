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

// A keyed request's first attempt is reset, and the connection for the next comes up when the window for repeats is over: not
// a byte goes out on it, though it was chosen in time. The client hears at once that it failed.
func TestConnectedAfterRetryWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	m := fake.New(t, fake.Reset, fake.OK("again"))
	p := New(Options{MaxConnections: 9, StaleWindow: time.Minute, IdleTimeout: time.Minute, ConnectTimeout: time.Minute})
	t.Cleanup(p.Close)
	c, err := core.New(policy.Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3,
		Classes: []policy.Class{{Aim: time.Second, Deadline: time.Minute, Worth: 1, Effect: policy.Keyed, Window: window}},
		Plans:   []policy.Plan{{Price: 1}}}, 1, core.NewClock(), p, nil)
	require.NoError(t, err)
	p.Set(1, m.Addr, policy.Ready)
	c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
	first, flows := time.Time{}, 0
	p.onConnected = func(*core.Flow) {
		if flows++; flows == 1 {
			first = time.Now()
			return
		}
		time.Sleep(time.Until(first.Add(window)))
	}
	a := c.Serve(context.Background(), core.Request{Message: &Message{Method: "POST", Target: "/set", Host: "x"},
		Request: policy.Request{Units: 1, SetSize: 1, Deadline: c.Now() + 20*time.Second}})
	assert.Equal(t, core.Failed, a.Kind)
	assert.Equal(t, 2, flows)
	assert.Len(t, m.Seen(), 1)
	assert.Contains(t, c.Counters().String(), "ended_lapsed=1")
}

// What nobody asked for comes on a kept connection, or its end, in the moment in which that has been chosen: a whole answer,
// half a line of one, a close. Nothing is written there, and nobody takes it for an answer; a new connection has the request.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	for name, event := range map[string]func(net.Conn){
		"a second answer": func(c net.Conn) { io.WriteString(c, okHead+"Content-Length: 5\r\n\r\nother") },
		"half a line":     func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"a close":         func(c net.Conn) { c.Close() },
		"a reset":         func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
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
		p.onConnected = func(f *core.Flow) {
			if attempts++; attempts == 1 {
				event(<-conns)
				// It is on loopback, and so it is there; whoever looks now would see it.
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

// A connection comes up when its attempt has no use for it any more: its client has left, the process gives all up, or its
// member is to get nothing new. Not a byte goes out, and the connection is there for the next, unless the member drains.
func TestConnectedAfterCancellation(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(p *Pool, c *core.Core, leave func())
		kind    core.AnswerKind
		kept    int
	}{
		"the client left":  {func(_ *Pool, _ *core.Core, leave func()) { leave() }, core.Gone, 1},
		"all was given up": {func(_ *Pool, c *core.Core, _ func()) { c.GiveUp() }, core.Failed, 1},
		"its member drains": {func(p *Pool, c *core.Core, _ func()) {
			p.Set(1, "127.0.0.1:1", policy.Draining)
			c.Servers(policy.ListChanges, []policy.ServerInfo{{ID: 1, State: policy.Draining}})
		}, core.Refused, 0},
	} {
		m := fake.New(t, fake.OK("late"))
		d := fake.Deployment()
		p := New(Options{MaxConnections: 9, StaleWindow: time.Minute, IdleTimeout: d.ConnIdle, ConnectTimeout: d.ConnectWait})
		t.Cleanup(p.Close)
		c, err := core.New(d.Settings, 1, core.NewClock(), p, nil)
		require.NoError(t, err)
		p.Set(1, m.Addr, policy.Ready)
		c.Servers(policy.ListFull, []policy.ServerInfo{{ID: 1, Weight: 1}})
		ctx, leave := context.WithCancel(context.Background())
		answered, on := make(chan bool), make(chan bool)
		p.onConnected = func(*core.Flow) {
			test.happens(p, c, leave)
			if test.kind != core.Refused { // which comes of this flow's end
				<-answered
			}
			close(on)
		}
		a := c.Serve(ctx, core.Request{Message: &Message{Method: "POST", Target: "/work-order", Host: "x"},
			Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 2*time.Second}})
		close(answered)
		<-on
		assert.Equal(t, test.kind, a.Kind, name)
		require.Eventually(t, func() bool { n := p.Stats(); return n.Idle == test.kept && n.Open == test.kept }, time.Minute,
			time.Millisecond, name)
		assert.Empty(t, m.Seen(), name)
		leave()
	}
}
