package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/buffers"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/pool"
)

// This file owns bodies on their way in and answers on their way out: how fast they must come and go, and what is kept of
// them. It must never make a whole of what is none.

const (
	// bodyPause is how long a client may send nothing of a body: one that never comes whole is owed an end soon.
	maxBodyPause = 2500 * time.Millisecond
	// bodyRate is the least rate of a body beyond its first pause: half of what the protocol's slow clients send at.
	minBodyRate = 32 << 10 // bytes a second
	// firstStep is what a body holds at first: what a client says of its length need not come.
	initialBufferSize = 4 << 10
)

// Body is a request's body: all of it, or its beginning and what follows it, which a pool member's flow reads.
type Body struct {
	Buffered []byte

	controller *http.ResponseController
	request    *http.Request
	budget     *buffers.Budget
	reserved   int64
	paceStart  time.Time // later by as much as was not asked for more

	mu       sync.Mutex // between the flow that reads and the front that ends
	received int64      // read so far
	lastRead time.Time  // when the last reading ended
	ended    bool       // all has been read
	closed   bool
	err      error
}

var errBodyClosed = errors.New("its transaction is over")

// ReadBody reads what is kept of a body: all that is no longer than 64 KiB; of one that says it is longer, a piece. It waits
// for room until some moment.
func ReadBody(w http.ResponseWriter, r *http.Request, budget *buffers.Budget, deadline time.Time) (*Body, *RequestError) {
	b := &Body{controller: http.NewResponseController(w), request: r, budget: budget, paceStart: time.Now()}
	if b.lastRead = b.paceStart; r.ContentLength == 0 {
		b.ended = true
		b.controller.SetReadDeadline(time.Time{}) // a client's leaving is watched for as long as its answer takes
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
			return nil, &RequestError{Code: http.StatusServiceUnavailable, Text: "body: no room for it now", RetryAfter: time.Second}
		}
		for len(b.Buffered) < cap(b.Buffered) && !b.ended {
			n, err := b.Read(b.Buffered[len(b.Buffered):cap(b.Buffered)])
			b.Buffered = b.Buffered[:len(b.Buffered)+n]
			if err != nil && !errors.Is(err, io.EOF) {
				b.Release()
				return nil, b.Fault()
			}
		}
		if b.ended || size == limit {
			break
		}
	}
	if r.ContentLength == int64(len(b.Buffered)) && !b.ended { // the end must be read for a client's leaving to be noticed
		var one [1]byte
		b.Read(one[:])
	}
	return b, nil
}

// grow makes room for so many bytes in all.
func (b *Body) grow(size int64, deadline time.Time) bool {
	if !b.budget.Acquire(size-b.reserved, deadline) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.Buffered), size)
	copy(grown, b.Buffered)
	b.Buffered = grown
	return true
}

// Empty tells whether there is no body.
func (b *Body) Empty() bool { return len(b.Buffered) == 0 && b.ended }

// More tells whether something may follow what is kept.
func (b *Body) Pending() bool { return !b.ended }

// Read gives a flow the next bytes, until its transaction has its answer.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed {
		return 0, errBodyClosed
	}
	return b.read(p)
}

// read gives the next bytes. It waits for as long as the client may pause, and all in all for as long as its rate allows.
func (b *Body) read(p []byte) (int, error) {
	b.mu.Lock()
	if b.err != nil || b.ended {
		defer b.mu.Unlock()
		if b.ended {
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
		b.ended = true
		b.controller.SetReadDeadline(time.Time{}) // what comes next is an end or the next request, and may take long
	case err != nil:
		b.err = err
	}
	return n, err
}

var (
	errTooLong  = errors.New("more than there can be")
	bodyTooLong = &RequestError{Code: http.StatusRequestEntityTooLarge, Text: "body: too long"}
)

// Fault tells what was wrong with the body, if anything was.
func (b *Body) Fault() *RequestError {
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

// Early prepares an answer to a body that is still coming: it is the connection's last, and goes out at once.
func (b *Body) PrepareEarlyAnswer(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed = true; !b.ended {
		w.Header().Set("Connection", "close")
		b.controller.EnableFullDuplex()
	}
}

// Leave gives the memory back.
func (b *Body) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// Close leaves the body. What still comes is read and thrown away, within the bounds of any body: a connection that
// is closed on it would take the answer with it before the client has read that.
func (b *Body) Close() {
	b.Release()
	b.mu.Lock()
	moreComes := !b.ended && b.err == nil
	b.mu.Unlock()
	if !moreComes || b.controller.Flush() != nil {
		return
	}
	buf := make([]byte, initialBufferSize)
	for _, err := b.read(buf); err == nil; _, err = b.read(buf) {
	}
}

// Write gives a client the final answer. A 429 or 503 says that asking again is harmless, so nothing else may
// use them.
func WriteAnswer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	defer a.Discard()
	h := w.Header()
	switch a.Kind {
	case core.Served:
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		if a.Remainder != nil {
			streamAnswer(w, r, a)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
	case core.Refused:
		code := http.StatusTooManyRequests
		if a.Attempted {
			code = http.StatusServiceUnavailable
		}
		h.Set("Retry-After", formatSeconds(a.RetryAfter))
		writeStatus(w, code)
	case core.Unauthorized:
		writeStatus(w, http.StatusUnauthorized)
	case core.Failed:
		if a.TimedOut {
			writeStatus(w, http.StatusGatewayTimeout)
		} else {
			writeStatus(w, http.StatusBadGateway)
		}
	case core.ClientGone:
		panic(http.ErrAbortHandler) // nobody to answer
	}
}

// pass writes a long answer as it comes. One that breaks is made to look so.
func streamAnswer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	controller := http.NewResponseController(w)
	piece := a.Body
	for {
		if len(piece) > 0 {
			controller.SetWriteDeadline(time.Now().Add(pool.StallTimeout))
			if _, err := w.Write(piece); err != nil || controller.Flush() != nil {
				panic(http.ErrAbortHandler) // the client has left, or takes nothing
			}
		}
		n, err := a.Remainder.Read(a.Body[:cap(a.Body)])
		piece = a.Body[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return
		case err != nil && !errors.Is(err, io.EOF):
			front.AbortResponse(r)
		}
	}
}
