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
	"sync"
	"syscall"
	"time"

	"sprucelane.example/sprucelane/internal/fake/memorynet"
)

const (
	// patience is how long a server waits for what its peer does.
	peerTimeout = 20 * time.Second
	// cutPatience is how long it waits for a byte of a request at which it breaks; the request may be shorter.
	breakTimeout = 30 * time.Millisecond
)

// server is one that misbehaves.
type server struct {
	incarnation // the present one
	checker     *Checker
	faultRate   float64
	script      *script // nil: plans are drawn
}

// life is that of one incarnation.
type incarnation struct {
	mu      sync.Mutex
	id      string
	conns   []*memorynet.Conn
	drained time.Time // since when the gateway knows that it gets nothing new; zero: it may
}

// begin begins another incarnation, and resets the connections to the last one.
func (s *server) startIncarnation(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Reset(false)
	}
	s.id, s.conns, s.drained = id, nil, time.Time{}
}

// drain notes that from now on the server gets nothing new.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
}

// takes notes a connection, and gives the id of the incarnation that has it.
func (s *server) addConn(c *memorynet.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return s.id
}

// isDrained tells whether an incarnation got nothing new any more at some moment.
func (s *server) drainedBefore(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == id && !s.drained.IsZero() && at.After(s.drained)
}

// line is one connection to it.
type serverConn struct {
	*server
	instanceID   string // the incarnation
	conn         *memorynet.Conn
	reader       *bufio.Reader
	random       *rand.Rand
	idleTimeout  time.Duration
	lastResponse string // the last answer that says where it ends
	// spoiled is when the peer could see that more has come than an answer; zero: it hasn't.
	strayArrival time.Time
	closedReason string // why nothing may follow on this connection; "": something may
}

func (s *server) serve(c *memorynet.Conn, r *rand.Rand) {
	l := &serverConn{server: s, instanceID: s.addConn(c), conn: c, reader: bufio.NewReaderSize(c, 512), random: r}
	for l.exchange() {
	}
	c.Close()
}

// exchange serves one request, and tells whether the connection goes on.
func (l *serverConn) exchange() bool {
	if !l.awaitRequest() {
		return false
	}
	p := l.nextPlan()
	if p.breakRequestAt >= 0 {
		return l.breakRequest(&p)
	}
	r, err := http.ReadRequest(l.reader)
	if err != nil {
		l.checkReadError(err)
		return false
	}
	try := l.checker.checkArrival(r)
	if try == nil {
		return false
	}
	if r.Header.Get("X-Expect-Instance") != l.instanceID {
		return l.rejectMisdirected(r, try)
	}
	read := len(try.Body)
	if p.respondEarly {
		l.checker.count("early answers")
		read = int(p.earlyBodyShare * float64(read))
	}
	got, err := l.readBody(r.Body, try, 0, read)
	if got < read {
		l.checkReadError(err)
		return false
	}
	if !l.respond(&p, try, r.Header) {
		return false
	}
	if read < len(try.Body) && !l.readRest(&p, r.Body, try, read) {
		return false
	}
	return l.afterResponse(&p)
}

// sendOn answers a request that is meant for another incarnation.
func (l *serverConn) rejectMisdirected(r *http.Request, try *Request) bool {
	l.checker.count("misdirected")
	l.readBody(r.Body, try, 0, len(try.Body))
	_, err := fmt.Fprintf(l.conn, "HTTP/1.1 421 x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", try.ID)
	l.lastResponse = ""
	return err == nil
}

func (l *serverConn) nextPlan() faultPlan {
	if l.script != nil {
		return l.script.next()
	}
	return randomPlan(l.random, l.faultRate)
}

// awaitRequest waits for the first byte of a request. None may come where the state of the connection can't be known.
func (l *serverConn) awaitRequest() bool {
	l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if l.idleTimeout > 0 {
		l.conn.SetReadDeadline(time.Now().Add(l.idleTimeout))
	}
	if l.reader.Buffered() > 0 { // behind a body that was read on
		l.strayArrival = time.Time{}
		return true
	}
	_, err := l.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && l.random.IntN(4) == 0 {
		l.conn.Reset(false)
	}
	if err != nil {
		return false
	}
	if sent := l.conn.LastReadSentAt(); !l.strayArrival.IsZero() && sent.After(l.strayArrival) {
		l.checker.failf("a request was sent on a connection on which more had come than an answer")
	}
	if l.drainedBefore(l.instanceID, l.conn.LastReadSentAt()) {
		l.checker.failf("a request was sent to a server that gets nothing new")
	}
	l.strayArrival = time.Time{}
	l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	return true
}

// unreadable holds that a request which can't be read was cut off, and not anything else.
func (l *serverConn) checkReadError(err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	l.checker.failf("bytes that are no request: %v", err)
}

// readBody reads a part of a body and holds that it is the try's.
func (l *serverConn) readBody(body io.Reader, try *Request, from, to int) (got int, err error) {
	part := make([]byte, to-from)
	n, err := io.ReadFull(body, part)
	l.checker.checkBodyPart(try, from, part[:n])
	return from + n, err
}

