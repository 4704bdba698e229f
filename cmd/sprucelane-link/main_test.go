package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/cli"
	"sprucelane.example/sprucelane/internal/daemon/knowledge"
	"sprucelane.example/sprucelane/internal/daemon/knowledge/pipe"
)

// gateway is the gateway's end of an exchange.
type gateway struct {
	t    *testing.T
	conn *pipe.Conn
	out  io.Closer
}

func start(t *testing.T, name string, own []knowledge.Observation, peers ...string) *gateway {
	in, toChild := io.Pipe()
	fromChild, out := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- exchange(context.Background(), in, out); out.Close() }()
	g := &gateway{t, pipe.New(fromChild, toChild), toChild}
	t.Cleanup(func() {
		toChild.Close()
		go io.Copy(io.Discard, fromChild)
		assert.NoError(t, <-done)
	})
	require.NoError(t, g.conn.Send(pipe.Hello{Me: knowledge.Observer{Name: name, Birth: 1}, Listen: "127.0.0.1:0", Peers: peers, Plain: true}))
	require.NoError(t, g.conn.Send(pipe.State{Own: own}))
	return g
}

func (g *gateway) receive() (n pipe.Update) {
	g.t.Helper()
	require.NoError(g.t, g.conn.Receive(&n))
	return n
}

func observations(stalled string) (list []knowledge.Observation) {
	for _, id := range []string{"m-1", "m-2", "m-3", "m-4"} {
		s := knowledge.Observation{Life: knowledge.Life{Instance: id, StartedMs: 1764590400000}, Answered: -1, Warmth: 0.5}
		if stalled != "" {
			if s.Answered, s.Pace, s.Answers = 0, 1, 9; id == stalled {
				s.Answered, s.Lost, s.Stalled = 5*time.Second, 3, 4*time.Second
			}
		}
		list = append(list, s)
	}
	return list
}

// The link programs of two gateways exchange knowledge, end to end: the observations of the first gateway are priors of
// the second by the time the second reports the end of its initial sync. The knowledge command prints them.
func TestExchange(t *testing.T) {
	a := start(t, "g0", observations("m-2"))
	addr := a.receive().Addr
	b := start(t, "g1", observations(""), addr)
	var n pipe.Update
	for n = b.receive(); !n.Learnt; n = b.receive() {
		require.NoError(t, b.conn.Send(pipe.State{Own: observations("")}))
	}
	for len(n.Priors) < 4 { // the answer to a state sent before the peer's picture arrived may come first
		require.NoError(t, b.conn.Send(pipe.State{Own: observations("")}))
		n = b.receive()
	}
	assert.True(t, n.Priors[1].Suspect)
	assert.False(t, n.Priors[0].Suspect)

	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		root := newRootCommand(func(string) string { return "" })
		root.SetArgs(append([]string{"knowledge"}, args...))
		root.SetOut(&out)
		return cli.Main(root, func(err error) { out.WriteString(err.Error()) }), out.String()
	}
	code, text := run("--peer", addr, "--plain")
	assert.Zero(t, code)
	assert.Regexp(t, `m-2 +\S+ \S+ +g0 +0 `, text)
	code, text = run("--peer", addr, "--plain", "--json")
	assert.Zero(t, code)
	var fact struct {
		Instance string
		Lost     int
	}
	require.NoError(t, json.Unmarshal([]byte(strings.Split(text, "\n")[1]), &fact))
	assert.Equal(t, "m-2", fact.Instance)
	assert.Equal(t, 3, fact.Lost)
	for _, c := range []struct {
		args []string
		want string
		code int
	}{{nil, "peer", cli.ExitUsage}, {[]string{"--peer", addr}, "cert_file", cli.ExitUsage}, {[]string{"--peer", "127.0.0.1:1", "--plain"}, "127.0.0.1:1", 1}} {
		code, text = run(c.args...)
		assert.Equal(t, c.code, code, c.want)
		assert.Contains(t, text, c.want)
	}
}
