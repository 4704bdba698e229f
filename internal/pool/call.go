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
type attempt interface {
	To() policy.ServerID
	By() time.Time                    // neither dialling nor writing takes longer
	Begin(io.Closer) (core.End, bool) // right before the first byte: whether it may be written
}

func methodOf(a attempt) string {
	switch a := a.(type) {
	case *Request:
		return a.Method
	case *core.Flow:
		return a.Message.(*Message).Method
	}
	return ""
}

// Call is a request to a member, of which the caller reads the answer.
type Request struct {
	Server    policy.ServerID
	Deadline  time.Time // neither dialling nor writing takes longer
	Method    string
	WriteHead func(*bytes.Buffer) // writes the head as it is to go out now
	Body      []byte
	MaySend   func() bool // right before the first byte: whether it may still go out; nil: it may

	ctx context.Context
}

// To gives the member.
func (request *Request) To() policy.ServerID { return request.Server }

// By gives the moment after which nothing more is dialled or written.
func (request *Request) By() time.Time { return request.Deadline }

// Begin tells whether the first byte may be written.
func (request *Request) Begin(io.Closer) (core.End, bool) {
	switch {
	case request.ctx.Err() != nil || !time.Now().Before(request.Deadline):
		return core.EndOver, false
	case request.MaySend != nil && !request.MaySend():
		return core.EndDenied, false
	}
	return core.EndNone, true
}

// Exchange is a request that has gone out, and its answer on the way. It belongs to one goroutine.
type Exchange struct {
	pool            *Pool
	conn            *conn
	server          policy.ServerID
	method          string
	stopCancelWatch func() bool // ends the watch for the caller's leaving; false: it has left
	idleBefore      time.Duration
	reused          bool // the connection had carried requests before
	written         writeProgress
	responses       int // of answers that have been read
	resp            *http.Response
	body            io.Reader
	ready           func() bool
	bodyEnded       bool
}

// Open writes a request. Where not even its head goes out the end says why, and nothing has run. A member may answer before it
// has read a long body, and then read it no further: the body ends there, and the exchange gives that answer, or the error with
// which the connection broke. The connection is closed at once when the context ends, as the member then drops the request.
func (p *Pool) Send(ctx context.Context, request *Request) (*Exchange, core.End) {
	request.ctx = ctx
	c, end := p.acquire(request)
	if c == nil {
		return nil, end
	}
	x := &Exchange{pool: p, conn: c, server: request.Server, method: request.Method, reused: c.used, idleBefore: time.Since(c.idleSince)}
	c.used = true
	c.SetDeadline(request.Deadline)
	x.stopCancelWatch = context.AfterFunc(ctx, func() { c.Close() })
	if x.written = request.writeTo(c); x.written == headIncomplete || x.written == bodyIncomplete && p.injected.partialIsNotSent {
		x.Close()
		return nil, core.EndCutShort
	}
	return x, core.EndNone
}

// mostInterim bounds the answers of the class 1xx before one answer.
const maxInterimResponses = 5

// errInterim reports too many interim answers, or a change of the protocol that nobody asked for.
var errNoFinalResponse = errors.New("pool: no final answer")

// errTorn reports a head that begins in the middle of another.
var errTornHead = errors.New("pool: a head that was not whole, and another behind it")

// statusLine is what an answer begins with, as far as a header's value may be expected not to have it.
var statusLinePattern = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// torn tells whether an answer stands in the head of another that breaks off in its status line, or in the value of a header: the
// two would be taken for one, with the first one's status and the second one's id.
func isTorn(resp *http.Response) bool {
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
	return strings.Contains(text, "HTTP/1.") && statusLinePattern.MatchString(text)
}

// Head reads the head of the answer, until some moment. It may be called again for the next answer on the connection once the
// body of the last has been read to its end: one that came before the answer due belongs to nobody.
func (x *Exchange) ReadHead(deadline time.Time) (*http.Response, error) {
	x.conn.readLimit = maxHeadSize
	x.bodyEnded = false
	x.conn.SetReadDeadline(deadline)
	for range maxInterimResponses {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
			x.observeReuse(err)
			return nil, unexpectedEOF(err)
		}
		if isTorn(resp) && !x.pool.injected.acceptTornHead {
			return nil, errTornHead
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errNoFinalResponse
		}
		if resp.StatusCode >= http.StatusOK {
			x.startResponse(resp)
			return resp, nil
		}
	}
	return nil, errNoFinalResponse
}

// learn notes what became of a kept connection's first use.
func (x *Exchange) observeReuse(err error) {
	if x.reused && x.resp == nil {
		x.pool.staleness.observe(x.idleBefore, err != nil && endOfReadError(err) == core.EndReset)
	}
}

func (x *Exchange) startResponse(resp *http.Response) {
	x.observeReuse(nil)
	x.responses++
	x.resp = resp
	x.conn.readLimit = 8 * MaxBodySize
	x.conn.keepAlive = parseKeepAlive(resp.Header.Get("Keep-Alive"))
	x.body, x.ready = bodyReader(x.conn.reader, resp)
}

// keepAlive reads the time for which a member leaves a connection idle; 0: it doesn't tell.
func parseKeepAlive(text string) time.Duration {
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
func (x *Exchange) Wait(deadline time.Time) error {
	if x.conn.reader.Buffered() > 0 || x.resp != nil && !x.bodyEnded && x.resp.ContentLength == 0 {
		return nil
	}
	if x.resp == nil {
		x.conn.readLimit = maxHeadSize
	}
	x.conn.SetReadDeadline(deadline)
	_, err := x.conn.reader.Peek(1)
	if err != nil && !TimedOut(err) {
		x.observeReuse(err)
	}
	return unexpectedEOF(err)
}

// ReadBy sets the moment until which reads of the body wait.
func (x *Exchange) SetReadDeadline(deadline time.Time) { x.conn.SetReadDeadline(deadline) }

// Read gives what there is of the body. It may give nothing without an error; io.EOF is given only for one that is whole.
func (x *Exchange) Read(buf []byte) (int, error) {
	n, err := x.body.Read(buf)
	if errors.Is(err, io.EOF) {
		x.bodyEnded = true
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
	notCancelled := x.stopCancelWatch()
	if notCancelled && x.connReusable() {
		x.pool.release(x.server, x.conn)
		return
	}
	x.pool.discard(x.conn)
}

// settled tells whether another request may follow: the member has this one whole, so that it reads nothing as the rest of it,
// and has sent one answer, whole, and nothing more. One that sends answers that nobody asked for may go on with it.
func (x *Exchange) connReusable() bool {
	bugs := &x.pool.injected
	requestWritten := x.written == requestComplete || bugs.reuseIncompleteRequest
	responseComplete := x.bodyEnded && !x.resp.Close && x.responses == 1
	return requestWritten && responseComplete && (x.conn.reader.Buffered() == 0 || bugs.reuseUnread)
}

// TimedOut tells whether an error of Head or Read says only that nothing came in time.
func TimedOut(err error) bool { return endOfReadError(err) == core.EndTimedOut }
