package pool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/policy"
)

// This file owns what goes over a server-side connection: a request with its body, an answer with its own, either of which
// may pass through a small buffer where it is long. It must never write a byte of a request twice.

const (
	// MaxBody is the longest body that is kept, and the longest answer that is read whole.
	MaxBufferedBody = 64 << 10
	// MaxWhole is the longest answer where all are read whole.
	MaxBufferedResponse = 1 << 20
	// MaxLong is the longest body and answer there can be: the protocol's 32 MB, and room for what counts them otherwise.
	// An answer may claim any length and go on for ever.
	MaxBodySize = 40 << 20
	// Piece is the buffer through which the rest of a long body or answer passes.
	StreamBufferSize = 16 << 10
	// Progress is how long one side may neither give nor take anything of a long body or answer.
	StallTimeout = 10 * time.Second

	// heldBack is how long the beginning of an answer waits for more, where it is not known to be short: one that breaks
	// at once can be tried again only while nothing of it has gone out.
	holdBackTimeout = 100 * time.Millisecond
	// earlyWait is for what follows where all that counts is known: the body of an answer that is no good, the head of one
	// that has come before its request was whole.
	shortReadTimeout  = 100 * time.Millisecond
	maxHeadSize       = 16 << 10 // of an answer, with what stands before it
	maxLoadReportSize = 1 << 10  // of a load report
	maxCoalescedBody  = 4 << 10  // of a body that goes out with its head
	maxChunkSizeLine  = 6        // bytes that a chunk's head takes at most, for a piece
	lastChunk         = "0\r\n\r\n"
)

// Message is what a front sends on. Header is ready lines, each with its line end.
type Message struct {
	Method, Target, Host string
	Header               []byte
	Body                 []byte    // all of it, or its beginning
	Remainder            io.Reader // what follows, which can be read once; nil: nothing
	ContentLength        int64     // of all where there is a rest; below 0 where it is not known

	remainderRead atomic.Bool // something of the rest has been read
}

// head writes a request's head.
func (m *Message) writeHead(b *bytes.Buffer, remaining time.Duration) {
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n" + headerDeadline + ": ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), max(1, remaining.Milliseconds()), 10))
	b.WriteString("\r\n")
	b.Write(m.Header)
	length := int64(len(m.Body))
	if m.Remainder != nil {
		length = m.ContentLength
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || m.Method == http.MethodPost:
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// begin writes the head and as much of the body as is kept, and tells whether all of that went.
func (m *Message) writeBeginning(c *conn, remaining time.Duration) (complete bool) {
	b := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	m.writeHead(b, remaining)
	chunked := m.Remainder != nil && m.ContentLength < 0 && len(m.Body) > 0
	if chunked {
		fmt.Fprintf(b, "%x\r\n", len(m.Body))
	}
	if len(m.Body) <= maxCoalescedBody {
		b.Write(m.Body)
		if chunked {
			b.WriteString("\r\n")
		}
		return c.writeAll(b.Bytes())
	}
	return c.writeAll(b.Bytes()) && c.writeAll(m.Body) && (!chunked || c.writeAll([]byte("\r\n")))
}

// writeAll tells whether all bytes went.
func (c *conn) writeAll(b []byte) bool {
	n, _ := c.Write(b)
	return n == len(b)
}

// exchange writes the flow's request whole and reads its answer, and tells whether the connection may be used
// again. What counts for the end is whether the last byte was written: before that nothing ran, after it, it may
// have.
func (c *conn) roundTrip(p *Pool, flow *core.Flow) (end core.End, answer core.Answer, reuse bool) {
	msg := flow.Message.(*Message)
	reused := c.used
	c.used = true
	remaining := time.Until(flow.Until)
	if remaining <= 0 {
		return core.EndOver, answer, true
	}
	if msg.remainderRead.Load() {
		return core.EndSpent, answer, true
	}
	c.SetDeadline(flow.Until)
	if !msg.writeBeginning(c, remaining) {
		return core.EndCutShort, answer, false
	}
	if msg.Remainder != nil {
		if end, complete := c.streamRemainder(p, flow, msg); !complete {
			return end, answer, false
		}
		flow.Came()
		c.SetDeadline(flow.Until)
	}
	c.readLimit = maxHeadSize
	writtenAt := time.Now()
	if _, err := c.reader.Peek(1); err != nil {
		if end = endOfReadError(err); end == core.EndReset && reused && time.Since(writtenAt) < p.options.StaleWindow {
			end = core.EndStale
		}
		return end, answer, false
	}
	return c.readResponse(p, flow, msg)
}

// pass writes the rest of a body as it comes, and tells whether all of it went. Whatever a member says before that, the
// request has not run.
func (c *conn) streamRemainder(p *Pool, flow *core.Flow, msg *Message) (end core.End, complete bool) {
	const room = maxChunkSizeLine + StreamBufferSize + 2 + len(lastChunk) // a chunk with its head and its line end, and what ends them all
	if !p.options.ResponseMemory.Acquire(int64(room), time.Now().Add(StallTimeout)) {
		return core.EndNoMemory, false
	}
	defer p.options.ResponseMemory.Release(int64(room))
	msg.remainderRead.Store(true)
	flow.Spent = true
	buf := make([]byte, room)
	remaining := int64(MaxBodySize) // of a body whose length is known no byte too many goes out, and its last one is the end
	if msg.ContentLength >= 0 {
		remaining = msg.ContentLength - int64(len(msg.Body))
	}
	for {
		n, err := msg.Remainder.Read(buf[maxChunkSizeLine : maxChunkSizeLine+StreamBufferSize])
		remaining -= int64(n)
		ended := errors.Is(err, io.EOF)
		if err != nil && !ended || remaining < 0 || ended && msg.ContentLength >= 0 && remaining > 0 {
			return core.EndBodyCut, false
		}
		ended = ended || msg.ContentLength >= 0 && remaining == 0 // from its last byte on the member may answer
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
			return core.EndCutShort, false
		}
		if ended {
			return core.EndNone, true
		}
	}
}

