package serverclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// bodyReader reads a response's body by its framing: chunked encoding or Content-Length.
type bodyReader struct {
	in        *bufio.Reader
	chunked   bool
	remaining int64 // unread bytes of the body, or of the current chunk
	inChunk   bool  // a chunk has begun, and the line end after it was not read yet
	complete  bool  // the body was read to its end, including the trailer
}

// newBodyReader returns a reader of the body that follows a response's header.
func newBodyReader(in *bufio.Reader, response responseHeader) *bodyReader {
	b := &bodyReader{in: in, chunked: response.chunked, remaining: response.length}
	if response.chunked {
		b.remaining = 0
	}
	b.complete = !b.chunked && b.remaining == 0
	return b
}

// Read reads bytes of the body. It returns io.EOF only at the end of the body, and io.ErrUnexpectedEOF if the
// connection ends before.
func (b *bodyReader) Read(into []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.complete {
			return 0, io.EOF
		}
	}
	n, err := b.in.Read(into[:min(int64(len(into)), b.remaining)])
	b.remaining -= int64(n)
	if !b.chunked && b.remaining == 0 {
		b.complete = true
	}
	if b.chunked && b.remaining == 0 {
		b.skipLineEnd()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// skipLineEnd reads the line end after a chunk if it is buffered. So the buffer is empty when all received bytes of
// the body were read, which readEvents relies on.
func (b *bodyReader) skipLineEnd() {
	if b.in.Buffered() < 2 {
		return
	}
	if end, err := b.in.Peek(2); err == nil && end[0] == '\r' && end[1] == '\n' {
		_, _ = b.in.Discard(2)
		b.inChunk = false
	}
}

// nextChunk reads the size of the next chunk, or the trailer after the last one.
func (b *bodyReader) nextChunk() error {
	if b.inChunk {
		if line, err := readLine(b.in); err != nil || len(line) != 0 {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
	}
	b.inChunk = true
	line, err := readLine(b.in)
	if err != nil {
		return errors.Join(io.ErrUnexpectedEOF, err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
	if err != nil || length < 0 {
		return errProtocol
	}
	b.remaining = length
	if length > 0 {
		return nil
	}
	return b.skipTrailer()
}

// skipTrailer reads and ignores the trailer, up to and including the empty line after it.
func (b *bodyReader) skipTrailer() error {
	for range maxHeaderLines {
		line, err := readLine(b.in)
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if len(line) == 0 {
			b.complete = true
			return nil
		}
	}
	return errProtocol
}
