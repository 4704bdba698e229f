package proxy

import (
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/gateway/sse"
)

// handleTruncated ends an attempt whose stream was truncated. If the stream to the client has started, the next
// attempt has another server continue it after the last event that was sent to the client (Last-Event-Id).
// If that isn't possible, the client's connection is aborted so that the response doesn't look complete.
func (q *request) handleTruncated(reservation *serverselection.Reservation) (final bool) {
	q.handleLost(reservation)
	if !q.streamStarted {
		return false
	}
	if _, numbered := q.scanner.LastID(); !q.route.Resumable || !numbered {
		q.abortStream()
	}
	q.resumeAfterLastEvent()
	return false
}

// prepareScanner prepares the scanner for an attempt's stream, which either continues after the last event
// that was sent to the client or starts from the beginning.
func (q *request) prepareScanner() {
	if q.scanner == nil {
		q.streamBuffer = streamBuffers.Get().(*[]byte)
		q.scanner = sse.NewScanner(*q.streamBuffer)
		return
	}
	if last, numbered := q.scanner.LastID(); q.streamStarted && numbered {
		q.scanner.Resume(last)
		return
	}
	q.scanner = sse.NewScanner(q.scanner.Buffer())
}

// releaseScanner returns the scanner's buffer to streamBuffers, unless it has grown beyond maxPooledBytes.
func (q *request) releaseScanner() {
	if q.scanner == nil {
		return
	}
	if *q.streamBuffer = q.scanner.Buffer(); cap(*q.streamBuffer) <= maxPooledBytes {
		streamBuffers.Put(q.streamBuffer)
	}
	q.scanner, q.streamBuffer = nil, nil
}
