package serverclient

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	maxHeaderLines = 100
	maxEventSize   = 1 << 20 // bytes
	maxErrorBody   = 64 << 10
)

var (
	errProtocol       = errors.New("exchange: the server's bytes are no answer")
	errWrongRequestID = errors.New("exchange: the answer belongs to another request")
	errNoFraming      = errors.New("exchange: the answer has no stamp or no end that can be told")
	errEventOrder     = errors.New("exchange: an event is missing, comes twice or doesn't end")
)

// ownHeader tells which of an item's headers the store sets itself, or concern one connection only.
func isReservedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "host", "x-request-id", "x-tenant", "x-expect-instance", "x-deadline-ms", "last-event-id", "content-length",
		"transfer-encoding", "connection", "keep-alive", "expect", "upgrade", "te", "trailer", "api-key":
		return true
	}
	return false
}

// answerHead is what counts of an answer's head.
type responseHeader struct {
	status          int
	requestID       string
	hasSignature    bool
	notExecuted     bool
	chunked         bool
	length          int64 // -1: not told
	connectionClose bool
	keepAlive       time.Duration // 0: not told
	retryAfter      time.Duration
	load            string // as the server tells it
}

// exchange writes the request and reads the answer. It tells whether the connection may be used again.
func (c *Client) roundTrip(ctx context.Context, conn *connection, request *Request, outcome *Outcome) (reuse bool) {
	outcome.Result = Interrupted
	started := time.Now()
	if conn.SetDeadline(started.Add(request.StallTimeout)) != nil {
		return false
	}
	last := request.LastEventID
	if c.bugs.omitLastEventID {
		last = -1
	}
	unsent := conn.send(ctx, request, last, started.Add(request.StallTimeout))
	if unsent != nil && conn.setReadTimeout(ctx, earlyResponseTimeout) != nil {
		outcome.Cause = unsent
		return false
	}
	defer func() { reuse = reuse && (unsent == nil || c.bugs.reuseAfterPartialSend) }()
	answer, err := readHeader(conn.reader, c.bugs.acceptTornHeader)
	if err != nil || answer.requestID != request.Item.ID && !c.bugs.acceptAnyID {
		outcome.Cause = cmp.Or(err, errWrongRequestID)
		return false
	}
	if request.OnLoad != nil && answer.load != "" {
		request.OnLoad(answer.load)
	}
	if unsent != nil && conn.setReadTimeout(ctx, request.StallTimeout) != nil {
		outcome.Cause = unsent
		return false
	}
	outcome.Draining = answer.connectionClose
	outcome.RetryAfter = answer.retryAfter
	if answer.keepAlive > 0 {
		conn.keepAlive = min(maxIdle, answer.keepAlive/2)
	}
	if answer.status != 200 {
		outcome.Result = resultOf(answer)
		return discardBody(conn.reader, answer) && !answer.connectionClose
	}
	if !answer.hasSignature || !answer.chunked && answer.length < 0 {
		outcome.Cause = errNoFraming
		return false
	}
	if !c.readEvents(ctx, conn, request, answer, outcome, started) {
		return false
	}
	outcome.Result = Completed
	return !answer.connectionClose
}

func resultOf(answer responseHeader) Result {
	switch {
	case answer.notExecuted || answer.status == 421:
		return NotExecuted
	case answer.status == 500:
		return Failed
	case answer.status == 422:
		return Unprocessable
	default:
		return Rejected
	}
}

// discard reads the body of an answer that is no success.
func discardBody(in *bufio.Reader, answer responseHeader) bool {
	if !answer.chunked && (answer.length < 0 || answer.length > maxErrorBody) {
		return false
	}
	body := newBodyReader(in, answer)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
	return err == nil && n < maxErrorBody && body.complete
}

// readBy bounds reads from now on, unless the context has ended, which set its own bound.
func (conn *connection) setReadTimeout(ctx context.Context, wait time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	return ctx.Err()
}

// statusLine is what an answer begins with, as far as a header's value may be expected not to have it.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

func readHeader(in *bufio.Reader, torn bool) (responseHeader, error) {
	answer := responseHeader{length: -1}
	line, err := readLine(in)
	if err != nil {
		return answer, err
	}
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || !torn && statusLine.Match(line[12:]) {
		return answer, errProtocol
	}
	if answer.status, err = strconv.Atoi(string(line[9:12])); err != nil || answer.status < 200 {
		return answer, errProtocol
	}
	for range maxHeaderLines {
		if line, err = readLine(in); err != nil {
			return answer, err
		}
		if len(line) == 0 {
			return answer, nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !torn && statusLine.Match(line) { // another answer begins in this one's head
			return answer, errProtocol
		}
		if err := answer.setField(string(name), string(bytes.TrimSpace(value))); err != nil {
			return answer, err
		}
	}
	return answer, errProtocol
}

func (a *responseHeader) setField(name, value string) error {
	switch strings.ToLower(name) {
	case "x-request-id":
		if a.requestID != "" {
			return errWrongRequestID
		}
		a.requestID = value
	case "x-response-signature":
		if a.hasSignature {
			return errProtocol // two heads in one
		}
		a.hasSignature = value != ""
	case "x-not-executed":
		a.notExecuted = true
	case "transfer-encoding":
		a.chunked = strings.EqualFold(value, "chunked")
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 || a.length >= 0 && a.length != length {
			return errProtocol
		}
		a.length = length
	case "connection":
		a.connectionClose = strings.EqualFold(value, "close")
	case "keep-alive":
		if _, text, found := strings.Cut(value, "timeout="); found {
			text, _, _ = strings.Cut(text, ",")
			seconds, _ := strconv.Atoi(strings.TrimSpace(text))
			a.keepAlive = time.Duration(seconds) * time.Second
		}
	case "x-server-load":
		a.load = value
	case "retry-after":
		seconds, _ := strconv.ParseFloat(value, 64)
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return nil
}

// readLine gives a line without its end. It stays valid until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// body reads an answer's body by its framing; whole tells that its end was seen.
type bodyReader struct {
	in        *bufio.Reader
	chunked   bool
	remaining int64
	inChunk   bool // a chunk whose end was not read yet
	complete  bool
}

func newBodyReader(in *bufio.Reader, answer responseHeader) *bodyReader {
	b := &bodyReader{in: in, chunked: answer.chunked, remaining: answer.length}
	if answer.chunked {
		b.remaining = 0
	}
	b.complete = !b.chunked && b.remaining == 0
	return b
}

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

// skipLineEnd takes the end of a chunk where it is here, so that nothing is left in the buffer that gives no bytes.
func (b *bodyReader) skipLineEnd() {
	if b.in.Buffered() < 2 {
		return
	}
	if end, err := b.in.Peek(2); err == nil && end[0] == '\r' && end[1] == '\n' {
		_, _ = b.in.Discard(2)
		b.inChunk = false
	}
}

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
	for range maxHeaderLines { // trailers
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
