package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/fake"
)

// SIGTERM must not be lost among other signals. It arrives twice, among more other signals than their channel has room
// for, while the process blocks reading its configuration from a pipe without a writer. The process still shuts down,
// and open requests are answered first.
func TestShutdownAmongOtherSignals(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	s := newSite(t, func(_ *fake.Peer, c net.Conn, _ fake.Seen) bool {
		close(received)
		<-release
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsent")
		return err == nil
	})
	p := s.start()
	p.waitUntilReady()
	got := make(chan string, 1)
	go func() {
		_, body := fake.Ask(t, "http://"+s.host+":8080", "work-order", "utility", 20000)
		got <- body
	}()
	<-received
	pipe := filepath.Join(s.dir, "pipe")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	require.NoError(t, os.Rename(s.config, s.config+".old"))
	require.NoError(t, os.Rename(pipe, s.config)) // reading it blocks until something opens it for writing
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { // opening for writing succeeds once the process blocks reading the pipe
		f, err := os.OpenFile(s.config, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err != nil {
			return false
		}
		for range 20 {
			p.Process.Signal(syscall.SIGUSR1)
			p.Process.Signal(syscall.SIGHUP)
			time.Sleep(time.Millisecond) // so that each is delivered, and not merged with the next
		}
		p.Process.Signal(syscall.SIGTERM)
		p.Process.Signal(syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, os.Rename(s.config+".old", s.config)) // for later reloads
		return f.Close() == nil
	}, time.Minute, time.Millisecond)
	close(release)
	assert.Equal(t, "sent", <-got)
	select {
	case err := <-p.ended:
		assert.NoError(t, err)
	case <-time.After(time.Minute):
		assert.Fail(t, "the process goes on after SIGTERM")
	}
	p.waitForLog("event=reload_failed")
}

// Idle clients must not use up the descriptors that discovery and requests need. Idle clients hold all connections that
// clients may have, and discovery doesn't answer. Once discovery answers again, its update takes effect within 6 s, and
// a client's request is served.
func TestIdleClientsHoldTheDescriptors(t *testing.T) {
	s := newSite(t, fake.OK("old"))
	next := fake.New(t, fake.OK("new"))
	var answering atomic.Bool
	agent := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answering.Load() || r.URL.Query().Get("after") != "4" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation":5,"reset":false,"instances":[{"instanceId":"a","hostPort":%q,"lifecycle":"removed"},
			{"instanceId":"b","hostPort":%q,"lifecycle":"up"}]}`, s.member.Addr, next.Addr)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go agent.Serve(listener)
	t.Cleanup(func() { agent.Close() })
	text, err := os.ReadFile(s.config)
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), `"discovery":"`)
	old, _, _ := strings.Cut(rest, `"`)
	s.write(strings.NewReplacer(old, listener.Addr().String(), `"sockets":256`, `"sockets":64`).Replace(string(text)))
	p := s.start()
	p.waitUntilReady()
	fdDir := fmt.Sprintf("/proc/%d/fd", p.Process.Pid)
	for range 200 { // more than the limit, so some are evicted in favor of later ones
		c, err := net.Dial("tcp", s.host+":8080")
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	_, body := fake.Ask(t, "http://"+s.host+":8080", "work-order", "utility", 20000)
	assert.Equal(t, "old", body)
	openFiles, err := os.ReadDir(fdDir)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(openFiles), 64)
	answeringSince := time.Now()
	answering.Store(true)
	require.Eventually(t, func() bool {
		_, body := fake.Ask(t, "http://"+s.host+":8080", "work-order", "utility", 20000)
		return body == "new"
	}, time.Minute, 300*time.Millisecond)
	assert.Less(t, time.Since(answeringSince), 6*time.Second)
	openFiles, err = os.ReadDir(fdDir)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(openFiles), 64)
	p.terminate()
}
