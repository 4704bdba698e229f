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
	maxThinkTime = 80 * time.Millisecond // between a client's requests
	minDeadline  = 300 * time.Millisecond
	maxDeadline  = 4 * time.Second
	// responseSlack is the time beyond its deadline by which a request must have an end.
	responseSlack = time.Second
	// abandonProbability is the share of requests whose client closes the connection before the deadline.
	abandonProbability = 0.04
)

// client sends one request after another.
type client struct {
	name    string
	checker *Checker
	network *memorynet.Network
	random  *rand.Rand
	conn    *memorynet.Conn // nil: none is open
	reader  *bufio.Reader   // of conn
	sent    int
}

// run sends a number of requests.
func (c *client) run(requests int) {
	for range requests {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
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

// ensureConnection keeps a connection on which nothing has arrived, or opens another.
func (c *client) ensureConnection() bool {
	if c.conn != nil {
		if anything, _ := c.conn.Arrived(); !anything {
			return true
		}
		if n, _ := c.reader.Read(make([]byte, 1)); n > 0 {
			c.checker.Failf("%s: bytes where no request is pending", c.name)
		}
		c.disconnect()
	}
	conn, err := c.network.Dial(context.Background(), gateway)
	if err != nil {
		c.checker.Failf("%s: %v", c.name, err)
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

// newRequest returns a random request.
func (c *client) newRequest() *Request {
	c.sent++
	route := routes[c.random.IntN(len(routes))]
	r := &Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Route: route, Events: 1 + c.random.IntN(maxEvents)}
	r.Path = fmt.Sprintf("/%s/%x?q=%%2F", route, c.random.Uint32())
	r.Header = http.Header{
		"X-Model":         {"m"},
		"X-Token-Usage":   {fmt.Sprintf("%d,%d", c.random.IntN(900), r.Events)},
		"X-Prompt-Prefix": {fmt.Sprintf("%x:40,%x:7", c.random.IntN(5), c.random.Uint32())},
		"X-Request-Id":    {r.ID},
		"X-Other":         {"a", "b"},
		"Expect-Version":  {versions},
	}
	if route == routeResume && c.random.IntN(4) == 0 {
		r.AfterEvent = c.random.IntN(r.Events)
	}
	r.Body = requestBody(r.ID, randomBodyLength(c.random))
	return r
}

// exchange sends a request, and checks that it gets its response, or an end of the connection, in time.
func (c *client) exchange(r *Request) {
	deadline := minDeadline + time.Duration(c.random.Int64N(int64(maxDeadline-minDeadline)))
	if c.random.Float64() < abandonProbability {
		c.checker.Count(countAbandoned)
		conn := c.conn
		time.AfterFunc(time.Duration(c.random.Int64N(int64(deadline))), func() { conn.Close() })
	}
	began := time.Now()
	c.conn.SetDeadline(began.Add(deadline + responseSlack))
	c.checker.recordRequest(r)
	if _, err := c.conn.Write(c.requestHead(r, deadline)); err == nil {
		c.conn.Write(r.Body)
	}
	var got response
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		got.status, got.header = resp.StatusCode, resp.Header
		got.body, got.err = io.ReadAll(resp.Body)
		c.checker.checkResponse(r, got)
	}
	failure := errors.Join(err, got.err)
	var timeout net.Error
	switch {
	case failure == nil && !resp.Close:
		c.conn.SetDeadline(time.Time{})
		return
	case errors.As(failure, &timeout) && timeout.Timeout():
		c.checker.Failf("%s: no end %v after it was sent, with a deadline of %v", r.ID, time.Since(began), deadline)
	case err != nil && !connectionEnded(err):
		c.checker.Failf("%s: bytes that are no response: %v", r.ID, err)
	}
	c.disconnect()
}

// connectionEnded returns whether an error says that a connection ended.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		strings.Contains(err.Error(), "connection reset")
}

// requestHead returns the head of a request, with a tenant that the gateway must replace.
func (c *client) requestHead(r *Request, deadline time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b,
		"POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Tenant: forged\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		r.Path, Host, key, deadline.Milliseconds(), len(r.Body))
	if r.AfterEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", r.AfterEvent)
	}
	r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
