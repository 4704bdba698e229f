package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// Request is a request whose response the caller reads through an Exchange.
type Request struct {
	Server    policy.ServerID
	Deadline  time.Time           // for dialling and writing
	Method    string              // used to read the response: a response to HEAD has no body
	WriteHead func(*bytes.Buffer) // writes the head; called right before it is sent
	Body      []byte
	MaySend   func() bool // called right before the first byte is written; if false, nothing is written. nil: true

	ctx context.Context // the argument of Send
}

// To returns the server.
func (r *Request) To() policy.ServerID { return r.Server }

// By returns the deadline for dialling and writing.
func (r *Request) By() time.Time { return r.Deadline }

// Begin reports whether the first byte may be written, and returns the reason if not.
func (r *Request) Begin(io.Closer) (core.End, bool) {
	switch {
	case r.ctx.Err() != nil || !time.Now().Before(r.Deadline):
		return core.EndAlreadyAnswered, false
	case r.MaySend != nil && !r.MaySend():
		return core.EndUnauthorized, false
	}
	return core.EndNone, true
}

// Exchange is a request that was written, and its response, which the caller reads as it arrives. The order of
// calls is ReadHead, then Read until io.EOF, then Close. Before ReadHead or Read, Wait waits for input; before
// Read, Ready reports whether there is any. An Exchange reads from the connection only when its caller does. It
// must be used by one goroutine only.
type Exchange struct {
	pool            *Pool
	conn            *conn
	server          policy.ServerID
	method          string
	stopCancelWatch func() bool   // stops closing the connection when the context ends; false: the closing has begun
	idleBefore      time.Duration // idle time of a reused connection before this request
	reused          bool          // the connection had carried requests before
	written         writeProgress
	responses       int // heads read so far, without interim responses (1xx)
	resp            *http.Response
	body            io.Reader
	ready           func() bool
	bodyEnded       bool // the body was read to its end
}

// Send writes a request. If the head could not be written completely, Send returns nil and the reason, and the
// request was not executed. A server may respond before it has read a long body, and then stop reading it: Send
// stops writing then, and the exchange returns that response, or the error with which the connection broke.
//
// When the context ends the connection is closed at once, so that the server can abandon the request. The
// caller must close the exchange.
func (p *Pool) Send(ctx context.Context, request *Request) (*Exchange, core.End) {
	request.ctx = ctx
	c, end := p.acquire(request)
	if c == nil {
		return nil, end
	}
	x := &Exchange{pool: p, conn: c, server: request.Server, method: request.Method, reused: c.used,
		idleBefore: time.Since(c.idleSince)}
	c.used = true
	c.SetDeadline(request.Deadline)
	x.stopCancelWatch = context.AfterFunc(ctx, func() { c.Close() })
	x.written = request.writeTo(c)
	if x.written == headIncomplete || x.written == bodyIncomplete && p.injected.partialIsNotSent {
		x.Close()
		return nil, core.EndWriteFailed
	}
	return x, core.EndNone
}

// maxInterimResponses is the maximum number of interim responses (1xx) before the final one.
const maxInterimResponses = 5

// errNoFinalResponse is the error for too many interim responses, or for a switch of protocols (101), which is
// never requested.
var errNoFinalResponse = errors.New("pool: no final response")

// ReadHead reads the head of the final response, until a deadline. It may be called again for the next
// response on the connection after the body of the last one was read to the end: a caller that finds that a
// response belongs to another request (an earlier one, for example) can go on to the response to its own. The
// connection is not reused then.
func (x *Exchange) ReadHead(deadline time.Time) (*http.Response, error) {
	x.conn.readLimit = maxHeadSize
	x.bodyEnded = false
	x.conn.SetReadDeadline(deadline)
	for interim := 0; interim <= maxInterimResponses; interim++ {
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

// observeReuse reports to the staleness estimator how the first read on a reused connection has ended: err is
// its error, or nil. It does nothing after a head was read.
func (x *Exchange) observeReuse(err error) {
	if x.reused && x.resp == nil {
		x.pool.staleness.observe(x.idleBefore, err != nil && endOfReadError(err) == core.EndReset)
	}
}

// startResponse prepares the exchange for reading the body of a response.
func (x *Exchange) startResponse(resp *http.Response) {
	x.observeReuse(nil)
	x.responses++
	x.resp = resp
	x.conn.readLimit = maxFramingFactor * MaxBodySize
	x.conn.keepAlive = parseKeepAlive(resp.Header.Get("Keep-Alive"))
	x.body, x.ready = bodyReader(x.conn.reader, resp)
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, which is the time after which the server
// closes an idle connection. It returns 0 if there is no valid one.
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

// Wait waits until there is input for ReadHead or Read, or until a deadline. It returns an error if the input
// has ended or the deadline has passed; after a time-out (see TimedOut) it may be called again.
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

// SetReadDeadline sets the deadline of Read.
func (x *Exchange) SetReadDeadline(deadline time.Time) { x.conn.SetReadDeadline(deadline) }

// Read reads from the body what has arrived, or waits for more. It may return 0 bytes and no error. It returns
// io.EOF only at the end of a complete body.
func (x *Exchange) Read(buf []byte) (int, error) {
	n, err := x.body.Read(buf)
	if errors.Is(err, io.EOF) {
		x.bodyEnded = true
	}
	return n, err
}

// Ready reports whether Read can return data or the end without waiting.
func (x *Exchange) Ready() bool { return x.ready() }

// Delimited reports whether the end of the body is marked in the response, by a length or by chunked encoding.
// A body that ends where the connection is closed may be truncated.
func (x *Exchange) Delimited() bool {
	return x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
}

// Close ends the exchange. It keeps the connection for further requests if it is reusable, and closes it
// otherwise.
func (x *Exchange) Close() {
	notCancelled := x.stopCancelWatch()
	if notCancelled && x.connReusable() {
		x.pool.release(x.server, x.conn)
		return
	}
	x.pool.discard(x.conn)
}

// connReusable reports whether another request may be written on the connection. The complete request must have
// been written, or else the server would read the next one as the rest of its body. The server must have sent
// exactly one complete response and nothing more: one that has sent unsolicited responses may send further
// ones.
func (x *Exchange) connReusable() bool {
	bugs := &x.pool.injected
	requestWritten := x.written == requestComplete || bugs.reuseIncompleteRequest
	responseComplete := x.bodyEnded && !x.resp.Close && x.responses == 1
	return requestWritten && responseComplete && (x.conn.reader.Buffered() == 0 || bugs.reuseUnread)
}

// TimedOut reports whether an error of Wait, ReadHead or Read is that of a deadline that has passed.
func TimedOut(err error) bool { return endOfReadError(err) == core.EndTimedOut }
