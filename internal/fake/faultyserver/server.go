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
	patience = 20 * time.Second
	// cutPatience is how long it waits for a byte of a request at which it breaks; the request may be shorter.
	cutPatience = 30 * time.Millisecond
)

// server is one that misbehaves.
type server struct {
	life    // the present one
	audit   *Audit
	hazards float64
	script  *script // nil: plans are drawn
}

// life is that of one incarnation.
type life struct {
	mu      sync.Mutex
	id      string
	conns   []*memorynet.Conn
	drained time.Time // since when the gateway knows that it gets nothing new; zero: it may
}

// begin begins another incarnation, and resets the connections to the last one.
func (s *server) begin(id string) {
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
func (s *server) takes(c *memorynet.Conn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return s.id
}

// isDrained tells whether an incarnation got nothing new any more at some moment.
func (s *server) isDrained(id string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id == id && !s.drained.IsZero() && at.After(s.drained)
}

// line is one connection to it.
type line struct {
	*server
	of   string // the incarnation
	conn *memorynet.Conn
	in   *bufio.Reader
	r    *rand.Rand
	idle time.Duration
	last string // the last answer that says where it ends
	// spoiled is when the peer could see that more has come than an answer; zero: it hasn't.
	spoiled time.Time
	over    string // why nothing may follow on this connection; "": something may
}

func (s *server) serve(c *memorynet.Conn, r *rand.Rand) {
	l := &line{server: s, of: s.takes(c), conn: c, in: bufio.NewReaderSize(c, 512), r: r}
	for l.exchange() {
	}
	c.Close()
}

// exchange serves one request, and tells whether the connection goes on.
func (l *line) exchange() bool {
	if !l.awaitRequest() {
		return false
	}
	p := l.plan()
	if p.requestCut >= 0 {
		return l.cutRequest(&p)
	}
	r, err := http.ReadRequest(l.in)
	if err != nil {
		l.unreadable(err)
		return false
	}
	try := l.audit.arrived(r)
	if try == nil {
		return false
	}
	if r.Header.Get("X-Expect-Instance") != l.of {
		return l.sendOn(r, try)
	}
	read := len(try.Body)
	if p.early {
		l.audit.count("early answers")
		read = int(p.earlyAfter * float64(read))
	}
	got, err := l.readBody(r.Body, try, 0, read)
	if got < read {
		l.unreadable(err)
		return false
	}
	if !l.answer(&p, try, r.Header) {
		return false
	}
	if read < len(try.Body) && !l.readRest(&p, r.Body, try, read) {
		return false
	}
	return l.follow(&p)
}

// sendOn answers a request that is meant for another incarnation.
func (l *line) sendOn(r *http.Request, try *Try) bool {
	l.audit.count("misdirected")
	l.readBody(r.Body, try, 0, len(try.Body))
	_, err := fmt.Fprintf(l.conn, "HTTP/1.1 421 x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", try.ID)
	l.last = ""
	return err == nil
}

func (l *line) plan() plan {
	if l.script != nil {
		return l.script.next()
	}
	return draw(l.r, l.hazards)
}

// awaitRequest waits for the first byte of a request. None may come where the state of the connection can't be known.
func (l *line) awaitRequest() bool {
	l.conn.SetReadDeadline(time.Now().Add(patience))
	if l.idle > 0 {
		l.conn.SetReadDeadline(time.Now().Add(l.idle))
	}
	if l.in.Buffered() > 0 { // behind a body that was read on
		l.spoiled = time.Time{}
		return true
	}
	_, err := l.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && l.r.IntN(4) == 0 {
		l.conn.Reset(false)
	}
	if err != nil {
		return false
	}
	if sent := l.conn.ReadSent(); !l.spoiled.IsZero() && sent.After(l.spoiled) {
		l.audit.failf("a request was sent on a connection on which more had come than an answer")
	}
	if l.isDrained(l.of, l.conn.ReadSent()) {
		l.audit.failf("a request was sent to a server that gets nothing new")
	}
	l.spoiled = time.Time{}
	l.conn.SetReadDeadline(time.Now().Add(patience))
	return true
}

// unreadable holds that a request which can't be read was cut off, and not anything else.
func (l *line) unreadable(err error) {
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	l.audit.failf("bytes that are no request: %v", err)
}

// readBody reads a part of a body and holds that it is the try's.
func (l *line) readBody(body io.Reader, try *Try, from, to int) (got int, err error) {
	part := make([]byte, to-from)
	n, err := io.ReadFull(body, part)
	l.audit.bodyPart(try, from, part[:n])
	return from + n, err
}

// cutRequest breaks a connection before a request has come whole, or before its answer.
func (l *line) cutRequest(p *plan) bool {
	l.audit.count("cut requests")
	l.conn.SetReadDeadline(time.Now().Add(cutPatience))
	raw := make([]byte, p.requestCut)
	n, _ := io.ReadFull(l.in, raw)
	l.conn.SetReadDeadline(time.Now().Add(patience))
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw[:n])))
	if err == nil { // its head is there
		if try := l.audit.arrived(r); try != nil {
			part, _ := io.ReadAll(r.Body)
			l.audit.bodyPart(try, 0, part)
			if r.Header.Get("X-Expect-Instance") == l.of && l.r.IntN(2) == 0 {
				l.audit.run(try, r.Header, 0)
			}
		}
	}
	l.end(p.breaks)
	return false
}

