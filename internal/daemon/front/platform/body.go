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
	// maxBodyPause is the maximum time between two pieces of a body that a client sends.
	maxBodyPause = 2500 * time.Millisecond
	// minBodyRate is the minimum average rate of a body after a first pause of maxBodyPause, in bytes per second: half
	// the rate of the slow clients in the protocol.
	minBodyRate = 32 << 10
	// initialBufferSize is the initial size of a body's buffer, in bytes. The announced length is not reserved at once,
	// because a client may send less than it announces.
	initialBufferSize = 4 << 10
)

var (
	errBodyClosed = errors.New("platform: read of a request body after it was closed")
	errTooLong    = errors.New("platform: body exceeds the maximum size")
)

// bodyTooLong is the error for a body that exceeds the maximum size.
var bodyTooLong = &RequestError{Code: http.StatusRequestEntityTooLarge, Text: "body: too long"}

// Body is a request's body. Buffered has the whole body or its beginning; Read returns the rest. The front may close a
// body while an attempt reads it.
type Body struct {
	Buffered []byte

	controller *http.ResponseController
	request    *http.Request
	budget     *buffers.Budget
	reserved   int64 // bytes of the budget

	mu        sync.Mutex // guards the fields below
	paceStart time.Time  // start of the rate measurement; the time between reads is added, so that it doesn't count
	received  int64      // bytes received so far
	lastRead  time.Time  // time when the last read ended
	complete  bool       // read to its end
	closed    bool
	err       error // final error of reads
}

// ReadBody reads the buffered part of a body: the whole body if it has at most 64 KiB, or the beginning of a longer
// one. It waits for memory of the budget until the deadline at the latest.
func ReadBody(w http.ResponseWriter, r *http.Request, budget *buffers.Budget,
	deadline time.Time) (*Body, *RequestError) {
	b := &Body{controller: http.NewResponseController(w), request: r, budget: budget, paceStart: time.Now()}
	if b.lastRead = b.paceStart; r.ContentLength == 0 {
		b.complete = true
		b.controller.SetReadDeadline(time.Time{}) // an expired deadline would look like a disconnect of the client
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
	// net/http detects a disconnect of the client only after the body was read to EOF.
	if r.ContentLength == int64(len(b.Buffered)) && !b.complete {
		var one [1]byte
		b.Read(one[:])
	}
	return b, nil
}

// grow enlarges the buffer to a capacity of size bytes. It returns false if the budget has no memory for it until the
// deadline.
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

// Pending reports whether more of the body may follow the buffered part.
func (b *Body) Pending() bool { return !b.complete }

// Read reads the bytes after the buffered part. It returns errBodyClosed once the body is released or closed.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed {
		return 0, errBodyClosed
	}
	return b.read(p)
}

// read reads the next bytes. It waits for at most maxBodyPause, and no longer than the minimum rate of the whole body
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
		b.controller.SetReadDeadline(time.Time{}) // only a disconnect or the next request can follow
	case err != nil:
		b.err = err
	}
	return n, err
}

// RequestError returns the error for the client if reading the body has failed, or nil.
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

// PrepareEarlyAnswer closes the body to further reads by an attempt before the answer is written. If the body has not
// arrived completely, the answer is the last one of the connection and can be written before the body is read.
func (b *Body) PrepareEarlyAnswer(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed = true; !b.complete {
		w.Header().Set("Connection", "close")
		b.controller.EnableFullDuplex()
	}
}

// Release returns the body's memory to the budget and makes further calls of Read fail.
func (b *Body) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// Close releases the body. It reads and discards the rest of the body, subject to the same minimum rate, because
// closing the connection with unread input could destroy the answer before the client has read it.
func (b *Body) Close() {
	b.Release()
	b.mu.Lock()
	unread := !b.complete && b.err == nil
	b.mu.Unlock()
	if !unread || b.controller.Flush() != nil {
		return
	}
	buf := make([]byte, initialBufferSize)
	for _, err := b.read(buf); err == nil; _, err = b.read(buf) {
	}
}
