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
	bodyPause = 2500 * time.Millisecond
	// bodyRate is the least rate of a body beyond its first pause: half of what the protocol's slow clients send at.
	bodyRate = 32 << 10 // bytes a second
	// firstStep is what a body holds at first: what a client says of its length need not come.
	firstStep = 4 << 10
)

// Body is a request's body: all of it, or its beginning and what follows it, which a pool member's flow reads.
type Body struct {
	Kept []byte

	w      *http.ResponseController
	r      *http.Request
	budget *buffers.Budget
	drawn  int64
	begun  time.Time // later by as much as was not asked for more

	mu     sync.Mutex // between the flow that reads and the front that ends
	n      int64      // read so far
	asked  time.Time  // when the last reading ended
	ended  bool       // all has been read
	closed bool
	err    error
}

var errLeft = errors.New("its transaction is over")

// ReadBody reads what is kept of a body: all that is no longer than 64 KiB; of one that says it is longer, a piece. It waits
// for room until some moment.
func ReadBody(w http.ResponseWriter, r *http.Request, budget *buffers.Budget, until time.Time) (*Body, *Bad) {
	b := &Body{w: http.NewResponseController(w), r: r, budget: budget, begun: time.Now()}
	if b.asked = b.begun; r.ContentLength == 0 {
		b.ended = true
		b.w.SetReadDeadline(time.Time{}) // a client's leaving is watched for as long as its answer takes
		return b, nil
	}
	if r.ContentLength > pool.MaxBodySize {
		return nil, tooLong
	}
	most := int64(pool.MaxBufferedBody)
	if r.ContentLength > most {
		most = pool.StreamBufferSize
	} else if r.ContentLength > 0 {
		most = r.ContentLength
	}
	for size := min(firstStep, most); ; size = min(2*size, most) {
		if !b.grow(size, until) {
			b.Leave()
			return nil, &Bad{Code: http.StatusServiceUnavailable, Text: "body: no room for it now", RetryAfter: time.Second}
		}
		for len(b.Kept) < cap(b.Kept) && !b.ended {
			n, err := b.Read(b.Kept[len(b.Kept):cap(b.Kept)])
			b.Kept = b.Kept[:len(b.Kept)+n]
			if err != nil && !errors.Is(err, io.EOF) {
				b.Leave()
				return nil, b.Fault()
			}
		}
		if b.ended || size == most {
			break
		}
	}
	if r.ContentLength == int64(len(b.Kept)) && !b.ended { // the end must be read for a client's leaving to be noticed
		var one [1]byte
		b.Read(one[:])
	}
	return b, nil
}

// grow makes room for so many bytes in all.
func (b *Body) grow(size int64, until time.Time) bool {
	if !b.budget.Acquire(size-b.drawn, until) {
		return false
	}
	b.drawn = size
	grown := make([]byte, len(b.Kept), size)
	copy(grown, b.Kept)
	b.Kept = grown
	return true
}

// Empty tells whether there is no body.
func (b *Body) Empty() bool { return len(b.Kept) == 0 && b.ended }

// More tells whether something may follow what is kept.
func (b *Body) More() bool { return !b.ended }

// Read gives a flow the next bytes, until its transaction has its answer.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed {
		return 0, errLeft
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
	b.begun = b.begun.Add(time.Since(b.asked))
	by := b.begun.Add(bodyPause + time.Duration(float64(b.n)/bodyRate*float64(time.Second)))
	if pause := time.Now().Add(bodyPause); pause.Before(by) {
		by = pause
	}
	b.w.SetReadDeadline(by)
	b.mu.Unlock()
	n, err := b.r.Body.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = time.Now()
	if b.n += int64(n); b.n > pool.MaxBodySize && err == nil {
		err = errLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		b.w.SetReadDeadline(time.Time{}) // what comes next is an end or the next request, and may take long
	case err != nil:
		b.err = err
	}
	return n, err
}

var (
	errLong = errors.New("more than there can be")
	tooLong = &Bad{Code: http.StatusRequestEntityTooLarge, Text: "body: too long"}
)

// Fault tells what was wrong with the body, if anything was.
func (b *Body) Fault() *Bad {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(b.err, errLong):
		return tooLong
	case b.err != nil:
		return bad("body: not whole")
	}
	return nil
}

// Early prepares an answer to a body that is still coming: it is the connection's last, and goes out at once.
func (b *Body) Early(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed = true; !b.ended {
		w.Header().Set("Connection", "close")
		b.w.EnableFullDuplex()
	}
}

// Leave gives the memory back.
func (b *Body) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.budget.Release(b.drawn)
	b.drawn = 0
}

// Close leaves the body. What still comes is read and thrown away, within the bounds of any body: a connection that
// is closed on it would take the answer with it before the client has read that.
func (b *Body) Close() {
	b.Leave()
	b.mu.Lock()
	rest := !b.ended && b.err == nil
	b.mu.Unlock()
	if !rest || b.w.Flush() != nil {
		return
	}
	away := make([]byte, firstStep)
	for _, err := b.read(away); err == nil; _, err = b.read(away) {
	}
}

// Write gives a client the final answer. A 429 or 503 says that asking again is harmless, so nothing else may
// use them.
func Write(w http.ResponseWriter, r *http.Request, a core.Answer) {
	defer a.Discard()
	h := w.Header()
	switch a.Kind {
	case core.Served:
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		if a.Remainder != nil {
			pass(w, r, a)
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
	case core.Refused:
		code := http.StatusTooManyRequests
		if a.Attempted {
			code = http.StatusServiceUnavailable
		}
		h.Set("Retry-After", seconds(a.RetryAfter))
		end(w, code)
	case core.Unauthorized:
		end(w, http.StatusUnauthorized)
	case core.Failed:
		if a.TimedOut {
			end(w, http.StatusGatewayTimeout)
		} else {
			end(w, http.StatusBadGateway)
		}
	case core.ClientGone:
		panic(http.ErrAbortHandler) // nobody to answer
	}
}

// pass writes a long answer as it comes. One that breaks is made to look so.
func pass(w http.ResponseWriter, r *http.Request, a core.Answer) {
	if a.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	rc := http.NewResponseController(w)
	piece := a.Body
	for {
		if len(piece) > 0 {
			rc.SetWriteDeadline(time.Now().Add(pool.StallTimeout))
			if _, err := w.Write(piece); err != nil || rc.Flush() != nil {
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
