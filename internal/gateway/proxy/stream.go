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
	// maxUnflushedBytes is the size of complete events from which they are forwarded even if more of the
	// stream can be read without waiting.
	maxUnflushedBytes = 32 << 10
	// maxPooledBytes is the capacity of the largest buffer that is kept for another stream.
	maxPooledBytes = 64 << 10
	// writeGrace is how long after the request's deadline the client may still take to read a stream. The
	// stream occupies its server for as long.
	writeGrace = 250 * time.Millisecond
)

// streamBuffers holds the buffers of ended streams. It holds pointers because putting a slice into an interface
// allocates.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 0, streamBufferSize); return &b }}

// forwardStream forwards complete events as they arrive. If the stream is truncated it returns false, and
// another server may resume the stream.
func (q *request) forwardStream(a *attempt) (final bool) {
	q.prepareScanner()
	seenEvent := false // in this attempt
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
				q.recordFirstEvent(a)
			}
			if q.scanner.Gap() {
				q.handleLost(a.reservation)
				q.abortStream() // no server will send the missing events again
			}
			q.flushEvents(a)
		}
		switch {
		case ended && a.exchange.Delimited():
			return q.finishStream(a)
		case err != nil || q.scanner.TooLong():
			return q.handleTruncated(a.reservation)
		}
	}
}

// recordFirstEvent records the arrival of an attempt's first event.
func (q *request) recordFirstEvent(a *attempt) {
	a.reservation.FirstResponse(time.Now())
	q.observeLatency(a)
	if !q.streamStarted {
		q.recordResponse(a.reservation, a.response.Header)
	}
}

// flushEvents sends the complete events to the client, and before the first ones the head of the response.
func (q *request) flushEvents(a *attempt) {
	q.abandonHedges() // another server would send these events again
	q.startStream(a)
	if _, err := q.w.Write(q.scanner.Complete()); err != nil {
		panic(http.ErrAbortHandler) // the client has left or stopped reading
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	q.scanner.Consume()
}

// startStream sends the head of the response to the client, unless a head has been sent already.
func (q *request) startStream(a *attempt) {
	if q.streamStarted {
		return
	}
	copyResponseHeaders(q.w.Header(), a.response.Header)
	q.w.WriteHeader(a.response.StatusCode)
	q.streamStarted, q.startedBy = true, a
	grace := writeGrace
	if q.proxy.bugs.longWriteDeadline {
		grace = time.Minute
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(grace))
}

// finishStream ends a complete stream. Bytes after its last event are forwarded unchanged, except those of a
// resumed stream, because the client has received the beginning of that stream from another server.
func (q *request) finishStream(a *attempt) (final bool) {
	a.reservation.Done(time.Now(), serverselection.Succeeded)
	q.startStream(a)
	if rest := q.scanner.Partial(); len(rest) > 0 && q.startedBy == a {
		_, _ = q.w.Write(rest) // fails only if the client has left
	}
	return true
}
