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
	// earlyResponseTimeout is how long a response may take after the server has stopped reading the request.
	earlyResponseTimeout = 50 * time.Millisecond
	// maxErrorBody is the longest body, in bytes, of a response other than 200 that is read so that the
	// connection can be reused.
	maxErrorBody = 64 << 10
)

var (
	errProtocol       = errors.New("serverclient: malformed HTTP/1.1 response")
	errWrongRequestID = errors.New("serverclient: response without the request's X-Request-Id, or with more than one")
	errNoFraming      = errors.New(
		"serverclient: response without X-Response-Signature, or with neither Content-Length nor chunked encoding")
	errEventOrder = errors.New("serverclient: malformed, missing or repeated event")
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
	// Even if send fails, the server may have answered, for instance with a 422 after which it closed its side of
	// the connection.
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
		conn.keepAlive = min(maxIdle, response.keepAlive/2) // half, so it isn't reused while the server closes it
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

// resultOf returns the result of a response whose status isn't 200.
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

// discardBody reads the body of a response whose status isn't 200. It reports whether it read the body to its end.
func discardBody(in *bufio.Reader, response responseHeader) bool {
	if !response.chunked && (response.length < 0 || response.length > maxErrorBody) {
		return false
	}
	body := newBodyReader(in, response)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
	return err == nil && n < maxErrorBody && body.complete
}

// setReadTimeout sets a read deadline. It returns an error if the context has ended, because the deadline that
// was set to end reads at that moment has just been replaced.
func (conn *connection) setReadTimeout(ctx context.Context, timeout time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return ctx.Err()
}
