package pool

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the daemon's protocol with servers.
const (
	HeaderTrueCost = "X-True-Cost" // of a 200 response: the request's cost in units, if that is settled afterwards
	HeaderLoad     = "X-Load"      // a load report: name=value, separated by commas, in any order
	HeaderNotRun   = "X-Not-Run"   // "1" with 503 or 504: the server has not executed the request, and will not
	headerDeadline = "X-Deadline-Ms"
)

const (
	// MaxBufferedBody is the size, in bytes, up to which a request body is kept whole and a response is
	// buffered whole.
	MaxBufferedBody = 64 << 10
	// MaxBufferedResponse is the maximum size of a response with Options.BufferResponses.
	MaxBufferedResponse = 1 << 20
	// MaxBodySize is the maximum size of a body: 32 MB by the protocol, with a margin for those who count
	// differently.
	MaxBodySize = 40 << 20
	// StreamBufferSize is the size of the buffer through which the remainder of a long body passes.
	StreamBufferSize = 16 << 10
	// StallTimeout is the time for which either side may neither give nor take a byte of a long body.
	StallTimeout = 10 * time.Second

	// maxFramingFactor bounds what may be read of a body, as a multiple of its maximum size, since chunks
	// have framing of any length. What the chunks contain is bounded separately.
	maxFramingFactor = 8

	maxHeadSize      = 16 << 10 // of a response, interim responses included
	maxCoalescedBody = 4 << 10  // of a body that is written together with its head
	maxChunkSizeLine = 6        // of a chunk of up to StreamBufferSize: four digits and the line end
	lastChunk        = "0\r\n\r\n"
)

// Message is the request of a core.Attempt, as the daemon passes it on.
type Message struct {
	Method, Target, Host string
	Header               []byte    // complete lines, each with its line end
	Body                 []byte    // all of it, or its beginning
	Remainder            io.Reader // the rest of the body, which can be read once; nil: there is none
	ContentLength        int64     // of Body and Remainder together if there is a Remainder; negative: unknown

	remainderRead atomic.Bool // something of Remainder was read: the message can't be sent again
}

// writeHead writes the head. remaining is the time until the deadline, which goes to the server in
// X-Deadline-Ms.
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

// headBuffers has buffers for heads, and for short bodies behind them.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeBeginning writes the head and what is kept of the body, and reports whether all of it was written.
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
