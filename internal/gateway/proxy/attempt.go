package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/core"
	"sprucelane.example/sprucelane/internal/front"
	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/internal/serverload"
)

const (
	// leftoverWait is how long the rest of an answer may take that only says that nothing ran.
	drainTimeout = 50 * time.Millisecond
	// foreignMost bounds the answers to other requests that may stand before the one that is due.
	maxMismatched = 2
)

// prepare reads what the choice of a server and admission go by.
func (q *request) prepare() {
	repeatable := q.route.Idempotent() && !ablation.Off(ablation.Retries) || q.proxy.bugs.retryNonIdempotent
	q.history = retry.History{Idempotent: repeatable, MaxServers: q.route.MaxAttempts}
	q.admission = AdmissionRequest{Route: q.route, Tenant: q.tenant, Backend: q.chooseBackend(), Deadline: q.deadline,
		Workload: serverselection.ParseWorkload(q.r.Header.Get(headerPromptPrefix), q.r.Header.Get(headerTokenUsage))}
	q.headerLines = forwardedHeaders(q.r.Header)
	q.lastEventID = q.r.Header.Get(headerLastEventID)
}

// run sends the request to one server after another until it has its answer or is given up.
func (q *request) runAttempts() {
	for q.r.Context().Err() == nil && q.history.MayRetry(time.Until(q.deadline)) {
		reservation := q.selectServer()
		if reservation == nil {
			break
		}
		if q.attempt(reservation) {
			return
		}
	}
	q.giveUp()
}

// attempt sends the request to a server, and tells whether it has its final answer with that.
func (q *request) attempt(reservation *serverselection.Reservation) (answered bool) {
	startedAt := time.Now()
	server := reservation.Server
	q.tried = append(q.tried, server.Number)
	defer func() { reservation.Done(time.Now(), serverselection.Abandoned) }() // where nothing else was said
	exchange, end := q.proxy.Pool.Open(q.r.Context(), &pool.Call{Server: server.Number, Until: q.deadline, Method: q.r.Method,
		Head: func(b *bytes.Buffer) { q.writeRequestHead(b, server.ID) }, Body: q.body.bytes,
		Check: func() bool { return !q.clientLeft() && q.maySend(time.Now()) }})
	if exchange == nil {
		return q.handleUnsent(reservation, end)
	}
	defer exchange.Close()
	q.sentAt = time.Now()
	q.proxy.Admission.Sent(q.admission, q.history.MayHaveRun())
	resp, err := q.readResponseHead(exchange, reservation)
	if err != nil {
		q.observeLatency(startedAt)
		return q.handleLost(reservation)
	}
	q.proxy.Selector.Loads().Observe(time.Now(), reservation.Server.Hash, resp.Header.Get(serverload.Header))
	if notExecuted(resp) {
		q.drain(exchange)
		result := serverselection.Rejected
		if resp.StatusCode == http.StatusMisdirectedRequest {
			result = serverselection.Unreachable // another server has its address
		}
		reservation.Done(time.Now(), result)
		q.history.Record(retry.NotExecuted)
		return false
	}
	if !credible(resp) {
		return q.handleLost(reservation)
	}
	if isEventStream(resp) {
		return q.streamResponse(exchange, resp, reservation, startedAt)
	}
	return q.bufferedResponse(exchange, resp, reservation, startedAt)
}

// left tells whether the client has left. Before the first attempt the request may have been held up together with the end of its
// connection; later that has been read.
func (q *request) clientLeft() bool {
	return len(q.tried) == 1 && front.Left(q.r) || q.r.Context().Err() != nil
}

// attempted tells admission how long the attempt took.
func (q *request) observeLatency(startedAt time.Time) {
	if !q.streamStarted && q.r.Context().Err() == nil {
		q.proxy.Admission.Attempted(q.admission, time.Since(startedAt))
	}
}

