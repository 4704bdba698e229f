package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/fake"
)

// TestMain runs the test binary as a gateway if SPRUCELANE_TEST_SERVE is set.
func TestMain(m *testing.M) {
	if os.Getenv("SPRUCELANE_TEST_SERVE") != "" {
		main()
	}
	os.Exit(m.Run())
}

// site runs the processes of one gateway, as real processes with a shared folder, one fake server and a discovery agent
// that never answers.
type site struct {
	t      *testing.T
	dir    string
	host   string
	config string
	member *fake.Peer
	n      int
}

var sites atomic.Int32

func newSite(t *testing.T, script ...fake.Reply) *site {
	s := &site{t: t, dir: t.TempDir(), host: fmt.Sprintf("127.%d.%d.%d", 128+sites.Add(1)%64, os.Getpid()>>8&255, os.Getpid()&255)}
	s.member = fake.New(t, script...)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(agent.Close)
	s.config = filepath.Join(s.dir, "config.json")
	s.write(`{"name":"n0","listen":"` + s.host + `:8080","discovery":"` + strings.TrimPrefix(agent.URL, "http://") + `","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"peer_listen":"` + s.host + `:7946","peers":["` + s.host + `:7946"],
		"known":{"generation":4,"reset":true,"instances":[{"instanceId":"a","hostPort":"` + s.member.Addr + `","lifecycle":"up"}]},
		"settings":{"group_size":1,"tick":2000000,"allowed":{"max_attempts":4,"peers":true},
		"services":[{"name":"work-order","objective":5000000000,"give_up":20000000000,"effect":"single_shot","worth":3}],
		"tiers_of_service":[{"name":"utility","rate":1,"depth":40,"price":1,"beyond_costs":1}]}}`)
	return s
}

func (s *site) write(text string) { require.NoError(s.t, os.WriteFile(s.config, []byte(text), 0o600)) }

// process is one process of the gateway.
type process struct {
	*exec.Cmd
	t       *testing.T
	control string
	lines   *fake.Lines
	ended   chan error
}

func (s *site) start() *process {
	s.n++
	p := &process{Cmd: exec.Command(os.Args[0]), t: s.t, control: fmt.Sprintf("%s:%d", s.host, 9090+s.n), lines: &fake.Lines{},
		ended: make(chan error, 1)}
	p.Env = append(os.Environ(), "SPRUCELANE_TEST_SERVE=1", "ROUTER_CONFIG="+s.config, "ROUTER_CONTROL="+p.control, "TMPDIR="+s.dir)
	p.Stdout, p.Stderr = p.lines, p.lines
	require.NoError(s.t, p.Start())
	go func() { p.ended <- p.Wait() }()
	s.t.Cleanup(func() {
		p.Process.Kill()
		if s.t.Failed() {
			s.t.Logf("process %d:\n%s", p.Process.Pid, p.lines)
		}
	})
	return p
}

// waitUntilReady waits until the process reports at its control address that it is ready.
func (p *process) waitUntilReady() {
	require.Eventually(p.t, func() bool {
		c, err := net.Dial("tcp", p.control)
		if err != nil {
			return false
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}, time.Minute, 5*time.Millisecond)
}

func (p *process) waitForLog(text string) {
	require.Eventually(p.t, func() bool { return strings.Contains(p.lines.String(), text) }, time.Minute, 5*time.Millisecond, text)
}

func (p *process) terminate() {
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.ended:
		require.NoError(p.t, err)
	case <-time.After(time.Minute):
		require.Fail(p.t, "the process goes on after SIGTERM")
	}
}

// client sends requests one after the other, on a connection that it keeps until a response closes it, as the
// platform's clients do.
type client struct {
	site      *site
	conn      net.Conn
	in        *bufio.Reader
	n         int
	responses map[string]int // number of responses by status code
	refused   int            // connections that were refused, or closed with a request open
	customer  int
}

