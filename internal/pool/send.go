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
type sent uint8

const (
	sentNoHead sent = iota // not all of its head: it has not run
	sentPart               // its head and not all of its body: the member may answer all the same
	sentWhole
)

const (
	// bodyStep is how much of a long body goes out between looks at the answer, in bytes.
	bodyStep = 64 << 10
	// bodyStall is how long a member may take nothing of a body before it is looked whether its answer is there.
	bodyStall = 50 * time.Millisecond
)

// write writes the request, and tells how much of it went.
func (call *Call) write(c *conn) sent {
	b := heads.Get().(*bytes.Buffer)
	defer heads.Put(b)
	b.Reset()
	call.Head(b)
	head := b.Len()
	if len(call.Body) <= mostSmall {
		b.Write(call.Body)
		n, _ := c.Write(b.Bytes())
		return sentOf(n, head, b.Len())
	}
	if !c.writeAll(b.Bytes()) {
		return sentNoHead
	}
	return sentOf(head+call.writeBody(c), head, head+len(call.Body))
}

func sentOf(n, head, whole int) sent {
	switch {
	case n < head:
		return sentNoHead
	case n < whole:
		return sentPart
	}
	return sentWhole
}

// writeBody writes a long body until the call's time is over, or its member takes nothing more and has answered, and gives how
// many bytes went.
func (call *Call) writeBody(c *conn) (all int) {
	if _, opaque := c.Conn.(*tls.Conn); opaque { // a write whose time is over breaks it
		all, _ = c.Write(call.Body)
		return all
	}
	for all < len(call.Body) {
		c.SetWriteDeadline(earliest(time.Now().Add(bodyStall), call.Until))
		n, err := c.Write(call.Body[all:min(all+bodyStep, len(call.Body))])
		all += n
		if err == nil {
			continue
		}
		stalled := n == 0 && c.stirred()
		if !errors.Is(err, os.ErrDeadlineExceeded) || stalled || !time.Now().Before(call.Until) {
			break
		}
	}
	c.SetWriteDeadline(call.Until)
	return all
}
