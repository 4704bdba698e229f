// Package fake owns the scripted peers that the tests talk to over loopback: pool members and introspection
// endpoints, written from the protocols' own text. It must never be linked into the program.
package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/config"
	"sprucelane.example/sprucelane/internal/daemon/logging"
	"sprucelane.example/sprucelane/policy"
)

// Seen is one request that reached a peer whole.
type Seen struct {
	*http.Request
	Text string // its body
}

// Reply answers one request, and tells whether the connection goes on.
type Reply func(p *Peer, c net.Conn, r Seen) bool

// Peer is a server that answers by a script.
type Peer struct {
	Addr     string
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	script  []Reply
	seen    []Seen
	opened  int
	handled sync.WaitGroup
}

// New starts a peer on loopback that ends with the test. Each request takes the next reply; the last one stays.
func New(t testing.TB, script ...Reply) *Peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Addr: l.Addr().String(), listener: l, done: make(chan struct{}), script: script}
	t.Cleanup(func() { l.Close(); close(p.done); p.handled.Wait() })
	p.handled.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.opened++
			p.mu.Unlock()
			p.handled.Go(func() { p.serve(c) })
		}
	})
	return p
}

func (p *Peer) serve(c net.Conn) {
	defer c.Close()
	ended := make(chan struct{})
	defer close(ended)
	p.handled.Go(func() { // a connection left open must not outlive the test
		select {
		case <-p.done:
			c.Close()
		case <-ended:
		}
	})
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		seen := Seen{r, string(body)}
		p.mu.Lock()
		reply := p.script[min(len(p.seen), len(p.script)-1)]
		p.seen = append(p.seen, seen)
		p.mu.Unlock()
		if !reply(p, c, seen) {
			return
		}
	}
}

// Seen gives the requests that came whole.
func (p *Peer) Seen() []Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Seen(nil), p.seen...)
}

// Opened counts the connections taken.
func (p *Peer) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Says answers with a status, header lines, each with its line end, and a body.
func Says(code int, header, body string) Reply {
	return func(_ *Peer, c net.Conn, _ Seen) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", code, header, len(body), body)
		return err == nil
	}
}

// OK answers 200.
func OK(body string) Reply { return Says(http.StatusOK, "", body) }

// NotRun turns a request away as the protocol does.
func NotRun() Reply { return Says(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "") }

// Reset takes a request and breaks the connection.
func Reset(_ *Peer, c net.Conn, _ Seen) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// Stall takes a request and says nothing for so long, or for the rest of the test.
func Stall(d time.Duration) Reply {
	return func(p *Peer, _ net.Conn, _ Seen) bool {
		select {
		case <-p.done:
		case <-time.After(d):
		}
		return false
	}
}

// Then answers and closes the connection.
func Then(r Reply) Reply {
	return func(p *Peer, c net.Conn, s Seen) bool { r(p, c, s); return false }
}

// Deployment is a small one: a class of each kind, a plan that never refuses and one gateway.
func Deployment() config.Deployment {
	second := time.Second
	return config.Deployment{Settings: policy.Settings{Gateways: 1, Tick: 2 * time.Millisecond, MaxAttempts: 4,
		MaxRetryAfter: second, MaxUnits: 8, Cancel: true,
		Classes: []policy.Class{
			{Name: "health-read", LatencyTarget: 2 * second, Deadline: 20 * second, Value: 1},
			{Name: "work-order", LatencyTarget: 2 * second, Deadline: 20 * second, Idempotency: policy.NotIdempotent, Value: 3},
			{Name: "meter-batch", LatencyTarget: 2 * second, Deadline: 20 * second, Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeCell,
				DedupWindow: 8 * second, Value: 2}},
		Plans: []policy.Plan{{Name: "utility", Rate: 1e6, Burst: 1e6, ValueMultiplier: 1}, {Name: "tiny", Rate: 0.001, Burst: 2,
			ValueMultiplier: 1, OverQuotaCost: 1}}},
		IdleTimeout: 30 * second, ConnectTimeout: 5 * second}
}

var asked atomic.Uint64

// Ask puts a client's request as the platform words it, with further headers, and gives the answer and its body.
func Ask(t testing.TB, base, class, plan string, waitMs int, header ...string) (*http.Response, string) {
	method, body := http.MethodGet, ""
	if class != "health-read" {
		method, body = http.MethodPost, "crew=7"
	}
	r, err := http.NewRequest(method, base+"/"+class+"/site%2F9?unit=4", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range map[string]string{"X-Request-Id": fmt.Sprintf("%016x", asked.Add(1)), "X-Class": class, "X-Tariff": plan,
		"X-Subscriber": "00000000b4d65521", "X-Deadline-Ms": fmt.Sprint(waitMs), "X-Weight": "units=2,spread=1,first=0"} {
		r.Header.Set(key, value)
	}
	if class == "meter-batch" {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", asked.Load()))
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return Do(t, r)
}

// Form posts a form with credentials.
func Form(t testing.TB, target, id, secret string, form url.Values) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodPost, target, bytes.NewBufferString(form.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if id != "" {
		r.SetBasicAuth(id, secret)
	}
	return Do(t, r)
}

// Do sends a request once on a connection of its own and reads the answer whole.
func Do(t testing.TB, r *http.Request) (*http.Response, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(text)
}

// Lines holds log lines that are read while others are written.
type Lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Log makes the program's log lines go to new Lines until the test ends.
func Log(t testing.TB) *Lines {
	l := &Lines{}
	if err := logging.Set(l, "text", "info"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logging.Set(os.Stderr, "text", "info") })
	return l
}

func (l *Lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *Lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
