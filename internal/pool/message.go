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

// Headers of the protocol between the daemon and servers.
const (
	HeaderTrueCost = "X-True-Cost" // in a 200 response: the cost of the request in units, if it is known only afterwards
	HeaderLoad     = "X-Load"      // a load report: name=value pairs, separated by commas, in any order
	HeaderNotRun   = "X-Not-Run"   // "1" in a 503 or 504 response: the server has not executed the request, and will not
	headerDeadline = "X-Deadline-Ms"
)

const (
	// MaxBufferedBody is the size, in bytes, up to which bodies of requests and responses are buffered
	// completely.
	MaxBufferedBody = 64 << 10
	// MaxBufferedResponse is the maximum size, in bytes, of the body of a response with
	// Options.BufferResponses.
	MaxBufferedResponse = 1 << 20
	// MaxBodySize is the maximum size of a body in bytes. The protocol allows 32 MB; the margin is for peers
	// that count the size differently.
	MaxBodySize = 40 << 20
	// StreamBufferSize is the size, in bytes, of the buffer through which the rest of a long body is streamed.
	StreamBufferSize = 16 << 10
	// StallTimeout is the maximum time without progress in streaming a long body, on either side.
	StallTimeout = 10 * time.Second

	// maxFramingFactor limits the bytes read for a body, chunk framing included, to this multiple of the
	// body's maximum size, since the framing of chunks can be of any length. The data in the chunks is limited
	// separately.
	maxFramingFactor = 8

	maxHeadSize      = 16 << 10 // bytes; of a response head, interim responses included
	maxCoalescedBody = 4 << 10  // bytes; of a body that is written together with its head
	maxChunkSizeLine = 6        // bytes; for a chunk of up to StreamBufferSize: four digits and the line end
	lastChunk        = "0\r\n\r\n"
)

// Message is the request of a core.Attempt, in the form in which it is sent to the server.
type Message struct {
	Method, Target, Host string
	Header               []byte    // complete header lines, each with its line end
	Body                 []byte    // the complete body, or its beginning
	Remainder            io.Reader // the rest of the body, which can be read only once; nil: Body is complete
	ContentLength        int64     // of Body and Remainder together; negative: unknown. Ignored if Remainder is nil

	remainderRead atomic.Bool // reading Remainder was started, so the message can't be sent again
}

// writeHead writes the head of the request to b. remaining is the time until the deadline, which is sent to the
// server in X-Deadline-Ms.
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

// headBuffers has buffers for heads and the short bodies that are written with them.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeBeginning writes the head and Body, and reports whether both were written completely.
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
