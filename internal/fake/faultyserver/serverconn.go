package faultyserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

const (
	// peerTimeout is how long a server waits for what its peer does.
	peerTimeout = 20 * time.Second
	// breakTimeout is how long it waits for the byte of a request at which it breaks: the request may be shorter.
	breakTimeout = 30 * time.Millisecond
	// readBufferBytes is small, so that most of a body isn't read before a plan says so.
	readBufferBytes = 512
)

// serverConn is one connection to a server.
type serverConn struct {
	*server
	instanceID   string // of the incarnation that accepted it
	conn         *memorynet.Conn
	reader       *bufio.Reader
	random       *rand.Rand
	idleTimeout  time.Duration // until the next request; 0: none
	lastResponse string        // the last one that told where it ends
	strayArrival time.Time     // when the peer could see stray bytes that came since; zero: none came
	closedReason string        // why nothing may follow on this connection; empty: something may
}

func (s *server) serve(conn *memorynet.Conn, random *rand.Rand) {
	c := &serverConn{
		server:     s,
		instanceID: s.addConn(conn),
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, readBufferBytes),
		random:     random,
	}
	for c.exchange() {
	}
	conn.Close()
}

// exchange serves one request, and returns whether the connection stays open.
func (c *serverConn) exchange() bool {
	if !c.awaitRequest() {
		return false
	}
	p := c.nextPlan()
	if p.breakRequestAt >= 0 {
		c.breakRequest(&p)
		return false
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		c.checkReadError(err)
		return false
	}
	request := c.checker.checkArrival(r)
	if request == nil {
		return false
	}
	if r.Header.Get("X-Expect-Instance") != c.instanceID {
		return c.rejectMisdirected(r, request)
	}
	toRead := len(request.Body)
	if p.respondEarly {
		c.checker.Count(countEarlyResponses)
		toRead = int(p.earlyBodyShare * float64(toRead))
	}
	read, err := c.readBody(r.Body, request, 0, toRead)
	if read < toRead {
		c.checkReadError(err)
		return false
	}
	if !c.respond(&p, request, r.Header) {
		return false
	}
	if toRead < len(request.Body) && !c.readRest(&p, r.Body, request, toRead) {
		return false
	}
	return c.afterResponse(&p)
}

// nextPlan returns the plan for the next request: the script's, or a random one.
func (c *serverConn) nextPlan() faultPlan {
	if c.script != nil {
		return c.script.next()
	}
	return randomPlan(c.random, c.faultRate)
}

// awaitRequest waits for the first byte of a request. It checks that the request may have been sent: the peer
// must not have seen stray bytes on the connection, nor that the server is drained.
func (c *serverConn) awaitRequest() bool {
	c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if c.idleTimeout > 0 {
		c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout))
	}
	if c.reader.Buffered() > 0 { // it came together with the rest of the last body
		c.strayArrival = time.Time{}
		return true
	}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.random.IntN(4) == 0 {
		c.conn.Reset(false)
	}
	if err != nil {
		return false
	}
	if sentAt := c.conn.LastReadSentAt(); !c.strayArrival.IsZero() && sentAt.After(c.strayArrival) {
		c.checker.Failf("a request was sent on a connection on which stray bytes had arrived")
	}
	if c.drainedBefore(c.instanceID, c.conn.LastReadSentAt()) {
		c.checker.Failf("a request was sent to a drained server")
	}
	c.strayArrival = time.Time{}
	c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	return true
}

// checkReadError checks that a request that can't be read was broken off by the peer, and isn't malformed.
func (c *serverConn) checkReadError(err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, net.ErrClosed) {
		return
	}
	c.checker.Failf("bytes that are no request: %v", err)
}

// readBody reads a body from one offset to another, and checks it. It returns the offset that it reached.
func (c *serverConn) readBody(body io.Reader, request *Request, from, to int) (reached int, err error) {
	part := make([]byte, to-from)
	n, err := io.ReadFull(body, part)
	c.checker.checkBodyPart(request, from, part[:n])
	return from + n, err
}

// readRest reads the rest of a body, or breaks the connection, as the plan says. It returns whether the
// connection stays open.
func (c *serverConn) readRest(p *faultPlan, body io.Reader, request *Request, from int) bool {
	time.Sleep(p.restOfBodyDelay)
	switch p.restOfBody {
	case closeConn, resetConn, resetAndDiscard:
		c.breakConn(p.restOfBody)
		return false
	}
	c.checker.Count(countBodiesReadOn)
	c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	read, err := c.readBody(body, request, from, len(request.Body))
	if read < len(request.Body) {
		c.checkReadError(err)
		return false
	}
	return true
}

