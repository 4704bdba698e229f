package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
)

// firstStep is what a body holds at first, in bytes: what a client says of its length need not come.
const initialBufferSize = 4 << 10

// defaultBody bounds bodies where the configuration doesn't, in bytes.
const defaultMaxBodyBytes = 4 << 20

// body is a request's body, read whole: it may be sent to more than one server.
type body struct {
	bytes    []byte
	readAt   time.Time
	reserved int64
}

// read reads it whole until some moment.
func (b *body) read(w http.ResponseWriter, r *http.Request, most int, budget *buffers.Budget, until time.Time) *errorResponse {
	defer func() { b.readAt = time.Now() }()
	if r.ContentLength == 0 {
		return nil
	}
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(most) {
		return bodyTooLarge()
	}
	limit := http.NewResponseController(w)
	limit.SetReadDeadline(until)
	failure := b.fill(r, most, budget, until)
	if failure != nil {
		b.release(budget)
		return failure
	}
	limit.SetReadDeadline(time.Time{}) // a client's leaving is watched for as long as its answer takes
	return nil
}

func bodyTooLarge() *errorResponse {
	return &errorResponse{status: http.StatusRequestEntityTooLarge, message: "body: too long", closeConnection: true}
}

func (b *body) fill(r *http.Request, most int, budget *buffers.Budget, until time.Time) *errorResponse {
	whole := int64(most) + 1
	if r.ContentLength > 0 {
		whole = r.ContentLength + 1 // the end is read as well: net/http watches the client only after that
	}
	for size := min(initialBufferSize, whole); ; size = min(2*size, whole) {
		if !budget.Take(size-b.reserved, until) {
			return &errorResponse{status: http.StatusServiceUnavailable, message: "body: no room for it now", retryAfter: unreadyRetryAfter, closeConnection: true}
		}
		b.reserved = size
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		b.bytes = grown
		for len(b.bytes) < cap(b.bytes) {
			n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
			b.bytes = b.bytes[:len(b.bytes)+n]
			switch {
			case len(b.bytes) > most:
				return bodyTooLarge()
			case errors.Is(err, io.EOF):
				return nil
			case errors.Is(err, os.ErrDeadlineExceeded):
				return &errorResponse{status: http.StatusRequestTimeout, message: "body: did not come whole in time", closeConnection: true}
			case err != nil:
				return &errorResponse{status: http.StatusBadRequest, message: "body: not whole", closeConnection: true}
			}
		}
	}
}

func (b *body) release(budget *buffers.Budget) {
	budget.Give(b.reserved)
	b.reserved, b.bytes = 0, nil
}