// early reads what a member says, or how it ends, before a request is whole, and tells whether that is all there will be.
func (c *conn) readEarlyResponse() (end core.End, over bool) {
	c.readLimit = maxHeadSize
	c.SetReadDeadline(time.Now().Add(shortReadTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		return core.EndNone, false
	}
	if err == nil && isNotRun(resp) {
		return core.EndTurnedAway, true
	}
	return core.EndCutShort, true
}

func isNotRun(resp *http.Response) bool {
	return (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(HeaderNotRun) == "1"
}

// report reads a load report. A field that is missing or no number is NaN, and one that nobody knows is passed over; nil:
// nothing is known.
func parseLoadReport(text string, fields map[string]int) (list []float32) {
	if text == "" || len(fields) == 0 || len(text) > maxLoadReportSize {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		index, known := fields[strings.TrimSpace(name)]
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if !known || err != nil || !(x >= 0 && x <= math.MaxFloat32) {
			continue
		}
		for len(list) <= index {
			list = append(list, float32(math.NaN()))
		}
		list[index] = float32(x)
	}
	return list
}

// units reads how much a request drew; a figure that is none counts as not told.
func parseTrueCost(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0 && x <= math.MaxUint16) {
		return 0
	}
	return x
}

// answer reads an answer, to its end or as far as it is held back.
func (c *conn) readResponse(p *Pool, flow *core.Flow, msg *Message) (end core.End, answer core.Answer, reuse bool) {
	var resp *http.Response
	for interim := 0; ; interim++ {
		var err error
		if resp, err = http.ReadResponse(c.reader, &http.Request{Method: msg.Method}); err != nil {
			return endOfReadError(err), answer, false
		}
		if resp.StatusCode >= 200 {
			break
		}
		if interim == 5 || resp.StatusCode == http.StatusSwitchingProtocols {
			return core.EndReset, answer, false
		}
	}
	answer.Report = parseLoadReport(resp.Header.Get(HeaderLoad), p.options.LoadFields)
	body := &responseBody{conn: c, pool: p, server: flow.Server, resp: resp}
	body.reader, body.ready = bodyReader(c.reader, resp)
	if resp.StatusCode != http.StatusOK { // what it says is of no use, but is read for the connection's sake
		c.readLimit += MaxBufferedBody
		c.SetReadDeadline(earliest(flow.Until, time.Now().Add(shortReadTimeout)))
		_, err := io.Copy(io.Discard, body.reader)
		body.ended = err == nil
		if isNotRun(resp) {
			return core.EndTurnedAway, answer, body.connReusable()
		}
		return core.EndErrored, answer, body.connReusable()
	}
	answer.Type, answer.Length, answer.Units = resp.Header.Get("Content-Type"), resp.ContentLength, parseTrueCost(resp.Header.Get(HeaderTrueCost))
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
	c.readLimit += 8 * maxLength // chunks have heads; what is in them is counted on its own
	complete, err := body.bufferBeginning(holdBack, flow.Until, !p.options.BufferResponses && holdBack != resp.ContentLength)
	if err != nil {
		body.releaseMemory()
		return endOfReadError(err), answer, false
	}
	answer.Body, answer.Free = body.buffered, body.releaseMemory
	if complete {
		return core.EndServed, answer, body.connReusable()
	}
	answer.Rest = body
	return core.EndServed, answer, false
}

func endOfReadError(err error) core.End {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return core.EndTimedOut
	}
	return core.EndReset
}

// body is an answer's body on its way. Once its beginning has gone out it owns its connection.
type responseBody struct {
	conn     *conn
	pool     *Pool
	server   policy.ServerID
	resp     *http.Response
	reader   io.Reader
	ready    func() bool // a read gives something at once
	buffered []byte
	reserved int64 // from the budget
	streamed int64 // bytes that followed the beginning
	ended    bool
}

var errReadLimit = errors.New("too long")

// begin reads the beginning: all, where it is no longer than hold; else until so much is there, or nothing more has come
// for a moment where back says that it is held back no longer. It tells whether that is all.
func (b *responseBody) bufferBeginning(limit int64, deadline time.Time, mayReturnEarly bool) (complete bool, err error) {
	for size := min(limit, StreamBufferSize); ; size = min(2*size, limit) { // what is claimed need not come
		if more := size - b.reserved; more > 0 {
			if !b.pool.options.ResponseMemory.Acquire(more, deadline) {
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
			return false, nil // held back long enough
		}
		if size == limit {
			return b.endsWhenFull(limit)
		}
	}
}

// atEnd tells whether a body that fills what was meant for it ends there.
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

// fill reads until what is held is full, or the body ends, or for so long as it is held back.
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

// Read gives what follows the beginning.
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

// Close gives the connection back where the answer has come whole, and ends it where it hasn't.
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

// clean tells whether another flow may use the connection: the body has ended and brought nothing more.
func (b *responseBody) connReusable() bool {
	return b.ended && !b.resp.Close && b.conn.reader.Buffered() == 0
}

func (b *responseBody) releaseMemory() {
	b.pool.options.ResponseMemory.Release(b.reserved)
	b.reserved = 0
}
