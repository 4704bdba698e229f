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

// carrierFunc is a core.Carrier with which a test can interfere with an attempt.
type carrierFunc func(f *core.Attempt) (core.End, core.Answer)

func (c carrierFunc) Carry(f *core.Attempt) (core.End, core.Answer) { return c(f) }

func newTestPool(t *testing.T, maxConns int, carrier func(*Pool, *core.Attempt) (core.End, core.Answer),
	members ...*fake.Peer) (*Pool, func() core.Answer) {
	d := fake.Deployment()
	p := New(Options{MaxConnections: maxConns, StaleWindow: time.Minute, IdleTimeout: d.IdleTimeout,
		ConnectTimeout: d.ConnectTimeout})
	t.Cleanup(p.Close)
	c, err := core.New(d.Settings, 1, core.NewClock(),
		carrierFunc(func(f *core.Attempt) (core.End, core.Answer) { return carrier(p, f) }), nil)
	require.NoError(t, err)
	var list []policy.ServerInfo
	for i, m := range members {
		p.Set(policy.ServerID(i+1), m.Addr, policy.Ready)
		list = append(list, policy.ServerInfo{ID: policy.ServerID(i + 1), Weight: 1})
	}
	c.Servers(policy.ListFull, list)
	return p, func() core.Answer {
		return c.Serve(context.Background(), core.Request{Message: &Message{Method: "POST", Target: "/work-order", Host: "x"},
			Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 20*time.Second}})
	}
}

func carry(p *Pool, f *core.Attempt) (core.End, core.Answer) { return p.Carry(f) }

func (p *Pool) idle(id policy.ServerID) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*conn(nil), p.servers[id].idle...)
}

func TestConnectionIsReused(t *testing.T) {
	m := fake.New(t, fake.OK("a"))
	p, ask := newTestPool(t, 9, carry, m)
	for range 5 {
		assert.Equal(t, core.Served, ask().Kind)
	}
	assert.Equal(t, 1, m.Opened())
	assert.Equal(t, Stats{Reused: 4, Opened: 1, Open: 1, Idle: 1}, p.Stats())
}

// The server closes an idle connection. No request may be written on it afterwards, since it would count as
// possibly executed.
func TestCloseWhileIdleIsDetected(t *testing.T) {
	m := fake.New(t, fake.Then(fake.OK("a")))
	p, ask := newTestPool(t, 9, carry, m)
	require.Equal(t, core.Served, ask().Kind)
	require.Eventually(t, func() bool {
		idle := p.idle(1)
		return len(idle) == 0 || !p.reusable(idle[0]) // the close has arrived
	}, time.Minute, time.Millisecond)
	assert.Equal(t, core.Served, ask().Kind)
	assert.Len(t, m.Seen(), 2)
}

// Connections expire before the idle timeout of the server, not at the same time.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	m := fake.New(t, fake.OK("a"))
	p, ask := newTestPool(t, 9, carry, m)
	require.Equal(t, core.Served, ask().Kind)
	c := p.idle(1)[0]
	assert.True(t, p.reusable(c))
	c.idleSince = time.Now().Add(-p.options.IdleTimeout * 4 / 5)
	require.Equal(t, core.Served, ask().Kind)
	assert.Equal(t, 2, m.Opened())
}

// A server starts to drain while a connection to it is dialled. No byte is written on the connection, and the
// request is sent to another server.
func TestDrainWhileDialling(t *testing.T) {
	a, b := fake.New(t, fake.OK("a")), fake.New(t, fake.OK("b"))
	var drained policy.ServerID
	_, ask := newTestPool(t, 9, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
		if drained == 0 {
			drained = f.Server
			c, _ := p.idleOrDial(f, false)
			assert.NotNil(t, c)
			p.Set(f.Server, c.addr, policy.Draining)
			end, ok := p.recheck(f, c)
			assert.False(t, ok)
			p.discard(c)
			return end, core.Answer{}
		}
		return p.Carry(f)
	}, a, b)
	var seen, opened int
	assert.Equal(t, core.Served, ask().Kind)
	for i, m := range []*fake.Peer{a, b} {
		if policy.ServerID(i+1) == drained {
			seen, opened = len(m.Seen()), m.Opened()
		}
	}
	assert.Equal(t, 0, seen)
	assert.LessOrEqual(t, opened, 1)
}

