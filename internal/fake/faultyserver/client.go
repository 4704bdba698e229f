package faultyserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

const (
	maxBody      = 100 << 10 // bytes
	mostEvents   = 14
	leastTime    = 300 * time.Millisecond
	mostTime     = 4 * time.Second
	answerSlack  = time.Second // beyond the deadline
	leavingShare = 0.04
)

// client sends one request after another.
type client struct {
	name    string
	audit   *Audit
	network *memorynet.Network
	r       *rand.Rand
	conn    *memorynet.Conn // nil: none is open
	in      *bufio.Reader
	next    int
}

// run sends so many requests.
func (c *client) run(requests int) {
	for range requests {
		time.Sleep(time.Duration(c.r.Int64N(int64(80 * time.Millisecond))))
		if !c.open() {
			continue
		}
		c.ask(c.try())
		if c.conn != nil && c.r.IntN(2) == 0 {
			c.leave()
		}
	}
	if c.conn != nil {
		c.leave()
	}
}

// open makes sure of a connection on which nothing has come.
func (c *client) open() bool {
	if c.conn != nil {
		if anything, _ := c.conn.Arrived(); !anything {
			return true
		}
		if n, _ := c.in.Read(make([]byte, 1)); n > 0 {
			c.audit.failf("%s: bytes where no request waits", c.name)
		}
		c.leave()
	}
	conn, err := c.network.Dial(context.Background(), gateway)
	if err != nil {
		c.audit.failf("%s: %v", c.name, err)
		return false
	}
	c.conn = conn.(*memorynet.Conn)
	c.in = bufio.NewReader(c.conn)
	return true
}

func (c *client) leave() {
	c.conn.Close()
	c.conn = nil
}

// try makes up a request.
func (c *client) try() *Try {
	c.next++
	route := routes[c.r.IntN(len(routes))]
	t := &Try{ID: fmt.Sprintf("%s-%d", c.name, c.next), Route: route, Events: 1 + c.r.IntN(mostEvents)}
	t.Path = fmt.Sprintf("/%s/%x?q=%%2F", route, c.r.Uint32())
	t.Header = http.Header{"X-Model": {"m"}, "X-Token-Usage": {fmt.Sprintf("%d,%d", c.r.IntN(900), t.Events)},
		"X-Prompt-Prefix": {fmt.Sprintf("%x:40,%x:7", c.r.IntN(5), c.r.Uint32())}, "X-Request-Id": {t.ID}, "X-Other": {"a", "b"}, "Expect-Version": {versions}}
	if route == routeResume && c.r.IntN(4) == 0 {
		t.After = c.r.IntN(t.Events)
	}
	t.Body = bodyOf(t.ID, lengthOf(c.r))
	return t
}

// lengthOf draws the length of a body.
func lengthOf(r *rand.Rand) int {
	switch r.IntN(10) {
	case 0:
		return 0
	case 1, 2, 3, 4:
		return r.IntN(200)
	case 5, 6, 7:
		return r.IntN(8 << 10)
	default:
		return r.IntN(maxBody)
	}
}

// bodyOf gives a body of which each piece tells whose it is and where it stands.
func bodyOf(id string, length int) []byte {
	var b bytes.Buffer
	for b.Len() < length {
		fmt.Fprintf(&b, "<%s at %d>", id, b.Len())
	}
	return b.Bytes()[:length]
}

// ask sends a request and holds that what comes is its answer, in time.
func (c *client) ask(t *Try) {
	wait := leastTime + time.Duration(c.r.Int64N(int64(mostTime-leastTime)))
	if c.r.Float64() < leavingShare {
		c.audit.count("clients that left")
		conn := c.conn
		time.AfterFunc(time.Duration(c.r.Int64N(int64(wait))), func() { conn.Close() })
	}
	began := time.Now()
	c.conn.SetDeadline(began.Add(wait + answerSlack))
	c.audit.sent(t)
	if _, err := c.conn.Write(c.head(t, wait)); err == nil {
		c.conn.Write(t.Body)
	}
	var heard answer
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		heard.status, heard.header = resp.StatusCode, resp.Header
		heard.body, heard.err = io.ReadAll(resp.Body)
		c.audit.answered(t, heard)
	}
	failure := errors.Join(err, heard.err)
	var timeout net.Error
	switch {
	case failure == nil && !resp.Close:
		c.conn.SetDeadline(time.Time{})
		return
	case errors.As(failure, &timeout) && timeout.Timeout():
		c.audit.failf("%s: no end %v after it was sent, with %v to wait", t.ID, time.Since(began), wait)
	case err != nil && !cutOff(err):
		c.audit.failf("%s: bytes that are no answer: %v", t.ID, err)
	}
	c.leave()
}

// cutOff tells whether an error says that a connection ended.
func cutOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		strings.Contains(err.Error(), "connection reset")
}

func (c *client) head(t *Try, wait time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Tenant: forged\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		t.Path, Host, key, wait.Milliseconds(), len(t.Body))
	if t.After > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", t.After)
	}
	t.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