// breakRequest breaks the connection within a request, or before its response.
func (c *serverConn) breakRequest(p *faultPlan) {
	c.checker.Count(countBrokenRequests)
	c.conn.SetReadDeadline(time.Now().Add(breakTimeout))
	raw := make([]byte, p.breakRequestAt)
	n, _ := io.ReadFull(c.reader, raw)
	c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw[:n])))
	if err == nil { // its head is complete
		if request := c.checker.checkArrival(r); request != nil {
			part, _ := io.ReadAll(r.Body)
			c.checker.checkBodyPart(request, 0, part)
			if r.Header.Get("X-Expect-Instance") == c.instanceID && c.random.IntN(2) == 0 {
				c.checker.recordExecution(request, r.Header, 0)
			}
		}
	}
	c.breakConn(p.requestBreak)
}

// rejectMisdirected answers a request that is meant for another incarnation. It returns whether the
// connection stays open.
func (c *serverConn) rejectMisdirected(r *http.Request, request *Request) bool {
	c.checker.Count(countMisdirected)
	c.readBody(r.Body, request, 0, len(request.Body))
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 421 x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", request.ID)
	c.lastResponse = ""
	return err == nil
}

// respond sends the plan's response, and returns whether the connection stays open.
func (c *serverConn) respond(p *faultPlan, request *Request, received http.Header) bool {
	var execution *Execution
	if p.executed {
		execution = c.checker.recordExecution(request, received, responseKinds[p.kind].status)
	}
	if p.kind == noResponse {
		c.breakConn(p.requestBreak)
		return false
	}
	segments := p.responseSegments(request, execution, c.random)
	remaining := c.bytesToSend(p, segments)
	if p.truncateShare >= 0 {
		c.checker.Count(countTruncatedResponse)
		if execution != nil {
			execution.Truncated = p.framing == byClose
		}
	}
	if p.leadingBytes != "" {
		c.checker.Count(countLateResponses)
		io.WriteString(c.conn, c.expandStray(p.leadingBytes))
	}
	if p.interim {
		io.WriteString(c.conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	c.lastResponse = ""
	for _, segment := range segments {
		time.Sleep(segment.pause)
		text := segment.text[:min(remaining, len(segment.text))]
		remaining -= len(text)
		c.lastResponse += text
		if _, err := io.WriteString(c.conn, text); err != nil {
			return false
		}
		if remaining == 0 {
			break
		}
	}
	switch {
	case p.truncateShare >= 0:
		c.breakConn(p.truncateBy)
		return false
	case p.framing == byClose:
		return false
	case p.connectionClose:
		c.closedReason = "the last response said that it was the last"
	}
	return true
}

// bytesToSend returns after how many bytes a response is truncated; more than it has where it isn't.
func (c *serverConn) bytesToSend(p *faultPlan, segments []segment) int {
	size := 0
	for _, segment := range segments {
		size += len(segment.text)
	}
	switch {
	case p.truncateShare < 0:
		return size + 1
	case p.truncateAtByte:
		return min(p.truncateAt, size)
	default:
		return int(p.truncateShare * float64(size))
	}
}

// afterResponse does what the plan says after a response, and returns whether the connection stays open.
func (c *serverConn) afterResponse(p *faultPlan) bool {
	if c.closedReason != "" {
		c.checkNothingFollows()
		return false
	}
	c.idleTimeout = p.idleTimeout
	if p.trailingBytes == "" {
		return true
	}
	time.Sleep(p.trailingDelay)
	c.checker.Count(countStrayBytes)
	if _, err := io.WriteString(c.conn, c.expandStray(p.trailingBytes)); err != nil {
		return false
	}
	c.strayArrival = time.Now().Add(c.conn.Latency())
	return true
}

// expandStray returns the bytes for an element of strayBytes.
func (c *serverConn) expandStray(text string) string {
	if text == duplicateResponse {
		return c.lastResponse
	}
	return text
}

// checkNothingFollows checks that no request comes on a connection whose end was announced.
func (c *serverConn) checkNothingFollows() {
	c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if n, _ := c.reader.Read(make([]byte, 1)); n > 0 {
		c.checker.Failf("a request came on a connection though %s", c.closedReason)
	}
}

// breakConn ends the connection, or stays silent on it until the peer ends it. The caller serves nothing more
// on it, which closes it.
func (c *serverConn) breakConn(action breakAction) {
	c.checker.Count(countBreak(action))
	switch action {
	case resetConn, resetAndDiscard:
		c.conn.Reset(action == resetAndDiscard)
	case stall:
		c.conn.SetReadDeadline(time.Now().Add(peerTimeout))
		io.Copy(io.Discard, c.conn)
	}
}
