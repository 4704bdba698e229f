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

// TestMain makes the test's own program a gateway if the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("SPRUCELANE_TEST_SERVE") != "" {
		main()
	}
	os.Exit(m.Run())
}

// site runs the processes of one gateway: real ones, with a shared folder, one fake server and an agent that never
// answers.
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

// ready waits until the process is ready, as operators see it.
func (p *process) ready() {
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

func (p *process) says(text string) {
	require.Eventually(p.t, func() bool { return strings.Contains(p.lines.String(), text) }, time.Minute, 5*time.Millisecond, text)
}

func (p *process) term() {
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.ended:
		require.NoError(p.t, err)
	case <-time.After(time.Minute):
		require.Fail(p.t, "the process goes on after SIGTERM")
	}
}

// client sends requests without a pause, on a connection that it keeps until a response closes it, as the platform's
// clients do.
type client struct {
	site     *site
	conn     net.Conn
	in       *bufio.Reader
	n        int
	asked    map[string]int // by result
	refused  int            // connections that were refused, or closed with a request open
	customer int
}

func (c *client) ask() {
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
		c.leave()
		return
	}
	if c.asked[fmt.Sprint(resp.StatusCode)]++; resp.Close {
		c.leave()
	}
}

func (c *client) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load runs clients until the function that it returns is called, which returns their results.
func (s *site) load(clients int) func() (map[string]int, int) {
	stop, all := make(chan bool), sync.WaitGroup{}
	list := make([]*client, clients)
	for i := range list {
		c := &client{site: s, asked: map[string]int{}, customer: i + 1}
		list[i] = c
		all.Go(func() {
			defer c.leave()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(3+i) * time.Millisecond):
					c.ask()
				}
			}
		})
	}
	return func() (map[string]int, int) {
		close(stop)
		all.Wait()
		sum, refused := map[string]int{}, 0
		for _, c := range list {
			refused += c.refused
			for code, n := range c.asked {
				sum[code] += n
			}
		}
		return sum, refused
	}
}

// A successor takes over under load: no connection is refused, each request is answered, and the predecessor exits once
// all that it has accepted is answered. A drain outlives the upgrade.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.ready()
	begun, end := time.Now(), s.load(8)
	time.Sleep(400 * time.Millisecond) // until the customers' bursts are used up
	second := s.start()
	second.ready()
	first.says("step=given")
	first.term()
	second.says("step=alone")
	third := s.start()
	third.ready()
	second.term()
	time.Sleep(100 * time.Millisecond)
	answers, refused := end()
	assert.Zero(t, refused)
	assert.NotZero(t, answers["200"])
	for code := range answers {
		assert.Contains(t, []string{"200", "429"}, code)
	}
	most := 8 * (40 + time.Since(begun).Seconds()) // a burst of 40 and 1 a second of each customer; a few more are admitted by chance
	assert.Less(t, float64(answers["200"]), 1.3*most, "the three processes together keep to the quotas")
	resp, err := http.Post("http://"+third.control+"/drain", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	fourth := s.start()
	fourth.ready()
	third.term()
	resp, err = http.Get("http://" + s.host + ":8080/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	fourth.term()
}

// If a successor is killed, before or after it has taken over, the predecessor serves again, and the next successor
// takes over all the same. Two at once take over one after the other.
func TestSuccessorsThatDie(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.ready()
	second := s.start()
	second.ready()
	second.Process.Kill()
	first.says("step=taken_back")
	c := &client{site: s, asked: map[string]int{}, customer: 1}
	c.ask()
	assert.Equal(t, map[string]int{"200": 1}, c.asked)
	c.leave()
	third, fourth := s.start(), s.start()
	third.ready()
	fourth.ready()
	first.term()
	last := third
	if strings.Contains(third.lines.String(), "step=given") {
		last = fourth
		third.term()
	} else {
		fourth.term()
	}
	c.ask()
	assert.Equal(t, map[string]int{"200": 2}, c.asked)
	c.leave()
	last.term()
}

// A predecessor that hangs, or that was killed and left its socket file, doesn't keep a successor from serving.
func TestPredecessorsThatDontAnswer(t *testing.T) {
	s := newSite(t, fake.OK("done"))
	first := s.start()
	first.ready()
	require.NoError(t, first.Process.Signal(syscall.SIGSTOP))
	second := s.start()
	second.ready()
	second.says("step=alone")
	first.Process.Kill()
	<-first.ended
	second.Process.Kill()
	<-second.ended
	third := s.start()
	third.ready()
	c := &client{site: s, asked: map[string]int{}, customer: 1}
	c.ask()
	assert.Equal(t, map[string]int{"200": 1}, c.asked)
	c.leave()
	third.term()
}

// SIGTERM may arrive before the handover: the predecessor answers what it has accepted, and later connections wait
// for the successor.
func TestSuccessorOfOneThatEnds(t *testing.T) {
	s := newSite(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		time.Sleep(time.Second)
		return fake.OK("slow")(p, c, r)
	}, fake.OK("done"))
	first := s.start()
	first.ready()
	slow, quick := &client{site: s, asked: map[string]int{}, customer: 1}, &client{site: s, asked: map[string]int{}, customer: 2}
	var asked sync.WaitGroup
	asked.Go(slow.ask)
	require.Eventually(t, func() bool { return len(s.member.Seen()) == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	second := s.start()
	second.ready()
	quick.ask()
	asked.Wait()
	for _, c := range []*client{slow, quick} {
		assert.Equal(t, map[string]int{"200": 1}, c.asked)
		assert.Zero(t, c.refused)
		c.leave()
	}
	assert.NoError(t, <-first.ended)
	second.term()
}

// A process that has handed over still has the descriptors that its clients' last requests need, though it had no
// connection to a server open then.
func TestLastRequestsFindDescriptors(t *testing.T) {
	s := newSite(t, func(p *fake.Peer, c net.Conn, r fake.Seen) bool {
		time.Sleep(200 * time.Millisecond) // all requests are in flight
		return fake.OK("slow")(p, c, r)
	})
	first := s.start()
	first.ready()
	var clients []net.Conn
	var in []*bufio.Reader
	for i := range 4 { // the initial estimate of a server's capacity
		c, err := net.Dial("tcp", s.host+":8080")
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Minute))
		clients, in = append(clients, c), append(in, bufio.NewReader(c))
		fmt.Fprint(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") // so that the connection is this process's
		resp, err := http.ReadResponse(in[i], nil)
		require.NoError(t, err)
		io.Copy(io.Discard, resp.Body)
		fmt.Fprint(c, "POST /work-order/x HTTP/1.1\r\n") // a request has begun, so the connection is not idle
	}
	second := s.start()
	second.ready()
	first.says("step=given")
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
	first.term()
	second.term()
}

// Without the operators' address or a shared folder no socket for successors is opened.
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
		p.says("event=started")
		_, err := os.Stat(filepath.Join(s.dir, "sprucelane-n0.sock"))
		assert.ErrorIs(t, err, os.ErrNotExist, env)
		p.term()
		assert.NotContains(t, p.lines.String(), "handover")
	}
}
