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
	maxBody            = 100 << 10 // bytes
	maxEvents          = 14
	minDeadline        = 300 * time.Millisecond
	maxDeadline        = 4 * time.Second
	responseSlack      = time.Second // beyond the deadline
	abandonProbability = 0.04
)

// client sends one request after another.
type client struct {
	name    string
	checker *Checker
	network *memorynet.Network
	random  *rand.Rand
	conn    *memorynet.Conn // nil: none is open
	reader  *bufio.Reader
	sent    int
}

// run sends so many requests.
func (c *client) run(requests int) {
	for range requests {
		time.Sleep(time.Duration(c.random.Int64N(int64(80 * time.Millisecond))))
		if !c.ensureConnection() {
			continue
		}
		c.exchange(c.newRequest())
		if c.conn != nil && c.random.IntN(2) == 0 {
			c.disconnect()
		}
	}
	if c.conn != nil {
		c.disconnect()
	}
}

// open makes sure of a connection on which nothing has come.
func (c *client) ensureConnection() bool {
	if c.conn != nil {
		if anything, _ := c.conn.Arrived(); !anything {
			return true
		}
		if n, _ := c.reader.Read(make([]byte, 1)); n > 0 {
			c.checker.failf("%s: bytes where no request waits", c.name)
		}
		c.disconnect()
	}
	conn, err := c.network.Dial(context.Background(), gateway)
	if err != nil {
		c.checker.failf("%s: %v", c.name, err)
		return false
	}
	c.conn = conn.(*memorynet.Conn)
	c.reader = bufio.NewReader(c.conn)
	return true
}

func (c *client) disconnect() {
	c.conn.Close()
	c.conn = nil
}

// try makes up a request.
func (c *client) newRequest() *Request {
	c.sent++
	route := routes[c.random.IntN(len(routes))]
	t := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Route: route, Events: 1 + c.random.IntN(maxEvents)}
	t.Path = fmt.Sprintf("/%s/%x?q=%%2F", route, c.random.Uint32())
	t.Header = http.Header{"X-Model": {"m"}, "X-Token-Usage": {fmt.Sprintf("%d,%d", c.random.IntN(900), t.Events)},
		"X-Prompt-Prefix": {fmt.Sprintf("%x:40,%x:7", c.random.IntN(5), c.random.Uint32())}, "X-Request-Id": {t.ID}, "X-Other": {"a", "b"}, "Expect-Version": {versions}}
	if route == routeResume && c.random.IntN(4) == 0 {
		t.AfterEvent = c.random.IntN(t.Events)
	}
	t.Body = requestBody(t.ID, randomBodyLength(c.random))
	return t
}

// lengthOf draws the length of a body.
func randomBodyLength(r *rand.Rand) int {
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
func requestBody(id string, length int) []byte {
	var b bytes.Buffer
	for b.Len() < length {
		fmt.Fprintf(&b, "<%s at %d>", id, b.Len())
	}
	return b.Bytes()[:length]
}

// ask sends a request and holds that what comes is its answer, in time.
func (c *client) exchange(t *Request) {
	wait := minDeadline + time.Duration(c.random.Int64N(int64(maxDeadline-minDeadline)))
	if c.random.Float64() < abandonProbability {
		c.checker.count("clients that left")
		conn := c.conn
		time.AfterFunc(time.Duration(c.random.Int64N(int64(wait))), func() { conn.Close() })
	}
	began := time.Now()
	c.conn.SetDeadline(began.Add(wait + responseSlack))
	c.checker.recordRequest(t)
	if _, err := c.conn.Write(c.requestHead(t, wait)); err == nil {
		c.conn.Write(t.Body)
	}
	var heard response
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		heard.status, heard.header = resp.StatusCode, resp.Header
		heard.body, heard.err = io.ReadAll(resp.Body)
		c.checker.checkResponse(t, heard)
	}
	failure := errors.Join(err, heard.err)
	var timeout net.Error
	switch {
	case failure == nil && !resp.Close:
		c.conn.SetDeadline(time.Time{})
		return
	case errors.As(failure, &timeout) && timeout.Timeout():
		c.checker.failf("%s: no end %v after it was sent, with %v to wait", t.ID, time.Since(began), wait)
	case err != nil && !connectionEnded(err):
		c.checker.failf("%s: bytes that are no answer: %v", t.ID, err)
	}
	c.disconnect()
}

// cutOff tells whether an error says that a connection ended.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		strings.Contains(err.Error(), "connection reset")
}

func (c *client) requestHead(t *Request, wait time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Tenant: forged\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		t.Path, Host, key, wait.Milliseconds(), len(t.Body))
	if t.AfterEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", t.AfterEvent)
	}
	t.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
