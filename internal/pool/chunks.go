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
type chunks struct {
	in   *bufio.Reader
	at   chunkPart
	left int64 // of a chunk
}

type chunkPart uint8

const (
	atSize chunkPart = iota
	atData
	atDataEnd // the line end behind the data
	atTrailer
	atEnd
)

var errChunks = errors.New("chunks that can't be read")

// Read may give nothing where only the framing has come on.
func (c *chunks) Read(p []byte) (int, error) {
	for len(p) > 0 {
		switch c.at {
		case atData:
			n, err := c.in.Read(p[:min(int64(len(p)), c.left)])
			if c.left -= int64(n); c.left == 0 {
				c.at = atDataEnd
			}
			return n, cut(err)
		case atEnd:
			return 0, io.EOF
		}
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return 0, cut(err)
		}
		text := strings.TrimSuffix(string(line[:len(line)-1]), "\r")
		switch c.at {
		case atDataEnd:
			if c.at = atSize; text != "" {
				return 0, errChunks
			}
			if c.in.Buffered() == 0 {
				return 0, nil // whoever waits for the next chunk may do so in another way
			}
		case atTrailer:
			if text == "" {
				c.at = atEnd
			}
		default:
			size, _, _ := strings.Cut(text, ";")
			if size = strings.TrimRight(size, " \t"); size == "" || strings.ContainsAny(size, "+-_ \t") {
				return 0, errChunks
			}
			if c.left, err = strconv.ParseInt(size, 16, 64); err != nil {
				return 0, errChunks
			}
			if c.at = atData; c.left == 0 {
				c.at = atTrailer
				return 0, nil
			}
		}
	}
	return 0, nil
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// linesBefore counts the lines that stand before what a read gives next.
var linesBefore = [...]int{atSize: 1, atData: 0, atDataEnd: 2, atTrailer: 1}

// ready tells whether a read would have something to go on with at once.
func (c *chunks) ready() bool {
	if c.at == atEnd {
		return true
	}
	there, _ := c.in.Peek(c.in.Buffered())
	return len(there) > 0 && bytes.Count(there, []byte{'\n'}) >= linesBefore[c.at]
}

// bodyOf gives an answer's body, of which a read gives what there is, and tells whether there is something.
func bodyOf(in *bufio.Reader, resp *http.Response) (body io.Reader, ready func() bool) {
	if len(resp.TransferEncoding) > 0 {
		c := &chunks{in: in}
		return c, c.ready
	}
	return resp.Body, func() bool { return in.Buffered() > 0 }
}
