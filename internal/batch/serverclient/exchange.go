package serverclient

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// earlyResponseTimeout is how long a response may take after the server has stopped taking the request.
	earlyResponseTimeout = 50 * time.Millisecond
	// maxErrorBody is the longest body of a response without success that is read for the sake of the
	// connection, bytes.
	maxErrorBody = 64 << 10
)

var (
	errProtocol       = errors.New("serverclient: the server's bytes are no HTTP/1.1 response")
	errWrongRequestID = errors.New("serverclient: the response belongs to another request")
	errNoFraming      = errors.New("serverclient: a response without signature, or without Content-Length and chunks")
	errEventOrder     = errors.New("serverclient: an event is malformed, missing or repeated")
)

// exchange is one request and its response on a connection.
type exchange struct {
	conn    *connection
	request *Request
	outcome *Outcome
	started time.Time
	bugs    *injectedBugs
}

// roundTrip sends the request and reads the response into the outcome. It reports whether the connection
// may be reused.
func (e *exchange) roundTrip(ctx context.Context) (reusable bool) {
	conn, request, outcome := e.conn, e.request, e.outcome
	outcome.Result = Interrupted
	e.started = time.Now()
	if conn.SetDeadline(e.started.Add(request.StallTimeout)) != nil {
		return false
	}
	lastEventID := request.LastEventID
	if e.bugs.omitLastEventID {
		lastEventID = -1
	}
	// After an error of send the server may have answered all the same, for instance with a 422 and an end
	// of its side.
	sendErr := conn.send(ctx, request, lastEventID, e.started.Add(request.StallTimeout))
	if sendErr != nil && conn.setReadTimeout(ctx, earlyResponseTimeout) != nil {
		outcome.Cause = sendErr
		return false
	}
	defer func() { reusable = reusable && (sendErr == nil || e.bugs.reuseAfterPartialSend) }()
	response, err := readHeader(conn.reader, e.bugs.acceptTornHeader)
	if err != nil || response.requestID != request.Item.ID && !e.bugs.acceptAnyID {
		outcome.Cause = cmp.Or(err, errWrongRequestID)
		return false
	}
	if request.OnLoad != nil && response.load != "" {
		request.OnLoad(response.load)
	}
	if sendErr != nil && conn.setReadTimeout(ctx, request.StallTimeout) != nil {
		outcome.Cause = sendErr
		return false
	}
	outcome.Draining = response.connectionClose
	outcome.RetryAfter = response.retryAfter
	if response.keepAlive > 0 {
		conn.keepAlive = min(maxIdle, response.keepAlive/2) // half: not reused while the server closes it
	}
	if response.status != http.StatusOK {
		outcome.Result = resultOf(response)
		return discardBody(conn.reader, response) && !response.connectionClose
	}
	if !response.hasSignature || !response.chunked && response.length < 0 {
		outcome.Cause = errNoFraming
		return false
	}
	if !e.readEvents(ctx, response) {
		return false
	}
	outcome.Result = Completed
	return !response.connectionClose
}

// resultOf returns the result of a response without success.
func resultOf(response responseHeader) Result {
	switch {
	case response.notExecuted || response.status == http.StatusMisdirectedRequest:
		return NotExecuted
	case response.status == http.StatusInternalServerError:
		return Failed
	case response.status == http.StatusUnprocessableEntity:
		return Unprocessable
	default:
		return Rejected
	}
}

// discardBody reads the body of a response without success. It reports whether that was read to its end.
func discardBody(in *bufio.Reader, response responseHeader) bool {
	if !response.chunked && (response.length < 0 || response.length > maxErrorBody) {
		return false
	}
	body := newBodyReader(in, response)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
	return err == nil && n < maxErrorBody && body.complete
}

// setReadTimeout bounds reads from now on. It returns an error if the context has ended: its own deadline,
// which ends reads, has just been replaced.
func (conn *connection) setReadTimeout(ctx context.Context, timeout time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return ctx.Err()
}
