package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// This file owns the exchange beside Carry: the caller reads the answer itself, as it comes, and says what it thinks of it. It
// must never read ahead of its caller, nor put a connection back on which anything of an answer may still follow.

// flow is what a connection is reached for: a transaction's flow, or a call.
type flow interface {
	To() policy.ServerID
	By() time.Time                    // neither dialling nor writing takes longer
	Begin(io.Closer) (core.End, bool) // right before the first byte: whether it may be written
}

func methodOf(f flow) string {
	switch f := f.(type) {
	case *Call:
		return f.Method
	case *core.Flow:
		return f.Message.(*Message).Method
	}
	return ""
}

// Call is a request to a member, of which the caller reads the answer.
type Call struct {
	Server policy.ServerID
	Until  time.Time // neither dialling nor writing takes longer
	Method string
	Head   func(*bytes.Buffer) // writes the head as it is to go out now
	Body   []byte
	Check  func() bool // right before the first byte: whether it may still go out; nil: it may

	ctx context.Context
}

// To gives the member.
func (call *Call) To() policy.ServerID { return call.Server }

// By gives the moment after which nothing more is dialled or written.
func (call *Call) By() time.Time { return call.Until }

// Begin tells whether the first byte may be written.
func (call *Call) Begin(io.Closer) (core.End, bool) {
	switch {
	case call.ctx.Err() != nil || !time.Now().Before(call.Until):
		return core.EndOver, false
	case call.Check != nil && !call.Check():
		return core.EndDenied, false
	}
	return core.EndNone, true
}

// Exchange is a request that has gone out, and its answer on the way. It belongs to one goroutine.
type Exchange struct {
	pool   *Pool
	conn   *conn
	to     policy.ServerID
	method string
	detach func() bool // ends the watch for the caller's leaving; false: it has left
	idle   time.Duration
	used   bool // the connection had carried requests before
	sent   sent
	heads  int // of answers that have been read
	resp   *http.Response
	body   io.Reader
	ready  func() bool
	ended  bool
}

// Open writes a request. Where not even its head goes out the end says why, and nothing has run. A member may answer before it
// has read a long body, and then read it no further: the body ends there, and the exchange gives that answer, or the error with
// which the connection broke. The connection is closed at once when the context ends, as the member then drops the request.
func (p *Pool) Open(ctx context.Context, call *Call) (*Exchange, core.End) {
	call.ctx = ctx
	c, end := p.reach(call)
	if c == nil {
		return nil, end
	}
	x := &Exchange{pool: p, conn: c, to: call.Server, method: call.Method, used: c.used, idle: time.Since(c.since)}
	c.used = true
	c.SetDeadline(call.Until)
	x.detach = context.AfterFunc(ctx, func() { c.Close() })
	if x.sent = call.write(c); x.sent == sentNoHead || x.sent == sentPart && p.bugs.partNotSent {
		x.Close()
		return nil, core.EndCutShort
	}
	return x, core.EndNone
}

// mostInterim bounds the answers of the class 1xx before one answer.
const mostInterim = 5

// errInterim reports too many interim answers, or a change of the protocol that nobody asked for.
var errInterim = errors.New("pool: no final answer")

// errTorn reports a head that begins in the middle of another.
var errTorn = errors.New("pool: a head that was not whole, and another behind it")

// statusLine is what an answer begins with, as far as a header's value may be expected not to have it.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// torn tells whether an answer stands in the head of another that breaks off in its status line, or in the value of a header: the
// two would be taken for one, with the first one's status and the second one's id.
func torn(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}

// Head reads the head of the answer, until some moment. It may be called again for the next answer on the connection once the
// body of the last has been read to its end: one that came before the answer due belongs to nobody.
func (x *Exchange) Head(by time.Time) (*http.Response, error) {
	x.conn.left = maxHead
	x.ended = false
	x.conn.SetReadDeadline(by)
	for range mostInterim {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: x.method})
		if err != nil {
			x.learn(err)
			return nil, cut(err)
		}
		if torn(resp) && !x.pool.bugs.tornHead {
			return nil, errTorn
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errInterim
		}
		if resp.StatusCode >= http.StatusOK {
			x.take(resp)
			return resp, nil
		}
	}
	return nil, errInterim
}

// learn notes what became of a kept connection's first use.
func (x *Exchange) learn(err error) {
	if x.used && x.resp == nil {
		x.pool.ages.learn(x.idle, err != nil && broken(err) == core.EndReset)
	}
}

func (x *Exchange) take(resp *http.Response) {
	x.learn(nil)
	x.heads++
	x.resp = resp
	x.conn.left = 8 * MaxLong
	x.conn.keep = keepAlive(resp.Header.Get("Keep-Alive"))
	x.body, x.ready = bodyOf(x.conn.in, resp)
}

// keepAlive reads the time for which a member leaves a connection idle; 0: it doesn't tell.
func keepAlive(text string) time.Duration {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
		if err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Wait waits, before Head and before reads of the body, until something of the answer has come that was not read yet, until some moment. It may be called again after a time-out.
func (x *Exchange) Wait(by time.Time) error {
	if x.conn.in.Buffered() > 0 || x.resp != nil && !x.ended && x.resp.ContentLength == 0 {
		return nil
	}
	if x.resp == nil {
		x.conn.left = maxHead
	}
	x.conn.SetReadDeadline(by)
	_, err := x.conn.in.Peek(1)
	if err != nil && !TimedOut(err) {
		x.learn(err)
	}
	return cut(err)
}

// ReadBy sets the moment until which reads of the body wait.
func (x *Exchange) ReadBy(by time.Time) { x.conn.SetReadDeadline(by) }

// Read gives what there is of the body. It may give nothing without an error; io.EOF is given only for one that is whole.
func (x *Exchange) Read(piece []byte) (int, error) {
	n, err := x.body.Read(piece)
	if errors.Is(err, io.EOF) {
		x.ended = true
	}
	return n, err
}

// Ready tells whether a read gives something at once.
func (x *Exchange) Ready() bool { return x.ready() }

// Delimited tells whether the answer itself says where its body ends: one that ends with its connection may have been cut.
func (x *Exchange) Delimited() bool {
	return x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
}

// Close ends the exchange: the connection is kept where nothing is due on it any more, else it is closed.
func (x *Exchange) Close() {
	stays := x.detach()
	if stays && x.settled() {
		x.pool.put(x.to, x.conn)
		return
	}
	x.pool.drop(x.conn)
}

// settled tells whether another request may follow: the member has this one whole, so that it reads nothing as the rest of it,
// and has sent one answer, whole, and nothing more. One that sends answers that nobody asked for may go on with it.
func (x *Exchange) settled() bool {
	bugs := &x.pool.bugs
	asked := x.sent == sentWhole || bugs.reuseUnsent
	answered := x.ended && !x.resp.Close && x.heads == 1
	return asked && answered && (x.conn.in.Buffered() == 0 || bugs.reuseStirred)
}

// TimedOut tells whether an error of Head or Read says only that nothing came in time.
func TimedOut(err error) bool { return broken(err) == core.EndTimedOut }
