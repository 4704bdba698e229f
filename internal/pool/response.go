package pool

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

const (
	// holdBackTimeout is the time for which the beginning of a response is held back while more may follow. An
	// attempt whose response breaks off early can be retried only if no part of it has been passed on.
	holdBackTimeout = 100 * time.Millisecond
	// shortReadTimeout limits the time for reading the body of an error response, which doesn't change the
	// result, and the head of a response that was sent before its request was complete.
	shortReadTimeout = 100 * time.Millisecond
)

// readResponse reads a response, to its end or as much as is held back (see holdBackTimeout). Only status 200
// counts as success. The body of a response with another status is read and discarded, so that the connection
// can be reused.
func (c *conn) readResponse(p *Pool, attempt *core.Attempt, msg *Message) (
	end core.End, answer core.Answer, reuse bool) {
	var resp *http.Response
	for interim := 0; ; interim++ {
		var err error
		if resp, err = http.ReadResponse(c.reader, &http.Request{Method: msg.Method}); err != nil {
			return endOfReadError(err), answer, false
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		if interim == maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
			return core.EndReset, answer, false
		}
	}
	answer.LoadReport = parseLoadReport(resp.Header.Get(HeaderLoad), p.options.LoadFields)
	body := &responseBody{conn: c, pool: p, server: attempt.Server, resp: resp}
	body.reader, body.ready = bodyReader(c.reader, resp)
	if resp.StatusCode != http.StatusOK {
		c.readLimit += MaxBufferedBody
		c.SetReadDeadline(earliest(attempt.Until, time.Now().Add(shortReadTimeout)))
		_, err := io.Copy(io.Discard, body.reader)
		body.ended = err == nil
		if isNotRun(resp) {
			return core.EndRejected, answer, body.connReusable()
		}
		return core.EndErrored, answer, body.connReusable()
	}
	answer.ContentType, answer.ContentLength = resp.Header.Get("Content-Type"), resp.ContentLength
	answer.Units = parseTrueCost(resp.Header.Get(HeaderTrueCost))
	maxLength := int64(MaxBodySize)
	if p.options.BufferResponses {
		maxLength = MaxBufferedResponse
	}
	if resp.ContentLength > maxLength {
		return core.EndReset, answer, false
	}
	holdBack := int64(StreamBufferSize)
	if p.options.BufferResponses {
		holdBack = maxLength
	} else if resp.ContentLength >= 0 && resp.ContentLength <= MaxBufferedBody {
		holdBack = resp.ContentLength
	}
	c.readLimit += maxFramingFactor * maxLength
	mayReturnEarly := !p.options.BufferResponses && holdBack != resp.ContentLength
	complete, err := body.bufferBeginning(holdBack, attempt.Until, mayReturnEarly)
	if err != nil {
		body.releaseMemory()
		return endOfReadError(err), answer, false
	}
	answer.Body, answer.Release = body.buffered, body.releaseMemory
	if complete {
		return core.EndServed, answer, body.connReusable()
	}
	answer.Remainder = body
	return core.EndServed, answer, false
}

// isNotRun reports whether a response states that the server has not executed the request.
func isNotRun(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(HeaderNotRun) == "1"
}

// responseBody is the body of a response: the beginning is in buffered, and Read returns the rest. When
// readResponse has returned it as the Remainder of an answer, it owns the connection until Close.
type responseBody struct {
	conn     *conn // nil after Close
	pool     *Pool
	server   policy.ServerID
	resp     *http.Response
	reader   io.Reader
	ready    func() bool // reports whether a read would return without waiting
	buffered []byte
	reserved int64 // bytes acquired from Options.ResponseMemory
	streamed int64 // bytes returned by Read, after the beginning
	ended    bool  // the body was read to its end
}

// bufferBeginning buffers the body up to a limit, and reports whether the buffer has the complete body. With
// mayReturnEarly it may return less after holdBackTimeout (see fill). The buffer grows in steps, as the length
// that a server announces may be much larger than what it sends.
func (b *responseBody) bufferBeginning(limit int64, deadline time.Time,
	mayReturnEarly bool) (complete bool, err error) {
	for size := min(limit, StreamBufferSize); ; size = min(2*size, limit) {
		if more := size - b.reserved; more > 0 {
			if !b.pool.options.ResponseMemory.AcquireMore(b.reserved, more, deadline) {
				return false, os.ErrDeadlineExceeded
			}
			b.reserved += more
		}
		grown := make([]byte, len(b.buffered), max(size, 1))
		copy(grown, b.buffered)
		b.buffered = grown
		complete, err = b.fill(deadline, mayReturnEarly)
		if complete || err != nil {
			return complete, err
		}
		if len(b.buffered) < cap(b.buffered) {
			return false, nil // holdBackTimeout has passed
		}
		if size == limit {
			return b.endsWhenFull(limit)
		}
	}
}

// endsWhenFull reports whether a body of which limit bytes are buffered is known to end there. It returns
// errReadLimit if it isn't and the response must be buffered completely.
func (b *responseBody) endsWhenFull(limit int64) (bool, error) {
	if b.resp.ContentLength == limit || limit == 0 {
		b.ended = true
		return true, nil
	}
	if b.pool.options.BufferResponses {
		return false, errReadLimit
	}
	return false, nil
}

// fill reads until the buffer is full or the body ends, and reports whether the body has ended. With
// mayReturnEarly it returns as soon as there is some data and holdBackTimeout has passed since the call.
func (b *responseBody) fill(deadline time.Time, mayReturnEarly bool) (complete bool, err error) {
	holdBackUntil := time.Now().Add(holdBackTimeout)
	for len(b.buffered) < cap(b.buffered) {
		if mayReturnEarly && len(b.buffered) > 0 && !b.ready() {
			b.conn.SetReadDeadline(earliest(holdBackUntil, deadline))
			_, err := b.conn.reader.Peek(b.conn.reader.Buffered() + 1)
			if err != nil && endOfReadError(err) == core.EndTimedOut && time.Now().Before(deadline) {
				return false, nil
			}
			b.conn.SetReadDeadline(deadline)
			if err == nil {
				continue
			}
		}
		n, err := b.reader.Read(b.buffered[len(b.buffered):cap(b.buffered)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		if errors.Is(err, io.EOF) {
			b.ended = true
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Read reads the body after the buffered beginning.
func (b *responseBody) Read(buf []byte) (int, error) {
	b.conn.SetReadDeadline(time.Now().Add(StallTimeout))
	n, err := b.reader.Read(buf)
	if b.streamed += int64(n); b.streamed > MaxBodySize {
		return n, errReadLimit
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Close releases the connection if it is reusable, and closes it otherwise. Further calls do nothing.
func (b *responseBody) Close() error {
	if b.conn == nil {
		return nil
	}
	if b.connReusable() {
		b.pool.release(b.server, b.conn)
	} else {
		b.pool.discard(b.conn)
	}
	b.conn = nil
	return nil
}

// connReusable reports whether another request may be written on the connection: the body was read to the end,
// no bytes followed it, and the server has not announced a close.
func (b *responseBody) connReusable() bool {
	return b.ended && !b.resp.Close && b.conn.reader.Buffered() == 0
}

// releaseMemory releases the acquired memory to the budget. Further calls do nothing.
func (b *responseBody) releaseMemory() {
	b.pool.options.ResponseMemory.Release(b.reserved)
	b.reserved = 0
}
