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
	// maxMismatched bounds the responses that are read in search of the one with the request's id.
	maxMismatched = 2
)

// errMismatchedID reports that a server sent responses to other requests only.
var errMismatchedID = errors.New("proxy: responses to other requests only")

// readResponseHead reads the head of the response to this request. A response with another id came late, for
// an earlier request on the connection; it is skipped together with its body.
func (q *request) readResponseHead(a *attempt) (*http.Response, error) {
	for range maxMismatched {
		if err := q.awaitData(a); err != nil {
			return nil, err
		}
		resp, err := a.exchange.ReadHead(q.deadline)
		if err != nil {
			return nil, err
		}
		if q.matchesID(resp) {
			return resp, nil
		}
		if len(resp.Header[headerID]) > 1 || !a.exchange.Delimited() || !drain(a.exchange) {
			break
		}
	}
	return nil, errMismatchedID
}

// matchesID reports whether a response names this request, and no other one beside it.
func (q *request) matchesID(resp *http.Response) bool {
	ids := resp.Header[headerID]
	return len(ids) == 1 && ids[0] == q.id || q.proxy.bugs.acceptAnyID
}

// notExecuted reports whether a response says that the server did not run the request.
func notExecuted(resp *http.Response) bool {
	return resp.Header.Get(headerNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// credible reports whether a response can be the server's own answer to this request. A success has the
// server's signature. The statuses that promise that nothing ran count only with X-Not-Executed (notExecuted
// is checked first): without it they may come from an intermediary between gateway and server. A content
// encoding is never requested, so a response with one isn't the server's.
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

// drain reads the rest of a response that isn't forwarded, so that its connection can be kept, and reports
// whether it was complete.
func drain(exchange *pool.Exchange) bool {
	exchange.SetReadDeadline(time.Now().Add(drainTimeout))
	_, err := io.Copy(io.Discard, io.LimitReader(exchange, maxResponseBytes))
	return err == nil
}
