package front

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// framingScanner parses the framing of the messages that a client sends (RFC 9112, sections 6 and 7), byte by
// byte. It detects heads with both a Content-Length and a Transfer-Encoding: net/http ignores the length then,
// and a proxy in front that uses the length would assume another end of the body, so that a further request can
// be hidden in the body (request smuggling). The scanner doesn't change the input. A request that it can't parse,
// and all requests after it, count as ambiguous.
type framingScanner struct {
	state          scanState
	linePrefix     []byte // beginning of the current line, up to maxLinePrefix
	lineSuffix     []byte // last bytes of the current line so far, up to lineSuffixSize
	bodyLeft       int64  // remaining bytes of a body, or of a chunk and its line end
	contentLength  int64  // of the current head; -1: none
	chunked        bool   // the current head has a Transfer-Encoding
	http10         bool   // the current request is HTTP/1.0, where Transfer-Encoding has no meaning
	heads          int    // complete heads
	firstAmbiguous int    // number of the first request with both fields; 0: none
	firstUnknown   int    // number of the first request that could not be parsed; 0: none
}

// scanState is the element of a message to which the next byte belongs.
type scanState uint8

const (
	inStart   scanState = iota // a request line, or an empty line before it
	inHead                     // the header fields after the request line
	inBody                     // a body of known length, or a chunk
	inSize                     // the line with the size of a chunk
	inTrailer                  // the lines after the last chunk
)

// Numbers of bytes of a line that are kept: enough for the names and values of the two fields, and for the
// version at the end of a request line.
const (
	maxLinePrefix  = 128
	lineSuffixSize = len("HTTP/1.0\r")
)

// scan parses further input.
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

// endLine handles a complete line.
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
			contradicts := f.contentLength >= 0 && f.contentLength != n
			if err != nil || n < 0 || contradicts || len(f.linePrefix) == maxLinePrefix {
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

// endHead handles the empty line after a head.
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

// giveUp records that the current request can't be parsed, nor any after it.
func (f *framingScanner) giveUp() {
	if f.firstUnknown == 0 {
		f.firstUnknown = f.heads + 1
	}
}

// unambiguous reports whether the head of the nth request was parsed and doesn't have both a Content-Length and a
// Transfer-Encoding.
func (f *framingScanner) unambiguous(n int) bool {
	return n <= f.heads && (f.firstAmbiguous == 0 || n < f.firstAmbiguous) &&
		(f.firstUnknown == 0 || n < f.firstUnknown)
}

// betweenMessages reports whether the input so far ends at the end of a message.
func (f *framingScanner) betweenMessages() bool {
	return f.firstUnknown == 0 && f.state == inStart && len(f.linePrefix) == 0
}

// readBeyond reports whether input after the nth request was read.
func (f *framingScanner) readBeyond(n int) bool {
	inNext := f.state == inHead || f.state == inStart && len(f.linePrefix) > 0
	return f.firstUnknown == 0 && (f.heads > n || f.heads == n && inNext)
}

// UnambiguousFraming reports whether a request with a chunked body is known to have had no Content-Length besides
// its Transfer-Encoding. It returns false under TLS.
func UnambiguousFraming(r *http.Request) bool {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.unambiguous(c.requests)
}
