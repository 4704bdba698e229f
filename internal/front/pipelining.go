package front

import (
	"net"
	"slices"
)

// Limits on pipelined input, which is what a client sends after a request before that request is answered.
const (
	// maxPipelinedKept is the number of bytes that are kept, so that the requests in them are answered. If
	// there are more, the response to the request before them is the last one of the connection.
	maxPipelinedKept = 4 << 10
	// maxPipelinedRead is the number of bytes after which watching for a disconnect ends, so that a client
	// can't keep the watch busy.
	maxPipelinedRead = 64 << 10
)

// takePipelined copies kept input to b. If none is left and input after it was discarded, the connection can't be
// read any further, and the error is net.ErrClosed.
func (c *clientConn) takePipelined(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = copy(b, c.pipelined)
	if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
		c.pipelined = nil
	}
	if n == 0 && c.pipelineOverflowed {
		err = net.ErrClosed
	}
	return n, err
}

// holdPipelined keeps the byte in b if it belongs to a request after the one that is being handled or is about
// to be handled, and reports whether it does. The input before the byte may already end within a further
// request.
func (c *clientConn) holdPipelined(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests
	if !c.handling {
		request++
	}
	if c.encrypted || c.framing.heads < request || !c.framing.betweenMessages() && !c.framing.readBeyond(request) {
		return false
	}
	c.pipelined = slices.Insert(c.pipelined, 0, b[0])
	return true
}

// readPipelined reads and keeps input after a request, up to maxPipelinedRead. It returns the error that ends
// reading before that: the end of the connection, or the deadline with which net/http cancels its read when the
// handler has returned.
func (c *clientConn) readPipelined() error {
	var buf [512]byte
	for total := 0; total < maxPipelinedRead; {
		n, err := c.Conn.Read(buf[:])
		total += n
		c.mu.Lock()
		keep := min(n, maxPipelinedKept-len(c.pipelined))
		c.pipelined = append(c.pipelined, buf[:keep]...)
		c.pipelineOverflowed = c.pipelineOverflowed || keep < n
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// hasPipelined reports whether input was read after the request that is being handled or was handled last. Under
// TLS it returns false.
func (c *clientConn) hasPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pipelined) > 0 || c.framing.readBeyond(c.requests)
}

// moreArrived reports whether input has arrived after the request, read or unread.
func (c *clientConn) moreArrived() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	between := c.framing.betweenMessages()
	c.mu.Unlock()
	return c.hasPipelined() || between && !c.nothingUnread()
}

// overflowed reports whether pipelined input was discarded.
func (c *clientConn) overflowed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelineOverflowed
}
