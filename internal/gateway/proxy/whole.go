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
const maxWhole = 8 << 20

// whole reads an answer to its end and passes it on.
func (q *request) whole(x *pool.Exchange, resp *http.Response, ticket *serverselection.Ticket, began time.Time) (answered bool) {
	text, err := q.readWhole(x, resp)
	defer q.proxy.Bodies.Give(int64(cap(text)))
	if err != nil {
		return q.lost(ticket)
	}
	now := time.Now()
	ticket.First(now)
	if resp.StatusCode >= http.StatusInternalServerError {
		ticket.Done(now, serverselection.Failed)
		if q.started || q.account.Repeatable {
			q.account.Note(retry.Failed)
			if q.started || q.account.Again(time.Until(q.deadline)) {
				return false
			}
		}
	} else {
		ticket.Done(now, serverselection.Succeeded)
		if q.started {
			q.account.Note(retry.Failed) // what goes on with a stream is a stream
			return false
		}
	}
	q.attempted(began)
	if resp.StatusCode >= http.StatusInternalServerError {
		q.count(outcomes.ServerFailed)
	} else {
		q.answered(ticket, resp.Header)
	}
	copyHead(q.w.Header(), resp.Header)
	q.w.Header().Set(headerLength, strconv.Itoa(len(text)))
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		q.w.Header().Del(headerLength)
	}
	q.w.WriteHeader(resp.StatusCode)
	q.w.Write(text)
	return true
}

// errTooLong reports an answer that is longer than any may be.
var errTooLong = errors.New("proxy: answer too long")

// readWhole reads the body of an answer. Its capacity is drawn from the budget.
func (q *request) readWhole(x *pool.Exchange, resp *http.Response) (text []byte, err error) {
	x.ReadBy(q.deadline)
	for size := int64(firstStep); size <= maxWhole; size *= 2 {
		if resp.ContentLength >= 0 {
			size = max(size, min(resp.ContentLength+1, maxWhole))
		}
		if !q.proxy.Bodies.Take(size-int64(cap(text)), q.deadline) {
			return text, errTooLong
		}
		grown := make([]byte, len(text), size)
		copy(grown, text)
		text = grown
		for len(text) < cap(text) {
			n, err := x.Read(text[len(text):cap(text)])
			text = text[:len(text)+n]
			if errors.Is(err, io.EOF) || err != nil && q.proxy.bugs.cutIsWhole && !x.Delimited() {
				return text, nil
			}
			if err != nil {
				return text, err
			}
		}
	}
	return text, errTooLong
}
