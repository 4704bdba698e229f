package pool

import (
	"bytes"
	"crypto/tls"
	"errors"
	"os"
	"time"
)

// writeProgress is how much of a request was written to the kernel, which determines whether the server may
// have executed it.
type writeProgress uint8

const (
	headIncomplete writeProgress = iota // the server can't have executed the request
	bodyIncomplete                      // the head was written: the server may have responded without reading the rest
	requestComplete
)

const (
	// bodyWriteSize is the maximum number of bytes of a long body in one write, which has bodyStallTimeout.
	bodyWriteSize = 64 << 10
	// bodyStallTimeout is the timeout of such a write. After a write without progress, writing stops if input
	// from the server has arrived, such as its response.
	bodyStallTimeout = 50 * time.Millisecond
)

// writeTo writes the request. A short body goes out in one write, and usually one packet, with the head.
func (r *Request) writeTo(c *conn) writeProgress {
	b := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	r.WriteHead(b)
	head := b.Len()
	if len(r.Body) <= maxCoalescedBody {
		b.Write(r.Body)
		n, _ := c.Write(b.Bytes())
		return progressOf(n, head, b.Len())
	}
	if !c.writeAll(b.Bytes()) {
		return headIncomplete
	}
	return progressOf(head+r.writeBody(c), head, head+len(r.Body))
}

// progressOf returns the progress after written bytes of a request. head is the size of its head, and total that
// of the request, in bytes.
func progressOf(written, head, total int) writeProgress {
	switch {
	case written < head:
		return headIncomplete
	case written < total:
		return bodyIncomplete
	}
	return requestComplete
}

// writeBody writes a long body. It stops at the deadline, at an error, or when the server has stopped reading
// and has sent a response. It returns the number of bytes written.
func (r *Request) writeBody(c *conn) (written int) {
	if _, encrypted := c.Conn.(*tls.Conn); encrypted { // a write that times out corrupts a TLS connection
		written, _ = c.Write(r.Body)
		return written
	}
	for written < len(r.Body) {
		c.SetWriteDeadline(earliest(time.Now().Add(bodyStallTimeout), r.Deadline))
		n, err := c.Write(r.Body[written:min(written+bodyWriteSize, len(r.Body))])
		written += n
		if err == nil {
			continue
		}
		stalled := n == 0 && c.hasUnread()
		if !errors.Is(err, os.ErrDeadlineExceeded) || stalled || !time.Now().Before(r.Deadline) {
			break
		}
	}
	c.SetWriteDeadline(r.Deadline)
	return written
}
