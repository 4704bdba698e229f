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

// chunks reads a body that comes in chunks, and gives what there is as soon as there is some: the standard library's reader
// waits for a whole chunk where it has a part, and a member may pause in the middle of one.
type chunkedReader struct {
	reader    *bufio.Reader
	state     chunkState
	remaining int64 // of a chunk
}

type chunkState uint8

const (
	atSize chunkState = iota
	atData
	atDataEnd // the line end behind the data
	atTrailer
	atEnd
)

var errMalformedChunk = errors.New("chunks that can't be read")

// Read may give nothing where only the framing has come on.
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
				return 0, nil // whoever waits for the next chunk may do so in another way
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
		}
	}
	return 0, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// linesBefore counts the lines that stand before what a read gives next.
var lineEndsNeeded = [...]int{atSize: 1, atData: 0, atDataEnd: 2, atTrailer: 1}

// ready tells whether a read would have something to go on with at once.
func (c *chunkedReader) ready() bool {
	if c.state == atEnd {
		return true
	}
	available, _ := c.reader.Peek(c.reader.Buffered())
	return len(available) > 0 && bytes.Count(available, []byte{'\n'}) >= lineEndsNeeded[c.state]
}

// bodyOf gives an answer's body, of which a read gives what there is, and tells whether there is something.
func bodyReader(in *bufio.Reader, resp *http.Response) (body io.Reader, ready func() bool) {
	if len(resp.TransferEncoding) > 0 {
		c := &chunkedReader{reader: in}
		return c, c.ready
	}
	return resp.Body, func() bool { return in.Buffered() > 0 }
}
