package pool

import (
	"bytes"
	"crypto/tls"
	"errors"
	"os"
	"time"
)

// writeProgress says how much of a request was handed to the kernel, and so whether the server may have executed it.
type writeProgress uint8

const (
	headIncomplete writeProgress = iota // the server can't have executed it
	bodyIncomplete                      // the head was written: the server may have answered without reading the rest
	requestComplete
)

const (
	// bodyWriteSize is the number of bytes of a long body that are written between two looks at the response.
	bodyWriteSize = 64 << 10
	// bodyStallTimeout is the time for which a server may take nothing of a body before its response is looked for.
	bodyStallTimeout = 50 * time.Millisecond
)

// writeTo writes the request. A short body goes out in one write, and usually one packet, with the head.
func (request *Request) writeTo(c *conn) writeProgress {
	b := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	request.WriteHead(b)
	head := b.Len()
	if len(request.Body) <= maxCoalescedBody {
		b.Write(request.Body)
		n, _ := c.Write(b.Bytes())
		return progressOf(n, head, b.Len())
	}
	if !c.writeAll(b.Bytes()) {
		return headIncomplete
	}
	return progressOf(head+request.writeBody(c), head, head+len(request.Body))
}

// progressOf returns the progress after so many bytes of a request with this size of the head and in total.
func progressOf(written, head, total int) writeProgress {
	switch {
	case written < head:
		return headIncomplete
	case written < total:
		return bodyIncomplete
	}
	return requestComplete
}

// writeBody writes a long body until the deadline, or until the server takes no more of it and has answered. It
// returns the number of bytes written.
func (request *Request) writeBody(c *conn) (written int) {
	if _, encrypted := c.Conn.(*tls.Conn); encrypted { // a write whose time is over breaks it
		written, _ = c.Write(request.Body)
		return written
	}
	for written < len(request.Body) {
		c.SetWriteDeadline(earliest(time.Now().Add(bodyStallTimeout), request.Deadline))
		n, err := c.Write(request.Body[written:min(written+bodyWriteSize, len(request.Body))])
		written += n
		if err == nil {
			continue
		}
		stalled := n == 0 && c.hasUnread()
		if !errors.Is(err, os.ErrDeadlineExceeded) || stalled || !time.Now().Before(request.Deadline) {
			break
		}
	}
	c.SetWriteDeadline(request.Deadline)
	return written
}
