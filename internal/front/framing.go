package front

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// framing follows the messages in what a client sends, byte by byte, only to know of each head whether it names both a
// length and chunks: net/http forgets the length then, and such a request may hide another in its body. It must never
// change a byte, and where it can't tell it says so.
type framing struct {
	at     part
	line   []byte // the beginning of the line that is read
	tail   []byte // and its end
	left   int64  // bytes of a body, or of a chunk with its line end
	length int64  // that the head names; -1: none
	chunks bool   // the head names an encoding
	old    bool   // the head is of HTTP/1.0, where an encoding means nothing
	heads  int    // that have come whole
	double int    // the first of them that names both; 0: none
	lost   int    // the first that can't be told of; 0: none
}

// part is what a byte belongs to.
type part uint8

const (
	inStart   part = iota // before a request's line, which empty lines may stand before
	inHead                // after it
	inBody                // of a known length
	inSize                // the line before a chunk
	inTrailer             // the lines after the last
)

// How much of a line is looked at.
const (
	mostLine = 128
	mostTail = len("HTTP/1.0\r")
)

// follow takes in what has been read.
func (f *framing) follow(b []byte) {
	for len(b) > 0 && f.lost == 0 {
		if f.at == inBody {
			n := int(min(f.left, int64(len(b))))
			b, f.left = b[n:], f.left-int64(n)
			if f.left == 0 {
				if f.at = inStart; f.chunks {
					f.at = inSize
				}
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		text := b
		if end >= 0 {
			text = b[:end]
		}
		f.line = append(f.line, text[:min(len(text), mostLine-len(f.line))]...)
		f.tail = append(f.tail, text[max(0, len(text)-mostTail):]...)
		f.tail = append(f.tail[:0], f.tail[max(0, len(f.tail)-mostTail):]...)
		if b = b[len(text):]; end >= 0 {
			b = b[1:]
			f.endLine()
			f.line, f.tail = f.line[:0], f.tail[:0]
		}
	}
}

func (f *framing) endLine() {
	line := strings.TrimSuffix(string(f.line), "\r")
	switch f.at {
	case inStart:
		if line != "" {
			f.at, f.length, f.chunks = inHead, -1, false
			f.old = strings.HasSuffix(strings.TrimSuffix(string(f.tail), "\r"), "HTTP/1.0")
		}
	case inHead:
		name, value, ok := strings.Cut(line, ":")
		switch {
		case line == "":
			f.endHead()
		case line[0] == ' ' || line[0] == '\t' || !ok && len(f.line) < mostLine:
			f.lose()
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.chunks = true
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseInt(strings.Trim(value, " \t"), 10, 63)
			if err != nil || n < 0 || f.length >= 0 && f.length != n || len(f.line) == mostLine {
				f.lose()
			}
			f.length = n
		}
	case inSize:
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.Trim(digits, " \t"), 16, 63)
		switch {
		case err != nil || n < 0 || n > math.MaxInt64/2:
			f.lose()
		case n == 0:
			f.at = inTrailer
		default:
			f.at, f.left = inBody, n+2
		}
	case inTrailer:
		if line == "" {
			f.at = inStart
		}
	}
}

func (f *framing) endHead() {
	f.heads++
	if f.chunks && f.length >= 0 && f.double == 0 {
		f.double = f.heads
	}
	f.chunks = f.chunks && !f.old
	switch {
	case f.chunks:
		f.at = inSize
	case f.length > 0:
		f.at, f.left = inBody, f.length
	default:
		f.at = inStart
	}
}

func (f *framing) lose() {
	if f.lost == 0 {
		f.lost = f.heads + 1
	}
}

// clean tells whether the head of the nth request is known to name no length beside chunks.
func (f *framing) clean(n int) bool {
	return n <= f.heads && (f.double == 0 || n < f.double) && (f.lost == 0 || n < f.lost)
}

// between tells whether all that was read ends with a message.
func (f *framing) between() bool { return f.lost == 0 && f.at == inStart && len(f.line) == 0 }

// beyond tells whether something has been read behind the nth request.
func (f *framing) beyond(n int) bool {
	return f.lost == 0 && (f.heads > n || f.heads == n && (f.at == inHead || f.at == inStart && len(f.line) > 0))
}

// clientKey finds a client's connection in the context of its requests.
type clientKey struct{}

func keepClient(ctx context.Context, c net.Conn) context.Context {
	if k, ok := c.(*client); ok { // under TLS what is read says nothing of messages
		ctx = context.WithValue(ctx, clientKey{}, k)
	}
	return ctx
}

// ChunksAlone tells whether a request whose body comes in chunks is known to have named no length beside them.
func ChunksAlone(r *http.Request) bool {
	c, _ := r.Context().Value(clientKey{}).(*client)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.clean(c.requests)
}
