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
const firstStep = 4 << 10

// defaultBody bounds bodies where the configuration doesn't, in bytes.
const defaultBody = 4 << 20

// body is a request's body, read whole: it may be sent to more than one server.
type body struct {
	bytes  []byte
	readAt time.Time
	drawn  int64
}

// read reads it whole until some moment.
func (b *body) read(w http.ResponseWriter, r *http.Request, most int, budget *buffers.Budget, until time.Time) *problem {
	defer func() { b.readAt = time.Now() }()
	if r.ContentLength == 0 {
		return nil
	}
	if most <= 0 {
		most = defaultBody
	}
	if r.ContentLength > int64(most) {
		return tooLong()
	}
	limit := http.NewResponseController(w)
	limit.SetReadDeadline(until)
	no := b.fill(r, most, budget, until)
	if no != nil {
		b.release(budget)
		return no
	}
	limit.SetReadDeadline(time.Time{}) // a client's leaving is watched for as long as its answer takes
	return nil
}

func tooLong() *problem {
	return &problem{status: http.StatusRequestEntityTooLarge, text: "body: too long", close: true}
}

func (b *body) fill(r *http.Request, most int, budget *buffers.Budget, until time.Time) *problem {
	whole := int64(most) + 1
	if r.ContentLength > 0 {
		whole = r.ContentLength + 1 // the end is read as well: net/http watches the client only after that
	}
	for size := min(firstStep, whole); ; size = min(2*size, whole) {
		if !budget.Take(size-b.drawn, until) {
			return &problem{status: http.StatusServiceUnavailable, text: "body: no room for it now", retryAfter: unready, close: true}
		}
		b.drawn = size
		grown := make([]byte, len(b.bytes), size)
		copy(grown, b.bytes)
		b.bytes = grown
		for len(b.bytes) < cap(b.bytes) {
			n, err := r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
			b.bytes = b.bytes[:len(b.bytes)+n]
			switch {
			case len(b.bytes) > most:
				return tooLong()
			case errors.Is(err, io.EOF):
				return nil
			case errors.Is(err, os.ErrDeadlineExceeded):
				return &problem{status: http.StatusRequestTimeout, text: "body: did not come whole in time", close: true}
			case err != nil:
				return &problem{status: http.StatusBadRequest, text: "body: not whole", close: true}
			}
		}
	}
}

func (b *body) release(budget *buffers.Budget) {
	budget.Give(b.drawn)
	b.drawn, b.bytes = 0, nil
}
