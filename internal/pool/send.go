package pool

import (
	"bytes"
	"crypto/tls"
	"errors"
	"os"
	"time"
)

// This file owns how a call's request goes out: a member may answer while its body is still on the way.

// sent is how much of a request went out.
type writeProgress uint8

const (
	headIncomplete writeProgress = iota // not all of its head: it has not run
	bodyIncomplete                      // its head and not all of its body: the member may answer all the same
	requestComplete
)

const (
	// bodyStep is how much of a long body goes out between looks at the answer, in bytes.
	bodyWriteSize = 64 << 10
	// bodyStall is how long a member may take nothing of a body before it is looked whether its answer is there.
	bodyStallTimeout = 50 * time.Millisecond
)

// write writes the request, and tells how much of it went.
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

func progressOf(written, head, total int) writeProgress {
	switch {
	case written < head:
		return headIncomplete
	case written < total:
		return bodyIncomplete
	}
	return requestComplete
}

// writeBody writes a long body until the call's time is over, or its member takes nothing more and has answered, and gives how
// many bytes went.
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
