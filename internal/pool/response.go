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
	// holdBackTimeout is the time for which the beginning of a response is held back while more may follow.
	// An attempt that fails at once can be retried only while nothing of the response has been passed on.
	holdBackTimeout = 100 * time.Millisecond
	// shortReadTimeout bounds reading what doesn't change the result: the body of an error response, or the
	// head of one that was sent before its request was complete.
	shortReadTimeout = 100 * time.Millisecond
)

// readResponse reads a response, to its end or as far as it is held back. Only 200 counts as success; the
// body of another status is discarded, for the sake of reusing the connection.
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

// isNotRun reports whether a response says that the server has not executed the request.
func isNotRun(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(HeaderNotRun) == "1"
}

// responseBody is the body of a response: its beginning in buffered, and Read for the rest. Once readResponse
// has returned it as an answer's Remainder it owns its connection, until Close.
type responseBody struct {
	conn     *conn // nil: closed
	pool     *Pool
	server   policy.ServerID
	resp     *http.Response
	reader   io.Reader
	ready    func() bool // a read returns without waiting
	buffered []byte
	reserved int64 // bytes of Options.ResponseMemory
	streamed int64 // bytes read after the beginning
	ended    bool  // the body was read to its end
}

// bufferBeginning buffers the body up to a limit, and reports whether that is all of it. With mayReturnEarly
// it returns less once no more has arrived for holdBackTimeout. The buffer grows in steps, as a length that a
// server claims may be far beyond what it sends.
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

// endsWhenFull reports whether a body that fills the limit ends there.
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

// fill reads until the buffer is full or the body ends, and reports the latter. With mayReturnEarly it
// returns once it has something and holdBackTimeout has passed.
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

// Read reads the body after its beginning.
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

// Close releases the connection if the body was read to its end, and closes it otherwise.
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

// connReusable reports whether another request may be written on the connection: the body has ended, and
// nothing has followed it.
func (b *responseBody) connReusable() bool {
	return b.ended && !b.resp.Close && b.conn.reader.Buffered() == 0
}

// releaseMemory returns the reserved memory to the budget. Further calls do nothing.
func (b *responseBody) releaseMemory() {
	b.pool.options.ResponseMemory.Release(b.reserved)
	b.reserved = 0
}
