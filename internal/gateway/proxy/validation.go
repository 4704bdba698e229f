package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/pool"
)

const (
	// drainTimeout is how long the rest of a response that isn't forwarded may take to arrive.
	drainTimeout = 50 * time.Millisecond
	// maxResponseHeads is how many response heads are read at most to find the one with the request's id.
	maxResponseHeads = 2
)

// errMismatchedID reports that none of the responses read has the request's id as its only one: each has another
// id, several ids or none.
var errMismatchedID = errors.New("proxy: none of the responses read has exactly this request's X-Request-Id")

// readResponseHead reads the head of the response to this request, for which it waits with await. A response with
// another id is a late response to an earlier request on the connection; it is skipped together with its body.
func (q *request) readResponseHead(exchange *pool.Exchange, await func() error) (*http.Response, error) {
	for range maxResponseHeads {
		if err := await(); err != nil {
			return nil, err
		}
		resp, err := exchange.ReadHead(q.deadline)
		if err != nil {
			return nil, err
		}
		if q.matchesID(resp) {
			return resp, nil
		}
		if len(resp.Header[headerID]) > 1 || !exchange.Delimited() || !drain(exchange) {
			break
		}
	}
	return nil, errMismatchedID
}

// matchesID reports whether a response has this request's id and no other one.
func (q *request) matchesID(resp *http.Response) bool {
	ids := resp.Header[headerID]
	return len(ids) == 1 && ids[0] == q.id || q.proxy.bugs.acceptAnyID
}

// notExecuted reports whether a response states that the server did not run the request.
func notExecuted(resp *http.Response) bool {
	return resp.Header.Get(headerNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// credible reports whether a response can come from the server itself. A successful response must have the
// server's signature. The statuses 408, 429 and 503, which promise that the request did not run, are accepted
// only with X-Not-Executed (the caller checks notExecuted first), because without it they may come from an
// intermediary between gateway and server. A content encoding is never requested, so a response with one isn't
// the server's.
func credible(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	if resp.Header.Get(headerContentEncoding) != "" {
		return false
	}
	signatures := resp.Header[headerSignature]
	if len(signatures) > 1 {
		return false
	}
	return resp.StatusCode >= http.StatusMultipleChoices || len(signatures) == 1 && signatures[0] != ""
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get(headerContentType), contentEventStream)
}

// drain reads the rest of a response that isn't forwarded, so that its connection can be reused, and reports
// whether the response was complete.
func drain(exchange *pool.Exchange) bool {
	exchange.SetReadDeadline(time.Now().Add(drainTimeout))
	_, err := io.Copy(io.Discard, io.LimitReader(exchange, maxResponseBytes))
	return err == nil
}
