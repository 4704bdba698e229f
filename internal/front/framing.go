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
type framingScanner struct {
	state          scanState
	linePrefix     []byte // the beginning of the line that is read
	lineSuffix     []byte // and its end
	bodyLeft       int64  // bytes of a body, or of a chunk with its line end
	contentLength  int64  // that the head names; -1: none
	chunked        bool   // the head names an encoding
	http10         bool   // the head is of HTTP/1.0, where an encoding means nothing
	heads          int    // that have come whole
	firstAmbiguous int    // the first of them that names both; 0: none
	firstUnknown   int    // the first that can't be told of; 0: none
}

// part is what a byte belongs to.
type scanState uint8

const (
	inStart   scanState = iota // before a request's line, which empty lines may stand before
	inHead                     // after it
	inBody                     // of a known length
	inSize                     // the line before a chunk
	inTrailer                  // the lines after the last
)

// How much of a line is looked at.
const (
	maxLinePrefix  = 128
	lineSuffixSize = len("HTTP/1.0\r")
)

// follow takes in what has been read.
func (f *framingScanner) scan(b []byte) {
	for len(b) > 0 && f.firstUnknown == 0 {
		if f.state == inBody {
			n := int(min(f.bodyLeft, int64(len(b))))
			b, f.bodyLeft = b[n:], f.bodyLeft-int64(n)
			if f.bodyLeft == 0 {
				if f.state = inStart; f.chunked {
					f.state = inSize
				}
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		text := b
		if end >= 0 {
			text = b[:end]
		}
		f.linePrefix = append(f.linePrefix, text[:min(len(text), maxLinePrefix-len(f.linePrefix))]...)
		f.lineSuffix = append(f.lineSuffix, text[max(0, len(text)-lineSuffixSize):]...)
		f.lineSuffix = append(f.lineSuffix[:0], f.lineSuffix[max(0, len(f.lineSuffix)-lineSuffixSize):]...)
		if b = b[len(text):]; end >= 0 {
			b = b[1:]
			f.endLine()
			f.linePrefix, f.lineSuffix = f.linePrefix[:0], f.lineSuffix[:0]
		}
	}
}

func (f *framingScanner) endLine() {
	line := strings.TrimSuffix(string(f.linePrefix), "\r")
	switch f.state {
	case inStart:
		if line != "" {
			f.state, f.contentLength, f.chunked = inHead, -1, false
			f.http10 = strings.HasSuffix(strings.TrimSuffix(string(f.lineSuffix), "\r"), "HTTP/1.0")
		}
	case inHead:
		name, value, ok := strings.Cut(line, ":")
		switch {
		case line == "":
			f.endHead()
		case line[0] == ' ' || line[0] == '\t' || !ok && len(f.linePrefix) < maxLinePrefix:
			f.giveUp()
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.chunked = true
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseInt(strings.Trim(value, " \t"), 10, 63)
			if err != nil || n < 0 || f.contentLength >= 0 && f.contentLength != n || len(f.linePrefix) == maxLinePrefix {
				f.giveUp()
			}
			f.contentLength = n
		}
	case inSize:
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.Trim(digits, " \t"), 16, 63)
		switch {
		case err != nil || n < 0 || n > math.MaxInt64/2:
			f.giveUp()
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.bodyLeft = inBody, n+2
		}
	case inTrailer:
		if line == "" {
			f.state = inStart
		}
	}
}

func (f *framingScanner) endHead() {
	f.heads++
	if f.chunked && f.contentLength >= 0 && f.firstAmbiguous == 0 {
		f.firstAmbiguous = f.heads
	}
	f.chunked = f.chunked && !f.http10
	switch {
	case f.chunked:
		f.state = inSize
	case f.contentLength > 0:
		f.state, f.bodyLeft = inBody, f.contentLength
	default:
		f.state = inStart
	}
}

func (f *framingScanner) giveUp() {
	if f.firstUnknown == 0 {
		f.firstUnknown = f.heads + 1
	}
}

// clean tells whether the head of the nth request is known to name no length beside chunks.
func (f *framingScanner) unambiguous(n int) bool {
	return n <= f.heads && (f.firstAmbiguous == 0 || n < f.firstAmbiguous) && (f.firstUnknown == 0 || n < f.firstUnknown)
}

// between tells whether all that was read ends with a message.
func (f *framingScanner) betweenMessages() bool {
	return f.firstUnknown == 0 && f.state == inStart && len(f.linePrefix) == 0
}

// beyond tells whether something has been read behind the nth request.
func (f *framingScanner) readBeyond(n int) bool {
	return f.firstUnknown == 0 && (f.heads > n || f.heads == n && (f.state == inHead || f.state == inStart && len(f.linePrefix) > 0))
}

// clientKey finds a client's connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if client, ok := c.(*clientConn); ok { // under TLS what is read says nothing of messages
		ctx = context.WithValue(ctx, connKey{}, client)
	}
	return ctx
}

// ChunksAlone tells whether a request whose body comes in chunks is known to have named no length beside them.
func UnambiguousFraming(r *http.Request) bool {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.unambiguous(c.requests)
}