// unsent takes in that the request didn't go out whole, so that it has not run.
func (q *request) handleUnsent(reservation *serverselection.Reservation, end core.End) (answered bool) {
	result := serverselection.Abandoned
	if end == core.EndNoConnect || end == core.EndCutShort {
		result = serverselection.Unreachable
	}
	reservation.Done(time.Now(), result)
	q.history.Record(retry.NotSent)
	switch {
	case end != core.EndDenied:
		return false
	case q.streamStarted || q.history.MayHaveRun():
		q.giveUp()
	default:
		q.reject(http.StatusServiceUnavailable, unreadyRetryAfter)
	}
	return true
}

// lost takes in that the request may have run and gave no answer.
func (q *request) handleLost(reservation *serverselection.Reservation) (answered bool) {
	result := serverselection.Broken
	if q.r.Context().Err() != nil {
		result = serverselection.Abandoned
	}
	reservation.Done(time.Now(), result)
	q.history.Record(retry.Lost)
	return false
}

// answerHead reads the head of the answer to this request. One that names another id came late for another: it is passed over
// together with its body.
func (q *request) readResponseHead(exchange *pool.Exchange, reservation *serverselection.Reservation) (*http.Response, error) {
	for range maxMismatched {
		if err := q.awaitData(exchange, reservation); err != nil {
			return nil, err
		}
		resp, err := exchange.Head(q.deadline)
		if err != nil {
			return nil, err
		}
		if q.matchesID(resp) {
			return resp, nil
		}
		if len(resp.Header[headerID]) > 1 || !exchange.Delimited() || !q.drain(exchange) {
			break
		}
	}
	return nil, errMismatchedID
}

// isNamed tells whether an answer names this request, and no other one beside it.
func (q *request) matchesID(resp *http.Response) bool {
	ids := resp.Header[headerID]
	return len(ids) == 1 && ids[0] == q.id || q.proxy.bugs.acceptAnyID
}

const (
	// leastSilence is how long a server may leave a request without a word before one that may be repeated goes elsewhere.
	minStallWait = 1200 * time.Millisecond
	// lookEvery is the time between looks at whether the server is silent towards all.
	stallCheckInterval = 150 * time.Millisecond
)

// await waits until something more of the answer has come. A request that may be repeated doesn't wait for a server that has
// fallen silent, unless its answer has begun and can't go on elsewhere.
func (q *request) awaitData(exchange *pool.Exchange, reservation *serverselection.Reservation) error {
	if !q.history.MayAbandon(time.Until(q.deadline)) || q.streamStarted && !q.route.Resumable && !q.proxy.bugs.abandonStartedStreams {
		return exchange.Wait(q.deadline)
	}
	wait := minStallWait
	if !q.streamStarted {
		wait = max(wait, 3*q.route.TargetLatency())
	}
	patience := time.Now().Add(wait)
	if patience.After(q.deadline) {
		patience = q.deadline
	}
	for {
		by := time.Now().Add(stallCheckInterval)
		if by.After(patience) {
			by = patience
		}
		err := exchange.Wait(by)
		now := time.Now()
		if err == nil || !pool.TimedOut(err) || !now.Before(patience) || reservation.Stalled(now) {
			return err
		}
	}
}

// skip reads the rest of an answer that is not passed on, so that its connection can be kept, and tells whether it is there.
func (q *request) drain(exchange *pool.Exchange) bool {
	exchange.ReadBy(time.Now().Add(drainTimeout))
	_, err := io.Copy(io.Discard, io.LimitReader(exchangeReader{exchange}, maxResponseBytes))
	return err == nil
}

// readerOf reads an exchange's body.
type exchangeReader struct{ *pool.Exchange }

// notExecuted tells whether an answer says that the server did not run the request.
func notExecuted(resp *http.Response) bool {
	return resp.Header.Get(headerNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// credible tells whether an answer can be a server's to this request. A success bears its stamp; the statuses that promise that
// nothing ran are true only of a server that says so (which is looked at before); and clients ask for no encoding.
func credible(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	if resp.Header.Get(headerContentEncoding) != "" {
		return false
	}
	stamps := resp.Header[headerSignature]
	if len(stamps) > 1 {
		return false
	}
	return resp.StatusCode >= http.StatusMultipleChoices || len(stamps) == 1 && stamps[0] != ""
}

func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get(headerContentType), contentEventStream)
}
