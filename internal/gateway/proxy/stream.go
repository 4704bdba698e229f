package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/gateway/sse"
	"sprucelane.example/sprucelane/internal/pool"
)

const (
	// pieceSize is the room that is made for what comes of a stream at once, in bytes.
	streamBufferSize = 4 << 10
	// batchMost is how much of a stream is gathered at most before it is passed on, in bytes.
	maxUnflushedBytes = 32 << 10
	// keptMost is the largest buffer that is kept for another stream, in bytes.
	maxPooledBytes = 64 << 10
)

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 0, streamBufferSize); return &b }}

// stream passes events on as they come, and tells whether the request has its final answer with that. Where it has not, and
// something has gone out, another server may go on after the last event.
func (q *request) streamResponse(exchange *pool.Exchange, resp *http.Response, reservation *serverselection.Reservation, startedAt time.Time) (answered bool) {
	q.prepareScanner()
	first := false
	for {
		n, err := 0, q.awaitData(exchange, reservation)
		if err == nil {
			exchange.ReadBy(q.deadline)
			n, err = exchange.Read(q.scanner.Reserve(streamBufferSize / 2))
		}
		q.scanner.Advance(n)
		ended := errors.Is(err, io.EOF)
		if err == nil && exchange.Ready() && len(q.scanner.Complete()) < maxUnflushedBytes {
			continue
		}
		if len(q.scanner.Complete()) > 0 {
			if first {
				reservation.Progress(time.Now())
			} else {
				first = true
				q.firstEvent(reservation, startedAt, resp.Header)
			}
			if q.scanner.Gap() {
				q.handleLost(reservation)
				panic(http.ErrAbortHandler) // what is missing can't be had any more
			}
			q.flushEvents(resp)
		}
		switch {
		case ended && exchange.Delimited():
			return q.finishStream(resp, reservation)
		case err != nil || q.scanner.TooLong():
			return q.handleTruncated(reservation)
		}
	}
}

func (q *request) prepareScanner() {
	if q.scanner == nil {
		q.streamBuffer = streamBuffers.Get().(*[]byte)
		q.scanner = sse.NewScanner(*q.streamBuffer)
		return
	}
	if last, any := q.scanner.LastID(); q.streamStarted && any {
		q.scanner.Resume(last)
		return
	}
	q.scanner = sse.NewScanner(q.scanner.Buffer())
}

func (q *request) releaseScanner() {
	if q.scanner == nil {
		return
	}
	if *q.streamBuffer = q.scanner.Buffer(); cap(*q.streamBuffer) <= maxPooledBytes {
		streamBuffers.Put(q.streamBuffer)
	}
	q.scanner, q.streamBuffer = nil, nil
}

func (q *request) firstEvent(reservation *serverselection.Reservation, startedAt time.Time, head http.Header) {
	reservation.FirstResponse(time.Now())
	q.observeLatency(startedAt)
	if !q.streamStarted {
		q.recordAnswer(reservation, head)
	}
}

// pass gives the client the whole events that are there, with the head of the first server before them.
func (q *request) flushEvents(resp *http.Response) {
	q.startStream(resp)
	if _, err := q.w.Write(q.scanner.Complete()); err != nil {
		panic(http.ErrAbortHandler) // the client has left, or takes nothing
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	q.scanner.Consume()
}

func (q *request) startStream(resp *http.Response) {
	if q.streamStarted {
		return
	}
	copyResponseHeaders(q.w.Header(), resp.Header)
	q.w.WriteHeader(resp.StatusCode)
	q.streamStarted = true
	slack := writeGrace
	if q.proxy.bugs.longWriteDeadline {
		slack = time.Minute
	}
	http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(slack))
}

// writeSlack is how long beyond its deadline a client may take to read a stream: its server works on for as long.
const writeGrace = 250 * time.Millisecond

// endStream ends an answer that has come whole.
func (q *request) finishStream(resp *http.Response, reservation *serverselection.Reservation) (answered bool) {
	reservation.Done(time.Now(), serverselection.Succeeded)
	resumed := q.streamStarted && q.history.MayHaveRun()
	q.startStream(resp)
	if rest := q.scanner.Partial(); len(rest) > 0 && !resumed {
		q.w.Write(rest)
	}
	return true
}

// cut takes in that a stream ended before its end, and prepares for another server to go on.
func (q *request) handleTruncated(reservation *serverselection.Reservation) (answered bool) {
	q.handleLost(reservation)
	if !q.streamStarted {
		return false
	}
	last, any := q.scanner.LastID()
	if !q.route.Resumable || !any {
		q.proxy.countStreamEnd(q.route.Name, outcomes.Truncated)
		panic(http.ErrAbortHandler) // it must not look complete
	}
	if !q.proxy.bugs.omitLastEventID {
		q.lastEventID = strconv.FormatUint(last, 10)
	}
	return false
}