// cutRequest breaks a connection before a request has come whole, or before its answer.
func (l *serverConn) breakRequest(p *faultPlan) bool {
	l.checker.count("cut requests")
	l.conn.SetReadDeadline(time.Now().Add(breakTimeout))
	raw := make([]byte, p.breakRequestAt)
	n, _ := io.ReadFull(l.reader, raw)
	l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw[:n])))
	if err == nil { // its head is there
		if try := l.checker.checkArrival(r); try != nil {
			part, _ := io.ReadAll(r.Body)
			l.checker.checkBodyPart(try, 0, part)
			if r.Header.Get("X-Expect-Instance") == l.instanceID && l.random.IntN(2) == 0 {
				l.checker.recordExecution(try, r.Header, 0)
			}
		}
	}
	l.breakConn(p.requestBreak)
	return false
}

// answer sends what the plan says, and tells whether the connection goes on.
func (l *serverConn) respond(p *faultPlan, try *Request, asked http.Header) bool {
	var run *Execution
	status := responseKinds[p.kind].status
	if p.executed {
		run = l.checker.recordExecution(try, asked, status)
	}
	if p.kind == noResponse {
		run.markUnanswered()
		l.breakConn(p.requestBreak)
		return false
	}
	list := p.responseSegments(try, run, l.random)
	size := 0
	for _, one := range list {
		size += len(one.text)
	}
	left := size + 1
	if p.truncateShare >= 0 {
		l.checker.count("cut answers")
		left = int(p.truncateShare * float64(size))
		if p.truncateAtByte {
			left = min(p.truncateAt, size)
		}
		if run != nil {
			run.Truncated = p.framing == byClose
		}
	}
	if p.leadingBytes != "" {
		l.checker.count("late answers")
		io.WriteString(l.conn, l.expandStray(p.leadingBytes))
	}
	if p.interim {
		io.WriteString(l.conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	l.lastResponse = ""
	for _, one := range list {
		time.Sleep(one.pause)
		text := one.text[:min(left, len(one.text))]
		left -= len(text)
		l.lastResponse += text
		if _, err := io.WriteString(l.conn, text); err != nil {
			return false
		}
		if left == 0 {
			break
		}
	}
	switch {
	case p.truncateShare >= 0:
		l.breakConn(p.truncateBy)
		return false
	case p.framing == byClose:
		return false
	case p.connectionClose:
		l.closedReason = "it was told to be the last"
	}
	return true
}

// silence notes that there is no answer.
func (r *Execution) markUnanswered() {
	if r != nil {
		r.Status = 0
	}
}

// readRest does with the rest of a body what the plan says, and tells whether the connection goes on.
func (l *serverConn) readRest(p *faultPlan, body io.Reader, try *Request, from int) bool {
	time.Sleep(p.restOfBodyDelay)
	switch p.restOfBody {
	case closeConn, resetConn, resetAndDiscard:
		l.breakConn(p.restOfBody)
		return false
	}
	l.checker.count("bodies read on")
	l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	got, err := l.readBody(body, try, from, len(try.Body))
	if got < len(try.Body) {
		l.checkReadError(err)
		return false
	}
	return true
}

// follow does what the plan says after an answer.
func (l *serverConn) afterResponse(p *faultPlan) bool {
	if l.closedReason != "" {
		l.checkNothingFollows()
		return false
	}
	l.idleTimeout = p.idleTimeout
	if p.trailingBytes == "" {
		return true
	}
	time.Sleep(p.trailingDelay)
	l.checker.count("extra bytes")
	if _, err := io.WriteString(l.conn, l.expandStray(p.trailingBytes)); err != nil {
		return false
	}
	l.strayArrival = time.Now().Add(l.conn.Latency())
	return true
}

// extra gives the bytes of an extra.
func (l *serverConn) expandStray(text string) string {
	if text == duplicateResponse {
		return l.lastResponse
	}
	return text
}

// nothingMore holds that nothing follows.
func (l *serverConn) checkNothingFollows() {
	l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
	if n, _ := l.reader.Read(make([]byte, 1)); n > 0 {
		l.checker.failf("a request came on a connection of which %s", l.closedReason)
	}
}

// end breaks the connection, or falls silent on it until its peer does.
func (l *serverConn) breakConn(how breakAction) {
	l.checker.count(fmt.Sprintf("break %d", how))
	switch how {
	case resetConn, resetAndDiscard:
		l.conn.Reset(how == resetAndDiscard)
	case stall:
		l.conn.SetReadDeadline(time.Now().Add(peerTimeout))
		io.Copy(io.Discard, l.conn)
	}
}

// accept serves all connections to a server, each by a seed of its own.
func (s *server) accept(l net.Listener, seed uint64) {
	for number := uint64(0); ; number++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.checker.count("connections")
		go s.serve(c.(*memorynet.Conn), rand.New(rand.NewPCG(seed, number)))
	}
}
