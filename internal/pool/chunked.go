package pool

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// chunkedReader decodes a chunked body (RFC 9112, section 7.1), and returns data as soon as any has arrived.
// The reader of the standard library waits for the whole chunk if it has a part of it, and a server may pause
// within a chunk. The trailer section is read and discarded.
type chunkedReader struct {
	reader    *bufio.Reader
	state     chunkState
	remaining int64 // unread bytes of the current chunk
}

// chunkState is the element of the encoding that is read next.
type chunkState uint8

const (
	atSize    chunkState = iota // the line with a chunk's size
	atData                      // the data of a chunk
	atDataEnd                   // the line end after the data
	atTrailer                   // the lines after the last chunk
	atEnd                       // nothing more
)

var errMalformedChunk = errors.New("pool: malformed chunked encoding")

// Read decodes up to len(p) bytes. It returns 0 bytes and no error if it has read only framing.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for len(p) > 0 {
		switch c.state {
		case atData:
			n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
			if c.remaining -= int64(n); c.remaining == 0 {
				c.state = atDataEnd
			}
			return n, unexpectedEOF(err)
		case atEnd:
			return 0, io.EOF
		}
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		text := strings.TrimSuffix(string(line[:len(line)-1]), "\r")
		switch c.state {
		case atDataEnd:
			if c.state = atSize; text != "" {
				return 0, errMalformedChunk
			}
			if c.reader.Buffered() == 0 {
				return 0, nil // the caller decides how to wait for the next chunk
			}
		case atTrailer:
			if text == "" {
				c.state = atEnd
			}
		default:
			size, _, _ := strings.Cut(text, ";")
			if size = strings.TrimRight(size, " \t"); size == "" || strings.ContainsAny(size, "+-_ \t") {
				return 0, errMalformedChunk
			}
			if c.remaining, err = strconv.ParseInt(size, 16, 64); err != nil {
				return 0, errMalformedChunk
			}
			if c.state = atData; c.remaining == 0 {
				c.state = atTrailer
				return 0, nil
			}
			if c.reader.Buffered() == 0 {
				return 0, nil // the server may pause before the data
			}
		}
	}
	return 0, nil
}

// lineEndsNeeded has, by state, the number of line ends that must be buffered before a read can return data or
// the end.
var lineEndsNeeded = [...]int{atSize: 1, atData: 0, atDataEnd: 2, atTrailer: 1}

// ready reports whether a read can make progress without waiting.
func (c *chunkedReader) ready() bool {
	if c.state == atEnd {
		return true
	}
	available, _ := c.reader.Peek(c.reader.Buffered())
	return len(available) > 0 && bytes.Count(available, []byte{'\n'}) >= lineEndsNeeded[c.state]
}

// bodyReader returns a reader of a response's body that returns data as it arrives, and a function that
// reports whether a read would return without waiting.
func bodyReader(in *bufio.Reader, resp *http.Response) (body io.Reader, ready func() bool) {
	if len(resp.TransferEncoding) > 0 {
		c := &chunkedReader{reader: in}
		return c, c.ready
	}
	return resp.Body, func() bool { return in.Buffered() > 0 }
}
