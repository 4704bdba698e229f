package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/core"
)

// Carry sends the request of an attempt to its server, and returns the response, or the reason why there is
// none. It implements core.Carrier. If the response is longer than what was buffered, it keeps the connection
// until its Remainder is closed.
func (p *Pool) Carry(attempt *core.Attempt) (core.End, core.Answer) {
	c, end := p.acquire(attempt)
	if c == nil {
		return end, core.Answer{}
	}
	idle, reused := time.Since(c.idleSince), c.used
	end, answer, reuse := c.roundTrip(p, attempt)
	if reused {
		p.staleness.observe(idle, end == core.EndStale)
	}
	cancelled := attempt.Finish()
	switch {
	case answer.Remainder != nil && cancelled:
		answer.Discard()
		return core.EndCancelled, core.Answer{}
	case answer.Remainder != nil: // it owns the connection
		return end, answer
	case reuse && !cancelled:
		p.release(attempt.Server, c)
	default:
		p.discard(c)
	}
	if cancelled && end != core.EndServed {
		end = core.EndCancelled
	}
	return end, answer
}

// roundTrip writes the complete request and reads the response. If the response has no Remainder, reuse reports
// whether the connection may be reused. In the daemon's protocol a server executes a request only after it has
// received the last byte. So if that byte was not written, end says that the request was not executed, and
// otherwise that it may have been executed.
func (c *conn) roundTrip(p *Pool, attempt *core.Attempt) (end core.End, answer core.Answer, reuse bool) {
	msg := attempt.Message.(*Message)
	reused := c.used
	c.used = true
	remaining := time.Until(attempt.Until)
	if remaining <= 0 {
		return core.EndAlreadyAnswered, answer, true
	}
	if msg.remainderRead.Load() {
		return core.EndBodyConsumed, answer, true
	}
	c.SetDeadline(attempt.Until)
	if !msg.writeBeginning(c, remaining) {
		return core.EndWriteFailed, answer, false
	}
	if msg.Remainder != nil {
		if end, complete := c.streamRemainder(p, attempt, msg); !complete {
			return end, answer, false
		}
		attempt.BodySent()
		c.SetDeadline(attempt.Until)
	}
	c.readLimit = maxHeadSize
	writtenAt := time.Now()
	if _, err := c.reader.Peek(1); err != nil {
		if end = endOfReadError(err); end == core.EndReset && reused && time.Since(writtenAt) < p.options.StaleWindow {
			end = core.EndStale
		}
		return end, answer, false
	}
	return c.readResponse(p, attempt, msg)
}

// streamRemainder writes the rest of a body as it arrives, and reports whether it was written completely. If
// not, the server has not executed the request, even if it has responded. The buffer has room for a chunk with
// its framing and for the last chunk, so that a chunk, and the last chunk after it, take one write.
func (c *conn) streamRemainder(p *Pool, attempt *core.Attempt, msg *Message) (end core.End, complete bool) {
	const bufferSize = maxChunkSizeLine + StreamBufferSize + len("\r\n") + len(lastChunk)
	if !p.options.ResponseMemory.Acquire(int64(bufferSize), time.Now().Add(StallTimeout)) {
		return core.EndNoMemory, false
	}
	defer p.options.ResponseMemory.Release(int64(bufferSize))
	msg.remainderRead.Store(true)
	attempt.BodyConsumed = true
	buf := make([]byte, bufferSize)
	remaining := int64(MaxBodySize) // limit on the bytes of the body that are still to be written
	if msg.ContentLength >= 0 {
		remaining = msg.ContentLength - int64(len(msg.Body))
	}
	for {
		n, err := msg.Remainder.Read(buf[maxChunkSizeLine : maxChunkSizeLine+StreamBufferSize])
		remaining -= int64(n)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended || remaining < 0 || ended && msg.ContentLength >= 0 && remaining > 0 {
			return core.EndBodyIncomplete, false
		}
		// A body of known length ends with its last byte. io.EOF may be returned later; the server may have
		// responded by then, and that would look like an early response.
		ended = ended || msg.ContentLength >= 0 && remaining == 0
		if c.hasUnread() {
			if end, over := c.readEarlyResponse(); over {
				return end, false
			}
		}
		out := buf[maxChunkSizeLine : maxChunkSizeLine+n]
		if msg.ContentLength < 0 && n > 0 {
			size := fmt.Appendf(nil, "%x\r\n", n)
			out = buf[maxChunkSizeLine-len(size) : maxChunkSizeLine+n]
			copy(out, size)
			out = append(out, "\r\n"...)
		}
		if ended && msg.ContentLength < 0 {
			out = append(out, lastChunk...)
		}
		c.SetDeadline(time.Now().Add(StallTimeout))
		if !c.writeAll(out) {
			if end, over := c.readEarlyResponse(); over {
				return end, false
			}
			return core.EndWriteFailed, false
		}
		if ended {
			return core.EndNone, true
		}
	}
}

// readEarlyResponse reads the response that a server has sent before the request was complete, or the close or
// reset of the connection, and returns the end of the attempt. over is false after an interim response (1xx
// other than 101): writing the body goes on.
func (c *conn) readEarlyResponse() (end core.End, over bool) {
	c.readLimit = maxHeadSize
	c.SetReadDeadline(time.Now().Add(shortReadTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
		return core.EndNone, false
	}
	if err == nil && isNotRun(resp) {
		return core.EndRejected, true
	}
	return core.EndWriteFailed, true
}
