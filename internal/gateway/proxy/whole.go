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

// maxWhole is the longest answer that is not a stream, in bytes.
const maxResponseBytes = 8 << 20

// whole reads an answer to its end and passes it on.
func (q *request) bufferedResponse(exchange *pool.Exchange, resp *http.Response, reservation *serverselection.Reservation, startedAt time.Time) (answered bool) {
	text, err := q.readResponseBody(exchange, resp)
	defer q.proxy.Bodies.Give(int64(cap(text)))
	if err != nil {
		return q.handleLost(reservation)
	}
	now := time.Now()
	reservation.FirstResponse(now)
	if resp.StatusCode >= http.StatusInternalServerError {
		reservation.Done(now, serverselection.Failed)
		if q.streamStarted || q.history.Idempotent {
			q.history.Record(retry.Failed)
			if q.streamStarted || q.history.MayRetry(time.Until(q.deadline)) {
				return false
			}
		}
	} else {
		reservation.Done(now, serverselection.Succeeded)
		if q.streamStarted {
			q.history.Record(retry.Failed) // what goes on with a stream is a stream
			return false
		}
	}
	q.observeLatency(startedAt)
	if resp.StatusCode >= http.StatusInternalServerError {
		q.count(outcomes.ServerFailed)
	} else {
		q.recordAnswer(reservation, resp.Header)
	}
	copyResponseHeaders(q.w.Header(), resp.Header)
	q.w.Header().Set(headerContentLength, strconv.Itoa(len(text)))
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		q.w.Header().Del(headerContentLength)
	}
	q.w.WriteHeader(resp.StatusCode)
	q.w.Write(text)
	return true
}

// errTooLong reports an answer that is longer than any may be.
var errResponseTooLarge = errors.New("proxy: answer too long")

// readWhole reads the body of an answer. Its capacity is drawn from the budget.
func (q *request) readResponseBody(exchange *pool.Exchange, resp *http.Response) (text []byte, err error) {
	exchange.ReadBy(q.deadline)
	for size := int64(initialBufferSize); size <= maxResponseBytes; size *= 2 {
		if resp.ContentLength >= 0 {
			size = max(size, min(resp.ContentLength+1, maxResponseBytes))
		}
		if !q.proxy.Bodies.Take(size-int64(cap(text)), q.deadline) {
			return text, errResponseTooLarge
		}
		grown := make([]byte, len(text), size)
		copy(grown, text)
		text = grown
		for len(text) < cap(text) {
			n, err := exchange.Read(text[len(text):cap(text)])
			text = text[:len(text)+n]
			if errors.Is(err, io.EOF) || err != nil && q.proxy.bugs.truncatedIsComplete && !exchange.Delimited() {
				return text, nil
			}
			if err != nil {
				return text, err
			}
		}
	}
	return text, errResponseTooLarge
}