func (c *client) send() {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.site.host+":8080")
		if err != nil {
			c.refused++
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.n++
	c.conn.SetDeadline(time.Now().Add(time.Minute))
	fmt.Fprintf(c.conn, "POST /work-order/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d-%d\r\nX-Class: work-order\r\nX-Tariff: utility\r\n"+
		"X-Subscriber: %016x\r\nX-Deadline-Ms: 20000\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 1\r\n\r\nx", c.customer, c.n, c.customer)
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		c.refused++
		c.disconnect()
		return
	}
	if c.responses[fmt.Sprint(resp.StatusCode)]++; resp.Close {
		c.disconnect()
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load runs clients until the returned function is called. That function returns the number of responses by status
// code, and the number of refused connections.
func (s *site) load(clients int) func() (map[string]int, int) {
	stop, running := make(chan bool), sync.WaitGroup{}
	list := make([]*client, clients)
	for i := range list {
		c := &client{site: s, responses: map[string]int{}, customer: i + 1}
		list[i] = c
		running.Go(func() {
			defer c.disconnect()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(3+i) * time.Millisecond):
					c.send()
				}
			}
		})
	}
	return func() (map[string]int, int) {
		close(stop)
		running.Wait()
		sum, refused := map[string]int{}, 0
		for _, c := range list {
			refused += c.refused
			for code, n := range c.responses {
				sum[code] += n
			}
		}
		return sum, refused
	}
}

