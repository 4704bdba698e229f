package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const drains = `{"generation":6,"reset":false,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"draining"}]}`

// A server begins to drain at the moment when the call that would report it fails. Whatever the failure is, the policy
// learns of the drain within updateDeadline.
func TestDrainIsToldThoughTheCallGoesWrong(t *testing.T) {
	for name, wrong := range map[string]http.HandlerFunc{
		"silent": stall,
		"reset": func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		},
		"refused": respondStatus(503),
		"cut":     respond("", drains[:40]),
		"no end": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, drains[:40])
			w.(http.Flusher).Flush()
			stall(w, r)
		},
		"not ours": respond("", "<html>"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, r := recordedMembership()
			had := make(chan time.Time, 1)
			addr, _ := agent(t, respond("", `{"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`),
				func(w http.ResponseWriter, r *http.Request) { had <- time.Now(); wrong(w, r) },
				respond("", drains))
			watch(t, func(ctx context.Context) {
				Watch(ctx, WatchStart{Addr: addr, Version: 4}, NewBackoff(1, 40*time.Second), r)
			})
			h.expect(t, "pool 1 h:1 0", "module 1: 1/2/0/0", "pool 1 h:1 2", "module 0: 1/2/2/0")
			assert.Less(t, time.Since(<-had), updateDeadline)
		})
	}
}

// The agent restarts, counts its versions from the beginning, and has passed the held version when it is called next.
// The whole list is requested, because the agent's changes since that version are not the changes since the held list.
func TestAgentThatStartsAgain(t *testing.T) {
	h, r := recordedMembership()
	ends := make(chan bool)
	first, _ := agent(t, respond("", `{"generation":5,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`),
		func(_ http.ResponseWriter, r *http.Request) { close(ends); <-r.Context().Done() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr, broken := l.Addr().String(), make(chan bool)
	go func() { // forwards connections to the first agent until it ends
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go relay(c, first, broken)
		}
	}()
	watch(t, func(ctx context.Context) { Watch(ctx, WatchStart{Addr: addr, Version: 4}, NewBackoff(1, 0), r) })
	h.expect(t, "pool 1 h:1 0", "module 1: 1/2/0/0")
	<-ends
	l.Close()
	close(broken)
	require.Eventually(t, func() bool { return r.Calls().Unanswered >= 2 }, time.Minute, time.Millisecond, "one lost, one refused")
	asked := make(chan string, 9)
	next := &httptest.Server{Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RequestURI()
		if len(asked) > 1 {
			stall(w, r)
			return
		}
		fmt.Fprint(w, `{"generation":9,"reset":true,"instances":[]}`)
	})}}
	require.Eventually(t, func() bool { next.Listener, err = net.Listen("tcp", addr); return err == nil }, time.Minute, time.Millisecond)
	next.Start()
	t.Cleanup(next.Close)
	h.expect(t, "pool 1 h:1 1", "module 1:")
	assert.Equal(t, "/v1/endpoints", <-asked)
}

// relay forwards a connection in both directions until broken is closed.
func relay(c net.Conn, to string, broken chan bool) {
	up, err := net.Dial("tcp", to)
	if err != nil {
		c.Close()
		return
	}
	go func() { <-broken; c.Close(); up.Close() }()
	go io.Copy(c, up)
	io.Copy(up, c)
}

// A late answer to a call that was in flight when a reload changed the source has no effect.
func TestLateAnswerOfASourceThatWasLeft(t *testing.T) {
	h, r := recordedMembership()
	asked, late, answered := make(chan bool), make(chan bool), make(chan bool)
	addr, _ := agent(t, respond("", `{"generation":5,"reset":true,"instances":[]}`),
		func(w http.ResponseWriter, _ *http.Request) {
			close(asked)
			<-late
			fmt.Fprint(w, strings.Replace(drains, "draining", "up", 1))
			close(answered)
		})
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { Watch(ctx, WatchStart{Addr: addr, Version: 4}, NewBackoff(1, 0), r); close(ended) }()
	h.expect(t, "module 1:")
	<-asked
	leave()
	<-ended
	close(late)
	<-answered
	assert.Empty(t, h)
	assert.Equal(t, uint64(5), r.Version())
}
