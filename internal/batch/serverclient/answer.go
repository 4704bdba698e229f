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
	maxHeadLines = 100
	maxEvent     = 1 << 20 // bytes
	maxErrorBody = 64 << 10
)

var (
	errProtocol     = errors.New("exchange: the server's bytes are no answer")
	errOtherRequest = errors.New("exchange: the answer belongs to another request")
	errUnbounded    = errors.New("exchange: the answer has no stamp or no end that can be told")
	errOrder        = errors.New("exchange: an event is missing, comes twice or doesn't end")
)

// ownHeader tells which of an item's headers the store sets itself, or concern one connection only.
func ownHeader(name string) bool {
	switch strings.ToLower(name) {
	case "host", "x-request-id", "x-tenant", "x-expect-instance", "x-deadline-ms", "last-event-id", "content-length",
		"transfer-encoding", "connection", "keep-alive", "expect", "upgrade", "te", "trailer", "api-key":
		return true
	}
	return false
}

// answerHead is what counts of an answer's head.
type answerHead struct {
	status      int
	requestID   string
	signed      bool
	notExecuted bool
	chunked     bool
	length      int64 // -1: not told
	closes      bool
	keep        time.Duration // 0: not told
	retryAfter  time.Duration
	load        string // as the server tells it
}

// exchange writes the request and reads the answer. It tells whether the connection may be used again.
func (c *Client) exchange(ctx context.Context, conn *connection, request *Request, outcome *Outcome) (reuse bool) {
	outcome.Ending = Cut
	started := time.Now()
	if conn.SetDeadline(started.Add(request.Silence)) != nil {
		return false
	}
	last := request.LastEventID
	if c.bugs.noLastEvent {
		last = -1
	}
	unsent := conn.send(ctx, request, last, started.Add(request.Silence))
	if unsent != nil && conn.readBy(ctx, answerWait) != nil {
		outcome.Cause = unsent
		return false
	}
	defer func() { reuse = reuse && (unsent == nil || c.bugs.reuseUnsent) }()
	answer, err := readHead(conn.in, c.bugs.tornHead)
	if err != nil || answer.requestID != request.Item.ID && !c.bugs.anyID {
		outcome.Cause = cmp.Or(err, errOtherRequest)
		return false
	}
	if request.Load != nil && answer.load != "" {
		request.Load(answer.load)
	}
	if unsent != nil && conn.readBy(ctx, request.Silence) != nil {
		outcome.Cause = unsent
		return false
	}
	outcome.Leaving = answer.closes
	outcome.RetryAfter = answer.retryAfter
	if answer.keep > 0 {
		conn.keep = min(idleFor, answer.keep/2)
	}
	if answer.status != 200 {
		outcome.Ending = endingOf(answer)
		return discard(conn.in, answer) && !answer.closes
	}
	if !answer.signed || !answer.chunked && answer.length < 0 {
		outcome.Cause = errUnbounded
		return false
	}
	if !c.readEvents(ctx, conn, request, answer, outcome, started) {
		return false
	}
	outcome.Ending = Completed
	return !answer.closes
}

func endingOf(answer answerHead) Ending {
	switch {
	case answer.notExecuted || answer.status == 421:
		return NotExecuted
	case answer.status == 500:
		return Failed
	case answer.status == 422:
		return Impossible
	default:
		return Refused
	}
}

// discard reads the body of an answer that is no success.
func discard(in *bufio.Reader, answer answerHead) bool {
	if !answer.chunked && (answer.length < 0 || answer.length > maxErrorBody) {
		return false
	}
	body := newBody(in, answer)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
	return err == nil && n < maxErrorBody && body.whole
}

// readBy bounds reads from now on, unless the context has ended, which set its own bound.
func (conn *connection) readBy(ctx context.Context, wait time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	return ctx.Err()
}

// statusLine is what an answer begins with, as far as a header's value may be expected not to have it.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

func readHead(in *bufio.Reader, torn bool) (answerHead, error) {
	answer := answerHead{length: -1}
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
	for range maxHeadLines {
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
		if err := answer.header(string(name), string(bytes.TrimSpace(value))); err != nil {
			return answer, err
		}
	}
	return answer, errProtocol
}

func (a *answerHead) header(name, value string) error {
	switch strings.ToLower(name) {
	case "x-request-id":
		if a.requestID != "" {
			return errOtherRequest
		}
		a.requestID = value
	case "x-response-signature":
		if a.signed {
			return errProtocol // two heads in one
		}
		a.signed = value != ""
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
		a.closes = strings.EqualFold(value, "close")
	case "keep-alive":
		if _, text, found := strings.Cut(value, "timeout="); found {
			text, _, _ = strings.Cut(text, ",")
			seconds, _ := strconv.Atoi(strings.TrimSpace(text))
			a.keep = time.Duration(seconds) * time.Second
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
type body struct {
	in      *bufio.Reader
	chunked bool
	left    int64
	begun   bool // a chunk whose end was not read yet
	whole   bool
}

func newBody(in *bufio.Reader, answer answerHead) *body {
	b := &body{in: in, chunked: answer.chunked, left: answer.length}
	if answer.chunked {
		b.left = 0
	}
	b.whole = !b.chunked && b.left == 0
	return b
}

func (b *body) Read(into []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	if b.chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.whole {
			return 0, io.EOF
		}
	}
	n, err := b.in.Read(into[:min(int64(len(into)), b.left)])
	b.left -= int64(n)
	if !b.chunked && b.left == 0 {
		b.whole = true
	}
	if b.chunked && b.left == 0 {
		b.skipLineEnd()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// skipLineEnd takes the end of a chunk where it is here, so that nothing is left in the buffer that gives no bytes.
func (b *body) skipLineEnd() {
	if b.in.Buffered() < 2 {
		return
	}
	if end, err := b.in.Peek(2); err == nil && end[0] == '\r' && end[1] == '\n' {
		_, _ = b.in.Discard(2)
		b.begun = false
	}
}

func (b *body) nextChunk() error {
	if b.begun {
		if line, err := readLine(b.in); err != nil || len(line) != 0 {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
	}
	b.begun = true
	line, err := readLine(b.in)
	if err != nil {
		return errors.Join(io.ErrUnexpectedEOF, err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
	if err != nil || length < 0 {
		return errProtocol
	}
	b.left = length
	if length > 0 {
		return nil
	}
	for range maxHeadLines { // trailers
		line, err := readLine(b.in)
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if len(line) == 0 {
			b.whole = true
			return nil
		}
	}
	return errProtocol
}