// A successor takes over under load: no connection is refused, each request is answered, and the predecessor exits once
// it has answered all requests that it accepted. A drained gateway is still drained after an upgrade.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.waitUntilReady()
	start, stopLoad := time.Now(), s.load(8)
	time.Sleep(400 * time.Millisecond) // until the customers' bursts are used up
	second := s.start()
	second.waitUntilReady()
	first.waitForLog("step=given")
	first.terminate()
	second.waitForLog("step=alone")
	third := s.start()
	third.waitUntilReady()
	second.terminate()
	time.Sleep(100 * time.Millisecond)
	responses, refused := stopLoad()
	assert.Zero(t, refused)
	assert.NotZero(t, responses["200"])
	for code := range responses {
		assert.Contains(t, []string{"200", "429"}, code)
	}
	quota := 8 * (40 + time.Since(start).Seconds()) // a burst of 40 and 1 a second of each customer; a few more are admitted by chance
	assert.Less(t, float64(responses["200"]), 1.3*quota, "the three processes together keep to the quotas")
	resp, err := http.Post("http://"+third.control+"/drain", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	fourth := s.start()
	fourth.waitUntilReady()
	third.terminate()
	resp, err = http.Get("http://" + s.host + ":8080/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	fourth.terminate()
}

// If a successor is killed, before or after it has taken over, the predecessor serves again, and the next
// successor can still take over. Two successors that start at the same time take over one after the other.
func TestKilledSuccessor(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.waitUntilReady()
	second := s.start()
	second.waitUntilReady()
	second.Process.Kill()
	first.waitForLog("step=taken_back")
	c := &client{site: s, responses: map[string]int{}, customer: 1}
	c.send()
	assert.Equal(t, map[string]int{"200": 1}, c.responses)
	c.disconnect()
	third, fourth := s.start(), s.start()
	third.waitUntilReady()
	fourth.waitUntilReady()
	first.terminate()
	last := third
	if strings.Contains(third.lines.String(), "step=given") {
		last = fourth
		third.terminate()
	} else {
		fourth.terminate()
	}
	c.send()
	assert.Equal(t, map[string]int{"200": 2}, c.responses)
	c.disconnect()
	last.terminate()
}

// A predecessor that hangs, or that was killed and left its socket file behind, doesn't keep a successor from serving.
func TestUnresponsivePredecessor(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.waitUntilReady()
	require.NoError(t, first.Process.Signal(syscall.SIGSTOP))
	second := s.start()
	second.waitUntilReady()
	second.waitForLog("step=alone")
	first.Process.Kill()
	<-first.ended
	second.Process.Kill()
	<-second.ended
	third := s.start()
	third.waitUntilReady()
	c := &client{site: s, responses: map[string]int{}, customer: 1}
	c.send()
	assert.Equal(t, map[string]int{"200": 1}, c.responses)
	c.disconnect()
	third.terminate()
}

// If SIGTERM arrives before the handover, the predecessor answers the requests that it has accepted, and the successor
// serves later connections, which wait until it is ready.
func TestHandoverDuringShutdown(t *testing.T) {
	s := newSite(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		time.Sleep(time.Second)
		return fake.OK("slow")(p, c, r)
	}, fake.OK("done"))
	first := s.start()
	first.waitUntilReady()
	slow, quick := &client{site: s, responses: map[string]int{}, customer: 1}, &client{site: s, responses: map[string]int{}, customer: 2}
	var responses sync.WaitGroup
	responses.Go(slow.send)
	require.Eventually(t, func() bool { return len(s.member.Seen()) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	second := s.start()
	second.waitUntilReady()
	quick.send()
	responses.Wait()
	for _, c := range []*client{slow, quick} {
		assert.Equal(t, map[string]int{"200": 1}, c.responses)
		assert.Zero(t, c.refused)
		c.disconnect()
	}
	assert.NoError(t, <-first.ended)
	second.terminate()
}

// A process that has handed over still has the descriptors that its clients' last requests need, even if it had no
// connection to a server open at the handover.
func TestLastRequestsFindDescriptors(t *testing.T) {
	s := newSite(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		time.Sleep(200 * time.Millisecond) // all requests are in flight
		return fake.OK("slow")(p, c, r)
	})
	first := s.start()
	first.waitUntilReady()
	var clients []net.Conn
	var in []*bufio.Reader
	for i := range 4 { // the initial estimate of a server's capacity
		c, err := net.Dial("tcp", s.host+":8080")
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Minute))
		clients, in = append(clients, c), append(in, bufio.NewReader(c))
		fmt.Fprint(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") // so that the first process has accepted the connection
		resp, err := http.ReadResponse(in[i], nil)
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		fmt.Fprint(c, "POST /work-order/x HTTP/1.1\r\n") // begins a request, so that the connection is not idle
	}
	second := s.start()
	second.waitUntilReady()
	first.waitForLog("step=given")
	for i, c := range clients {
		fmt.Fprintf(c, "Host: x\r\nX-Request-Id: %d\r\nX-Class: work-order\r\nX-Tariff: utility\r\nX-Subscriber: %016x\r\n"+
			"X-Deadline-Ms: 20000\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 1\r\n\r\nx", i, i+1)
	}
	for i := range clients {
		resp, err := http.ReadResponse(in[i], nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.True(t, resp.Close)
	}
	first.terminate()
	second.terminate()
}

// Without the control address or a shared folder no socket for successors is opened.
func TestNoUpgradesWithoutControl(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	for _, env := range []string{"ROUTER_CONTROL=", "TMPDIR="} {
		p := s.start()
		p.Process.Kill()
		<-p.ended
		p = &process{Cmd: exec.Command(os.Args[0]), t: t, lines: &fake.Lines{}, ended: make(chan error, 1)}
		p.Env = append(os.Environ(), "SPRUCELANE_TEST_SERVE=1", "ROUTER_CONFIG="+s.config, "ROUTER_CONTROL="+s.host+":9080", "TMPDIR="+s.dir, env)
		p.Stderr = p.lines
		require.NoError(t, os.RemoveAll(filepath.Join(s.dir, "sprucelane-n0.sock")))
		require.NoError(t, p.Start())
		go func() { p.ended <- p.Wait() }()
		p.waitForLog("event=started")
		_, err := os.Stat(filepath.Join(s.dir, "sprucelane-n0.sock"))
		assert.ErrorIs(t, err, os.ErrNotExist, env)
		p.terminate()
		assert.NotContains(t, p.lines.String(), "handover")
	}
}
