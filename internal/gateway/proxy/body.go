package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
)

// initialBufferSize is the initial size of a body's buffer, in bytes. The buffer grows as data arrives, so that
// a client can't reserve memory by a large Content-Length alone.
const initialBufferSize = 4 << 10

// defaultMaxBodyBytes is the maximum size of a body if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// body is a request's complete body. It is kept in memory because it may be sent to more than one server.
type body struct {
	bytes    []byte
	readAt   time.Time // when reading the body succeeded or failed
	reserved int64     // bytes reserved from the budget
}

// read reads the complete body. It returns an errorResponse if the body can't be read, exceeds limit, isn't
// complete by the deadline or doesn't fit the budget.
func (b *body) read(w http.ResponseWriter, r *http.Request, limit int, budget *buffers.Budget,
	deadline time.Time) *errorResponse {
	defer func() { b.readAt = time.Now() }()
	if r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // fails only on a closed connection, as the reads then do
	failure := b.fill(r, limit, budget, deadline)
	if failure != nil {
		b.release(budget)
		return failure
	}
	// net/http keeps reading from the connection to notice when the client disconnects. That read must have
	// no deadline.
	_ = controller.SetReadDeadline(time.Time{})
	return nil
}

// bodyTooLarge returns the response to a request whose body exceeds the limit.
func bodyTooLarge() *errorResponse {
	return &errorResponse{status: http.StatusRequestEntityTooLarge, message: "body: too long", closeConnection: true}
}

// fill reads the body into a buffer whose size doubles as needed. Each size is reserved from the budget before
// the buffer is allocated.
func (b *body) fill(r *http.Request, limit int, budget *buffers.Budget, deadline time.Time) *errorResponse {
	maxSize := int64(limit) + 1
	if r.ContentLength > 0 {
		maxSize = r.ContentLength + 1 // room to read EOF: net/http watches the connection only after that
	}
	for size := min(initialBufferSize, maxSize); ; size = min(2*size, maxSize) {
		if !budget.AcquireMore(b.reserved, size-b.reserved, deadline) {
			return &errorResponse{status: http.StatusServiceUnavailable, message: "body: no room for it now",
				retryAfter: unreadyRetryAfter, closeConnection: true}
		}
		b.reserved = size
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		b.bytes = grown
		for len(b.bytes) < cap(b.bytes) {
			n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
			b.bytes = b.bytes[:len(b.bytes)+n]
			switch {
			case len(b.bytes) > limit:
				return bodyTooLarge()
			case errors.Is(err, io.EOF):
				return nil
			case errors.Is(err, os.ErrDeadlineExceeded):
				return &errorResponse{status: http.StatusRequestTimeout, message: "body: did not come whole in time",
					closeConnection: true}
			case err != nil:
				return &errorResponse{status: http.StatusBadRequest, message: "body: not whole", closeConnection: true}
			}
		}
	}
}

// release returns the body's memory to the budget.
func (b *body) release(budget *buffers.Budget) {
	budget.Release(b.reserved)
	b.reserved, b.bytes = 0, nil
}
