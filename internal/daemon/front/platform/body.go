package platform

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/pool"
)

const (
	// maxBodyPause is the time for which a client may send nothing of a body.
	maxBodyPause = 2500 * time.Millisecond
	// minBodyRate is the minimum average rate of a body after its first pause, in bytes a second: half of that of
	// the slow clients in the protocol.
	minBodyRate = 32 << 10
	// initialBufferSize is what is reserved for a body at first, in bytes, as a client may send less than it
	// announces.
	initialBufferSize = 4 << 10
)

var (
	errBodyClosed = errors.New("platform: the request of the body has its answer")
	errTooLong    = errors.New("platform: body exceeds the maximum size")
)

// bodyTooLong is the error of a body over the maximum size.
var bodyTooLong = &RequestError{Code: http.StatusRequestEntityTooLarge, Text: "body: too long"}

// Body is a request's body: all of it in Buffered, or its beginning, and Read for the rest. An attempt reads it
// while the front may close it.
type Body struct {
	Buffered []byte

	controller *http.ResponseController
	request    *http.Request
	budget     *buffers.Budget
	reserved   int64 // bytes of the budget

	mu        sync.Mutex // guards what follows
	paceStart time.Time  // from which the rate is measured; moved on by the pauses between reads
	received  int64      // bytes so far
	lastRead  time.Time  // end of the last read
	complete  bool       // read to its end
	closed    bool
	err       error // final error of reads
}

// ReadBody reads the buffered part of a body: all if it has at most 64 KiB, or a piece if it announces more. It
// waits for memory until a deadline.
func ReadBody(w http.ResponseWriter, r *http.Request, budget *buffers.Budget,
	deadline time.Time) (*Body, *RequestError) {
	b := &Body{controller: http.NewResponseController(w), request: r, budget: budget, paceStart: time.Now()}
	if b.lastRead = b.paceStart; r.ContentLength == 0 {
		b.complete = true
		b.controller.SetReadDeadline(time.Time{}) // else a deadline would look like the client's disconnect
		return b, nil
	}
	if r.ContentLength > pool.MaxBodySize {
		return nil, bodyTooLong
	}
	limit := int64(pool.MaxBufferedBody)
	if r.ContentLength > limit {
		limit = pool.StreamBufferSize
	} else if r.ContentLength > 0 {
		limit = r.ContentLength
	}
	for size := min(initialBufferSize, limit); ; size = min(2*size, limit) {
		if !b.grow(size, deadline) {
			b.Release()
			return nil, &RequestError{Code: http.StatusServiceUnavailable, Text: "body: no room for it now",
				RetryAfter: time.Second}
		}
		for len(b.Buffered) < cap(b.Buffered) && !b.complete {
			n, err := b.Read(b.Buffered[len(b.Buffered):cap(b.Buffered)])
			b.Buffered = b.Buffered[:len(b.Buffered)+n]
			if err != nil && !errors.Is(err, io.EOF) {
				b.Release()
				return nil, b.RequestError()
			}
		}
		if b.complete || size == limit {
			break
		}
	}
	if r.ContentLength == int64(len(b.Buffered)) && !b.complete { // net/http watches for a disconnect only after the end
		var one [1]byte
		b.Read(one[:])
	}
	return b, nil
}

// grow enlarges the buffer to so many bytes in total.
func (b *Body) grow(size int64, deadline time.Time) bool {
	if !b.budget.AcquireMore(b.reserved, size-b.reserved, deadline) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.Buffered), size)
	copy(grown, b.Buffered)
	b.Buffered = grown
	return true
}

// Empty reports whether there is no body.
func (b *Body) Empty() bool { return len(b.Buffered) == 0 && b.complete }

// Pending reports whether anything may follow the buffered part.
func (b *Body) Pending() bool { return !b.complete }

// Read reads the bytes after the buffered part, until the body is closed.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed {
		return 0, errBodyClosed
	}
	return b.read(p)
}

// read reads the next bytes. It waits for at most maxBodyPause, and in total for as long as the minimum rate
// allows.
func (b *Body) read(p []byte) (int, error) {
	b.mu.Lock()
	if b.err != nil || b.complete {
		defer b.mu.Unlock()
		if b.complete {
			return 0, io.EOF
		}
		return 0, b.err
	}
	b.paceStart = b.paceStart.Add(time.Since(b.lastRead))
	deadline := b.paceStart.Add(maxBodyPause + time.Duration(float64(b.received)/minBodyRate*float64(time.Second)))
	if pause := time.Now().Add(maxBodyPause); pause.Before(deadline) {
		deadline = pause
	}
	b.controller.SetReadDeadline(deadline)
	b.mu.Unlock()
	n, err := b.request.Body.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastRead = time.Now()
	if b.received += int64(n); b.received > pool.MaxBodySize && err == nil {
		err = errTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.controller.SetReadDeadline(time.Time{}) // what follows is a disconnect or the next request
	case err != nil:
		b.err = err
	}
	return n, err
}

// RequestError returns what is wrong with the body, or nil.
func (b *Body) RequestError() *RequestError {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(b.err, errTooLong):
		return bodyTooLong
	case b.err != nil:
		return badRequest("body: not whole")
	}
	return nil
}

// PrepareEarlyAnswer prepares an answer while the body may still be arriving: it is the last one of the connection,
// and can be written before the body was read.
func (b *Body) PrepareEarlyAnswer(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed = true; !b.complete {
		w.Header().Set("Connection", "close")
		b.controller.EnableFullDuplex()
	}
}

// Release releases the memory, and ends reads by an attempt.
func (b *Body) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// Close releases the body. What still arrives is read and discarded, at the rate of any body: closing the
// connection with unread input could destroy the answer before the client has read it.
func (b *Body) Close() {
	b.Release()
	b.mu.Lock()
	moreComes := !b.complete && b.err == nil
	b.mu.Unlock()
	if !moreComes || b.controller.Flush() != nil {
		return
	}
	buf := make([]byte, initialBufferSize)
	for _, err := b.read(buf); err == nil; _, err = b.read(buf) {
	}
}
