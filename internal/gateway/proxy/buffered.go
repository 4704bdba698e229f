package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
)

// maxResponseBytes is the maximum size of the body of a response that is not a stream.
const maxResponseBytes = 8 << 20

// forwardBuffered reads a response completely before it forwards any of it to the client, so that a truncated
// response or a server's failure can still be replaced by another server's response.
func (q *request) forwardBuffered(a *attempt) (final bool) {
	status := a.response.StatusCode
	failed := status >= http.StatusInternalServerError
	if !failed {
		q.abandonHedges()
	}
	body, err := q.readResponseBody(a.exchange, a.response)
	defer q.proxy.Bodies.Release(int64(cap(body)))
	if err != nil {
		return q.handleLost(a.reservation)
	}
	now := time.Now()
	a.reservation.FirstResponse(now)
	if failed {
		a.reservation.Done(now, serverselection.Failed)
		if q.streamStarted || q.history.Idempotent {
			q.history.Record(retry.Failed)
			if q.streamStarted || q.history.MayRetry(time.Until(q.deadline)) {
				return false
			}
		}
	} else {
		a.reservation.Done(now, serverselection.Succeeded)
		if q.streamStarted {
			q.history.Record(retry.Failed) // a started stream can only be continued by a stream
			return false
		}
	}
	q.observeLatency(a)
	if failed {
		q.count(outcomes.ServerFailed)
	} else {
		q.recordResponse(a.reservation, a.response.Header)
	}
	copyResponseHeaders(q.w.Header(), a.response.Header)
	q.w.Header().Set(headerContentLength, strconv.Itoa(len(body)))
	if status == http.StatusNoContent || status == http.StatusNotModified {
		q.w.Header().Del(headerContentLength)
	}
	q.w.WriteHeader(status)
	_, _ = q.w.Write(body) // fails only if the client has left, and then there is nobody to report the error to
	return true
}

// errResponseTooLarge reports a response whose body exceeds maxResponseBytes or finds no room in the memory
// budget.
var errResponseTooLarge = errors.New("proxy: response body exceeds the size limit or the available buffer memory")

// readResponseBody reads the complete body of a response. The capacity of the returned body is reserved from
// the budget, even if an error is returned; the caller must release it.
func (q *request) readResponseBody(exchange *pool.Exchange, resp *http.Response) (body []byte, err error) {
	exchange.SetReadDeadline(q.deadline)
	for size := int64(initialBufferSize); size <= maxResponseBytes; size *= 2 {
		if resp.ContentLength >= 0 {
			size = max(size, min(resp.ContentLength+1, maxResponseBytes))
		}
		held := q.body.reserved + int64(cap(body))
		if !q.proxy.Bodies.AcquireMore(held, size-int64(cap(body)), q.deadline) {
			return body, errResponseTooLarge
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		body = grown
		for len(body) < cap(body) {
			n, err := exchange.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) || err != nil && q.proxy.bugs.truncatedIsComplete && !exchange.Delimited() {
				return body, nil
			}
			if err != nil {
				return body, err
			}
		}
	}
	return body, errResponseTooLarge
}
