package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/gateway/sse"
	"sprucelane.example/sprucelane/internal/pool"
)

const (
	// pieceSize is the room that is made for what comes of a stream at once, in bytes.
	pieceSize = 4 << 10
	// batchMost is how much of a stream is gathered at most before it is passed on, in bytes.
	batchMost = 32 << 10
	// keptMost is the largest buffer that is kept for another stream, in bytes.
	keptMost = 64 << 10
)

var pieces = sync.Pool{New: func() any { b := make([]byte, 0, pieceSize); return &b }}

// stream passes events on as they come, and tells whether the request has its final answer with that. Where it has not, and
// something has gone out, another server may go on after the last event.
func (q *request) stream(x *pool.Exchange, resp *http.Response, ticket *serverselection.Ticket, began time.Time) (answered bool) {
	q.prepareScanner()
	first := false
	for {
		n, err := 0, q.await(x, ticket)
		if err == nil {
			x.ReadBy(q.deadline)
			n, err = x.Read(q.scanner.Room(pieceSize / 2))
		}
		q.scanner.Came(n)
		ended := errors.Is(err, io.EOF)
		if err == nil && x.Ready() && len(q.scanner.Whole()) < batchMost {
			continue
		}
		if len(q.scanner.Whole()) > 0 {
			if first {
				ticket.Sign(time.Now())
			} else {
				first = true
				q.firstEvent(ticket, began, resp.Header)
			}
			if q.scanner.Gap() {
				q.lost(ticket)
				panic(http.ErrAbortHandler) // what is missing can't be had any more
			}
			q.pass(resp)
		}
		switch {
		case ended && x.Delimited():
			return q.endStream(resp, ticket)
		case err != nil || q.scanner.TooLong():
			return q.cut(ticket)
		}
	}
}

func (q *request) prepareScanner() {
	if q.scanner == nil {
		q.buffer = pieces.Get().(*[]byte)
		q.scanner = sse.NewScanner(*q.buffer)
		return
	}
	if last, any := q.scanner.Last(); q.started && any {
		q.scanner.Resume(last)
		return
	}
	q.scanner = sse.NewScanner(q.scanner.Buffer())
}

func (q *request) releaseScanner() {
	if q.scanner == nil {
		return
	}
	if *q.buffer = q.scanner.Buffer(); cap(*q.buffer) <= keptMost {
		pieces.Put(q.buffer)
	}
	q.scanner, q.buffer = nil, nil
}

func (q *request) firstEvent(ticket *serverselection.Ticket, began time.Time, head http.Header) {
	ticket.First(time.Now())
	q.attempted(began)
	if !q.started {
		q.answered(ticket, head)
	}
}

// pass gives the client the whole events that are there, with the head of the first server before them.
func (q *request) pass(resp *http.Response) {
	q.begin(resp)
	if _, err := q.w.Write(q.scanner.Whole()); err != nil {
		panic(http.ErrAbortHandler) // the client has left, or takes nothing
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	q.scanner.Taken()
}

func (q *request) begin(resp *http.Response) {
	if q.started {
		return
	}
	copyHead(q.w.Header(), resp.Header)
	q.w.WriteHeader(resp.StatusCode)
	q.started = true
	slack := writeSlack
	if q.proxy.bugs.patientWrites {
		slack = time.Minute
	}
	http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(slack))
}

// writeSlack is how long beyond its deadline a client may take to read a stream: its server works on for as long.
const writeSlack = 250 * time.Millisecond

// endStream ends an answer that has come whole.
func (q *request) endStream(resp *http.Response, ticket *serverselection.Ticket) (answered bool) {
	ticket.Done(time.Now(), serverselection.Succeeded)
	resumed := q.started && q.account.MayHaveRun()
	q.begin(resp)
	if rest := q.scanner.Partial(); len(rest) > 0 && !resumed {
		q.w.Write(rest)
	}
	return true
}

// cut takes in that a stream ended before its end, and prepares for another server to go on.
func (q *request) cut(ticket *serverselection.Ticket) (answered bool) {
	q.lost(ticket)
	if !q.started {
		return false
	}
	last, any := q.scanner.Last()
	if !q.route.Resumable || !any {
		q.proxy.countMore(q.route.Name, outcomes.Cut)
		panic(http.ErrAbortHandler) // it must not look complete
	}
	if !q.proxy.bugs.noLastEvent {
		q.lastEvent = strconv.FormatUint(last, 10)
	}
	return false
}