// answer sends what the plan says, and tells whether the connection goes on.
func (l *line) answer(p *plan, try *Try, asked http.Header) bool {
	var run *Run
	status := kindOf[p.kind].status
	if p.ran {
		run = l.audit.run(try, asked, status)
	}
	if p.kind == silent {
		run.silence()
		l.end(p.breaks)
		return false
	}
	list := p.answerTo(try, run, l.r)
	size := 0
	for _, one := range list {
		size += len(one.text)
	}
	left := size + 1
	if p.cut >= 0 {
		l.audit.count("cut answers")
		left = int(p.cut * float64(size))
		if p.cutByte {
			left = min(p.cutAt, size)
		}
		if run != nil {
			run.Cut = p.framing == byClose
		}
	}
	if p.before != "" {
		l.audit.count("late answers")
		io.WriteString(l.conn, l.extra(p.before))
	}
	if p.interim {
		io.WriteString(l.conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	}
	l.last = ""
	for _, one := range list {
		time.Sleep(one.pause)
		text := one.text[:min(left, len(one.text))]
		left -= len(text)
		l.last += text
		if _, err := io.WriteString(l.conn, text); err != nil {
			return false
		}
		if left == 0 {
			break
		}
	}
	switch {
	case p.cut >= 0:
		l.end(p.cutBy)
		return false
	case p.framing == byClose:
		return false
	case p.closing:
		l.over = "it was told to be the last"
	}
	return true
}

// silence notes that there is no answer.
func (r *Run) silence() {
	if r != nil {
		r.Status = 0
	}
}

// readRest does with the rest of a body what the plan says, and tells whether the connection goes on.
func (l *line) readRest(p *plan, body io.Reader, try *Try, from int) bool {
	time.Sleep(p.readPause)
	switch p.readsOn {
	case closes, resets, resetsAndForgets:
		l.end(p.readsOn)
		return false
	}
	l.audit.count("bodies read on")
	l.conn.SetReadDeadline(time.Now().Add(patience))
	got, err := l.readBody(body, try, from, len(try.Body))
	if got < len(try.Body) {
		l.unreadable(err)
		return false
	}
	return true
}

// follow does what the plan says after an answer.
func (l *line) follow(p *plan) bool {
	if l.over != "" {
		l.nothingMore()
		return false
	}
	l.idle = p.idle
	if p.extra == "" {
		return true
	}
	time.Sleep(p.extraAfter)
	l.audit.count("extra bytes")
	if _, err := io.WriteString(l.conn, l.extra(p.extra)); err != nil {
		return false
	}
	l.spoiled = time.Now().Add(l.conn.Latency())
	return true
}

// extra gives the bytes of an extra.
func (l *line) extra(text string) string {
	if text == doubled {
		return l.last
	}
	return text
}

// nothingMore holds that nothing follows.
func (l *line) nothingMore() {
	l.conn.SetReadDeadline(time.Now().Add(patience))
	if n, _ := l.in.Read(make([]byte, 1)); n > 0 {
		l.audit.failf("a request came on a connection of which %s", l.over)
	}
}

// end breaks the connection, or falls silent on it until its peer does.
func (l *line) end(how action) {
	l.audit.count(fmt.Sprintf("break %d", how))
	switch how {
	case resets, resetsAndForgets:
		l.conn.Reset(how == resetsAndForgets)
	case stalls:
		l.conn.SetReadDeadline(time.Now().Add(patience))
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
		s.audit.count("connections")
		go s.serve(c.(*memorynet.Conn), rand.New(rand.NewPCG(seed, number)))
	}
}
