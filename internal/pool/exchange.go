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

// Request is a request whose response is read by the caller, through an Exchange.
type Request struct {
	Server    policy.ServerID
	Deadline  time.Time           // for dialling and writing
	Method    string              // for reading the response: one to HEAD has no body
	WriteHead func(*bytes.Buffer) // writes the request's head as it is to go out now
	Body      []byte
	MaySend   func() bool // called right before the first byte is written; false: nothing is. nil: always true

	ctx context.Context // of Send
}

// To returns the server.
func (r *Request) To() policy.ServerID { return r.Server }

// By returns the deadline for dialling and writing.
func (r *Request) By() time.Time { return r.Deadline }

// Begin reports whether the first byte may be written.
func (r *Request) Begin(io.Closer) (core.End, bool) {
	switch {
	case r.ctx.Err() != nil || !time.Now().Before(r.Deadline):
		return core.EndAlreadyAnswered, false
	case r.MaySend != nil && !r.MaySend():
		return core.EndUnauthorized, false
	}
	return core.EndNone, true
}

// Exchange is a request that was written, and its response, which is read by the caller as it arrives. The
// caller's order of calls is ReadHead, then Read until io.EOF, then Close; Wait and Ready tell before either
// whether there is input. An Exchange never reads ahead of its caller. It belongs to one goroutine.
type Exchange struct {
	pool            *Pool
	conn            *conn
	server          policy.ServerID
	method          string
	stopCancelWatch func() bool   // stops the closing of the connection at the end of the context; false: that has begun
	idleBefore      time.Duration // for which a reused connection was idle
	reused          bool          // the connection had carried requests before
	written         writeProgress
	responses       int // heads that were read, interim ones (1xx) not counted
	resp            *http.Response
	body            io.Reader
	ready           func() bool
	bodyEnded       bool // the body was read to its end
}

// Send writes a request. If not even its head could be written, the result is nil and the reason, and the
// request was not executed. A server may answer before it has read a long body, and then read no more of it:
// Send stops writing there, and the exchange gives that response, or the error with which the connection
// broke.
//
// When the context ends the connection is closed at once, so that the server can abandon the request. The
// caller closes the exchange.
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

// maxInterimResponses bounds the interim responses (1xx) that are read in search of the final one.
const maxInterimResponses = 5

// errNoFinalResponse reports too many interim responses, or a switch of protocols that was not requested.
var errNoFinalResponse = errors.New("pool: no final response")

// ReadHead reads the head of the final response, until a deadline. It may be called again for the next
// response on the connection once the body of the last one was read to its end: a caller that recognizes a
// response as not its own (one that was sent for an earlier request, say) can go on to the one that is due.
// The connection is not reused then.
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

// observeReuse tells the staleness estimator what became of the first use of a reused connection.
func (x *Exchange) observeReuse(err error) {
	if x.reused && x.resp == nil {
		x.pool.staleness.observe(x.idleBefore, err != nil && endOfReadError(err) == core.EndReset)
	}
}

// startResponse prepares for reading the body of a response.
func (x *Exchange) startResponse(resp *http.Response) {
	x.observeReuse(nil)
	x.responses++
	x.resp = resp
	x.conn.readLimit = maxFramingFactor * MaxBodySize
	x.conn.keepAlive = parseKeepAlive(resp.Header.Get("Keep-Alive"))
	x.body, x.ready = bodyReader(x.conn.reader, resp)
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, the time for which the server leaves
// the connection idle; 0: there is none.
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

// Wait waits until unread input of the response has arrived, for ReadHead or for Read, or until a deadline.
// After a time-out (TimedOut) it may be called again.
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

// Read reads what has arrived of the body. It may return 0 bytes and no error. It returns io.EOF only after a
// complete body.
func (x *Exchange) Read(buf []byte) (int, error) {
	n, err := x.body.Read(buf)
	if errors.Is(err, io.EOF) {
		x.bodyEnded = true
	}
	return n, err
}

// Ready reports whether Read returns something without waiting.
func (x *Exchange) Ready() bool { return x.ready() }

// Delimited reports whether the response itself says where its body ends, by a length or by chunks. A body
// that ends with its connection may have been truncated.
func (x *Exchange) Delimited() bool {
	return x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
}

// Close ends the exchange. The connection is kept for further requests if nothing more is due on it, else
// closed.
func (x *Exchange) Close() {
	notCancelled := x.stopCancelWatch()
	if notCancelled && x.connReusable() {
		x.pool.release(x.server, x.conn)
		return
	}
	x.pool.discard(x.conn)
}

// connReusable reports whether another request may be written on the connection. The server must have the
// whole request, or it would read the next one as the rest of its body; and it must have sent one complete
// response and nothing more. A server that sends responses that were not asked for may go on with it.
func (x *Exchange) connReusable() bool {
	bugs := &x.pool.injected
	requestWritten := x.written == requestComplete || bugs.reuseIncompleteRequest
	responseComplete := x.bodyEnded && !x.resp.Close && x.responses == 1
	return requestWritten && responseComplete && (x.conn.reader.Buffered() == 0 || bugs.reuseUnread)
}

// TimedOut reports whether an error of Wait, ReadHead or Read only says that its deadline has passed.
func TimedOut(err error) bool { return endOfReadError(err) == core.EndTimedOut }