// A server is removed while a connection to it is dialled. The attempt ends, and the process does not crash.
func TestRemovalWhileDialling(t *testing.T) {
	a := fake.New(t, fake.OK("a"))
	_, ask := newTestPool(t, 9, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
		c, _ := p.idleOrDial(f, false)
		if c == nil {
			return core.EndDrained, core.Answer{}
		}
		p.Set(f.Server, "", policy.Departed)
		end, ok := p.recheck(f, c)
		assert.False(t, ok)
		p.discard(c)
		return end, core.Answer{}
	}, a)
	assert.Equal(t, core.Refused, ask().Kind)
	assert.Empty(t, a.Seen())
}

// An endless head is cut off at the maximum size, long before the deadline of the attempt.
func TestHeadWithoutEnd(t *testing.T) {
	m := fake.New(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(c, "X-More: and more\r\n")
		}
		return false
	})
	_, ask := newTestPool(t, 9, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
		end, a := p.Carry(f)
		assert.Equal(t, core.EndReset, end)
		assert.Equal(t, 0, p.open)
		return end, a
	}, m)
	assert.Equal(t, core.Failed, ask().Kind)
}

// A reused connection that breaks at the next request is reported as stale, because that says nothing about the
// health of the server.
func TestStaleConnection(t *testing.T) {
	m := fake.New(t, fake.OK("a"), fake.Reset, fake.Reset)
	var ends []core.End
	_, ask := newTestPool(t, 9, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
		end, a := p.Carry(f)
		ends = append(ends, end)
		return end, a
	}, m)
	assert.Equal(t, core.Served, ask().Kind)
	assert.Equal(t, core.Failed, ask().Kind)
	assert.Equal(t, core.Failed, ask().Kind)
	assert.Equal(t, []core.End{core.EndServed, core.EndStale, core.EndReset}, ends)
}

// The estimator avoids an idle time at which connections break, for requests that are not idempotent from the
// first failure on, and uses it again after the counts have decayed.
func TestStalenessEstimator(t *testing.T) {
	var a stalenessEstimator
	old, young := 200*time.Millisecond, 20*time.Millisecond
	for range 100 {
		a.observe(young, false)
	}
	assert.False(t, a.likelyStale(old, "POST"))
	a.observe(old, true)
	assert.True(t, a.likelyStale(old, "POST"))
	assert.False(t, a.likelyStale(old, "GET"))
	a.observe(old, true)
	assert.True(t, a.likelyStale(old, "GET"))
	a.observe(young, true) // one failure in more than 100 requests
	assert.False(t, a.likelyStale(young, "POST"))
	a.decayedAt = a.decayedAt.Add(-3 * decayTimeConstant)
	assert.False(t, a.likelyStale(old, "POST"))
}

// The limit on connections is kept: an idle connection is closed to make room for a new one.
func TestDescriptorBudget(t *testing.T) {
	a, b := fake.New(t, fake.OK("a")), fake.New(t, fake.OK("b"))
	n := 0
	p, ask := newTestPool(t, 1, func(p *Pool, f *core.Attempt) (core.End, core.Answer) {
		n++
		f.Server = policy.ServerID(n%2 + 1)
		return p.Carry(f)
	}, a, b)
	for range 4 {
		require.Equal(t, core.Served, ask().Kind)
	}
	assert.Len(t, a.Seen(), 2)
	assert.Len(t, b.Seen(), 2)
	p.mu.Lock()
	assert.Equal(t, 1, p.open)
	p.mu.Unlock()
}

// After a refused connection a request that is not idempotent may be sent to another server, as nothing was sent.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := &fake.Peer{Addr: l.Addr().String()}
	l.Close()
	m := fake.New(t, fake.OK("b"))
	_, ask := newTestPool(t, 9, carry, dead, m)
	for range 6 {
		assert.Equal(t, core.Served, ask().Kind)
	}
	assert.Len(t, m.Seen(), 6)
}
