package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/serverselection"
)

const (
	// streamBufferSize is the initial size of a stream's buffer, in bytes. Half of it is free before each
	// read.
	streamBufferSize = 4 << 10
	// maxUnflushedBytes is how much of a stream that arrives at once is gathered at most before it is
	// forwarded.
	maxUnflushedBytes = 32 << 10
	// maxPooledBytes is the largest buffer that is kept for another stream.
	maxPooledBytes = 64 << 10
	// writeGrace is how long after its deadline a client may still take to read a stream. The server is kept
	// busy with it for as long.
	writeGrace = 250 * time.Millisecond
)

// streamBuffers holds buffers of ended streams. It holds pointers: a slice in an interface would be allocated
// anew.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 0, streamBufferSize); return &b }}

// forwardStream forwards events as they arrive, each completely. If the stream breaks off it returns false,
// and another server may resume it.
func (q *request) forwardStream(a *attempt) (final bool) {
	q.prepareScanner()
	seenEvent := false // of this attempt
	for {
		n, err := 0, q.awaitData(a)
		if err == nil {
			a.exchange.SetReadDeadline(q.deadline)
			n, err = a.exchange.Read(q.scanner.Reserve(streamBufferSize / 2))
		}
		q.scanner.Advance(n)
		ended := errors.Is(err, io.EOF)
		if err == nil && a.exchange.Ready() && len(q.scanner.Complete()) < maxUnflushedBytes {
			continue
		}
		if len(q.scanner.Complete()) > 0 {
			if seenEvent {
				a.reservation.Progress(time.Now())
			} else {
				seenEvent = true
				q.firstEvent(a)
			}
			if q.scanner.Gap() {
				q.handleLost(a.reservation)
				q.abortStream() // events are missing that no server will send again
			}
			q.flushEvents(a.response)
		}
		switch {
		case ended && a.exchange.Delimited():
			return q.finishStream(a)
		case err != nil || q.scanner.TooLong():
			return q.handleTruncated(a.reservation)
		}
	}
}

// firstEvent notes that an attempt's first event has arrived.
func (q *request) firstEvent(a *attempt) {
	a.reservation.FirstResponse(time.Now())
	q.observeLatency(a)
	if !q.streamStarted {
		q.recordResponse(a.reservation, a.response.Header)
	}
}

// flushEvents sends the client the events that are complete, after the head of the first server's response.
func (q *request) flushEvents(resp *http.Response) {
	q.startStream(resp)
	if _, err := q.w.Write(q.scanner.Complete()); err != nil {
		panic(http.ErrAbortHandler) // the client has left, or reads nothing
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	q.scanner.Consume()
}

// startStream sends the head, once.
func (q *request) startStream(resp *http.Response) {
	if q.streamStarted {
		return
	}
	copyResponseHeaders(q.w.Header(), resp.Header)
	q.w.WriteHeader(resp.StatusCode)
	q.streamStarted = true
	grace := writeGrace
	if q.proxy.bugs.longWriteDeadline {
		grace = time.Minute
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(grace))
}

// finishStream ends a stream that is complete. Bytes after its last event are forwarded as they came, except
// by a resumed stream, of which the client has seen another server's beginning.
func (q *request) finishStream(a *attempt) (final bool) {
	a.reservation.Done(time.Now(), serverselection.Succeeded)
	resumed := q.streamStarted && q.history.MayHaveRun()
	q.startStream(a.response)
	if rest := q.scanner.Partial(); len(rest) > 0 && !resumed {
		_, _ = q.w.Write(rest) // fails only if the client has left
	}
	return true
}
