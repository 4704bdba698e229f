package proxy

import (
	"bytes"
	"net/http"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/serverload"
)

// attempt is the state of one attempt, in which the request is sent to one server.
type attempt struct {
	reservation *serverselection.Reservation
	startedAt   time.Time
	exchange    *pool.Exchange // request and response on the server's connection
	response    *http.Response // head only; the body is read from exchange
}

// prepare sets, before admission, the fields of the request that admission and the attempts use.
func (q *request) prepare() {
	idempotent := q.route.Idempotent() && !ablation.Off(ablation.Retries) || q.proxy.bugs.retryNonIdempotent
	q.history = retry.History{Idempotent: idempotent, MaxServers: q.route.MaxAttempts}
	q.admission = AdmissionRequest{Route: q.route, Tenant: q.tenant, Backend: q.chooseBackend(), Deadline: q.deadline,
		Workload: serverselection.ParseWorkload(q.r.Header.Get(headerPromptPrefix), q.r.Header.Get(headerTokenUsage))}
	q.headerLines = forwardedHeaders(q.r.Header)
	q.lastEventID = q.r.Header.Get(headerLastEventID)
}

// runAttempts sends the request to one server after another until the client has its final response, and gives
// up if no further attempt is possible.
func (q *request) runAttempts() {
	for q.r.Context().Err() == nil && q.history.MayRetry(time.Until(q.deadline)) {
		reservation := q.selectServer()
		if reservation == nil {
			break
		}
		if q.send(reservation) {
			return
		}
	}
	q.giveUp()
}

// send sends the request to the reservation's server and handles the response. It reports whether the client
// has its final response; if not, the attempt's outcome has been recorded in the request's history, which
// determines whether another attempt may follow.
func (q *request) send(reservation *serverselection.Reservation) (final bool) {
	a := attempt{reservation: reservation, startedAt: time.Now()}
	server := reservation.Server
	q.tried = append(q.tried, server.Number)
	defer func() { reservation.Done(time.Now(), serverselection.Abandoned) }() // no effect if Done was called before
	exchange, end := q.proxy.Pool.Send(q.r.Context(), &pool.Request{
		Server: server.Number, Deadline: q.deadline, Method: q.r.Method, Body: q.body.bytes,
		WriteHead: func(b *bytes.Buffer) { q.writeRequestHead(b, server.ID) },
		MaySend:   func() bool { return !q.clientLeft() && q.maySend(time.Now()) },
	})
	if exchange == nil {
		return q.handleUnsent(reservation, end)
	}
	defer exchange.Close()
	a.exchange = exchange
	q.sentAt = time.Now()
	q.proxy.Admission.Sent(q.admission, q.history.MayHaveRun())
	var err error
	if a.response, err = q.readResponseHead(&a); err != nil {
		q.observeLatency(&a)
		return q.handleLost(reservation)
	}
	q.proxy.Selector.Loads().Observe(time.Now(), server.Hash, a.response.Header.Get(serverload.Header))
	switch {
	case notExecuted(a.response):
		return q.handleNotExecuted(&a)
	case !credible(a.response):
		return q.handleLost(reservation)
	case isEventStream(a.response):
		return q.forwardStream(&a)
	}
	return q.forwardBuffered(&a)
}

// clientLeft reports whether the client has closed its connection. net/http's background read cancels the
// request's context when it notices that, but may lag behind: at the first attempt the close may have arrived
// together with the request, so the connection itself is checked as well.
func (q *request) clientLeft() bool {
	return len(q.tried) == 1 && front.ClientGone(q.r) || q.r.Context().Err() != nil
}

// observeLatency reports the attempt's latency to admission. Attempts that resume a stream and attempts whose
// client has left are not reported.
func (q *request) observeLatency(a *attempt) {
	if !q.streamStarted && q.r.Context().Err() == nil {
		q.proxy.Admission.Attempted(q.admission, time.Since(a.startedAt))
	}
}

// handleUnsent ends an attempt whose request wasn't written completely: the server has not run it.
func (q *request) handleUnsent(reservation *serverselection.Reservation, end core.End) (final bool) {
	result := serverselection.Abandoned
	if end == core.EndNoConnect || end == core.EndWriteFailed {
		result = serverselection.Unreachable
	}
	reservation.Done(time.Now(), result)
	q.history.Record(retry.NotSent)
	switch {
	case end != core.EndUnauthorized:
		return false
	case q.streamStarted || q.history.MayHaveRun(): // 503 would promise that no server has run the request
		q.giveUp()
	default:
		q.count(outcomes.Unready)
		q.reject(http.StatusServiceUnavailable, unreadyRetryAfter)
	}
	return true
}

// handleNotExecuted ends an attempt whose server responded that it has not run the request.
func (q *request) handleNotExecuted(a *attempt) (final bool) {
	drain(a.exchange)
	result := serverselection.Rejected
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		result = serverselection.Unreachable // another server responds at its address
	}
	a.reservation.Done(time.Now(), result)
	q.history.Record(retry.NotExecuted)
	return false
}

// handleLost ends an attempt that got no usable response; the server may have run the request.
func (q *request) handleLost(reservation *serverselection.Reservation) (final bool) {
	result := serverselection.Broken
	if q.r.Context().Err() != nil {
		result = serverselection.Abandoned
	}
	reservation.Done(time.Now(), result)
	q.history.Record(retry.Lost)
	return false
}

const (
	// minStallWait is the minimum time that an idempotent request waits for data from a server before it is
	// sent to another one, unless the server has stalled for all requests of this gateway.
	minStallWait = 1200 * time.Millisecond
	// stallCheckInterval is the time between checks whether the server has stalled for all requests of this
	// gateway.
	stallCheckInterval = 150 * time.Millisecond
)

// awaitData waits until more of the response has arrived.
//
// A request that may be sent to another server doesn't wait for a stalled one until its deadline. It gives up
// after minStallWait (longer on routes with a long latency target), or earlier if the server has sent nothing
// to any request of this gateway. A stream that has started on a route that isn't resumable can't continue at
// another server, so it waits until its deadline.
func (q *request) awaitData(a *attempt) error {
	if !q.history.MayAbandon(time.Until(q.deadline)) ||
		q.streamStarted && !q.route.Resumable && !q.proxy.bugs.abandonStartedStreams {
		return a.exchange.Wait(q.deadline)
	}
	wait := minStallWait
	if !q.streamStarted {
		wait = max(wait, 3*q.route.TargetLatency())
	}
	giveUpAt := time.Now().Add(wait)
	if giveUpAt.After(q.deadline) {
		giveUpAt = q.deadline
	}
	for {
		next := time.Now().Add(stallCheckInterval)
		if next.After(giveUpAt) {
			next = giveUpAt
		}
		err := a.exchange.Wait(next)
		now := time.Now()
		if err == nil || !pool.TimedOut(err) || !now.Before(giveUpAt) || a.reservation.Stalled(now) {
			return err
		}
	}
}
