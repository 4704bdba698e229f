package proxy

import (
	"bytes"
	"context"
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
	sentAt      time.Time      // when sending it ended
	exchange    *pool.Exchange // request and response on the server's connection; nil: the request wasn't sent
	unsent      core.End       // why it wasn't
	response    *http.Response // head only, nil until it has arrived; the body is read from exchange
	cancel      func()         // ends the context of a hedged attempt; nil for others
}

// close ends the exchange and the reservation. It has no effect on what has been recorded of them before.
func (a *attempt) close() {
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	a.reservation.Done(time.Now(), serverselection.Abandoned)
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
	defer q.abandonHedges()
	for q.r.Context().Err() == nil {
		a := q.awaitHedge()
		if a == nil {
			a = q.nextAttempt()
		}
		if a == nil {
			break
		}
		if q.handle(a) {
			return
		}
	}
	q.abandonHedges() // they count as runs in the final status
	q.giveUp()
}

// nextAttempt sends the request to a server. It returns nil if no further attempt is permitted, or no server is left.
func (q *request) nextAttempt() *attempt {
	if !q.history.MayRetry(time.Until(q.deadline)) {
		return nil
	}
	reservation := q.selectServer(q.tried)
	if reservation == nil {
		return nil
	}
	a := &attempt{reservation: reservation, startedAt: time.Now()}
	q.tried = append(q.tried, reservation.Server.Number)
	q.send(q.r.Context(), a, func() bool { return !q.clientLeft() && q.maySend(time.Now()) })
	if a.exchange != nil {
		q.proxy.Admission.Sent(q.admission, q.history.MayHaveRun())
	}
	return a
}

// send sends the request to the attempt's server and sets exchange, or unsent if the request wasn't sent.
func (q *request) send(ctx context.Context, a *attempt, maySend func() bool) {
	server, lastEventID := a.reservation.Server, q.lastEventID
	a.exchange, a.unsent = q.proxy.Pool.Send(ctx, &pool.Request{
		Server: server.Number, Deadline: q.deadline, Method: q.r.Method, Body: q.body.bytes,
		WriteHead: func(b *bytes.Buffer) { q.writeRequestHead(b, server.ID, lastEventID) },
		MaySend:   maySend,
	})
	a.sentAt = time.Now()
}

// handle handles the end of sending the request, and the response. It reports whether the client has its final
// response; if not, the attempt's outcome has been recorded in the request's history, which determines whether another
// attempt may follow.
func (q *request) handle(a *attempt) (final bool) {
	defer a.close()
	if a.exchange == nil {
		return q.handleUnsent(a)
	}
	q.sentAt = a.sentAt
	if a.response == nil {
		var err error
		a.response, err = q.readResponseHead(a.exchange, func() error { return q.awaitData(a) })
		if err != nil {
			q.observeLatency(a)
			return q.handleLost(a.reservation)
		}
	}
	q.proxy.Selector.Loads().Observe(time.Now(), a.reservation.Server.Hash, a.response.Header.Get(serverload.Header))
	switch {
	case notExecuted(a.response):
		return q.handleNotExecuted(a)
	case !credible(a.response):
		return q.handleLost(a.reservation)
	case isEventStream(a.response):
		return q.forwardStream(a)
	}
	return q.forwardBuffered(a)
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
func (q *request) handleUnsent(a *attempt) (final bool) {
	a.reservation.Done(time.Now(), unsentResult(a.unsent))
	q.history.Record(retry.NotSent)
	switch {
	case a.unsent != core.EndUnauthorized:
		return false
	case q.streamStarted || q.history.MayHaveRun(): // 503 would promise that no server has run the request
		q.giveUp()
	default:
		q.count(outcomes.Unready)
		q.reject(http.StatusServiceUnavailable, unreadyRetryAfter)
	}
	return true
}

// unsentResult returns what the reason why a request wasn't sent says about the server.
func unsentResult(end core.End) serverselection.Result {
	if end == core.EndNoConnect || end == core.EndWriteFailed {
		return serverselection.Unreachable
	}
	return serverselection.Abandoned
}

// handleNotExecuted ends an attempt whose server responded that it has not run the request.
func (q *request) handleNotExecuted(a *attempt) (final bool) {
	drain(a.exchange)
	a.reservation.Done(time.Now(), rejectionResult(a.response))
	q.history.Record(retry.NotExecuted)
	return false
}

// rejectionResult returns what a response with which a request wasn't executed says about the server.
func rejectionResult(response *http.Response) serverselection.Result {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return serverselection.Unreachable // another server responds at its address
	}
	return serverselection.Rejected
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
