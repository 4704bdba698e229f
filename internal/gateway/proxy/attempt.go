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
	leftoverWait = 50 * time.Millisecond
	// foreignMost bounds the answers to other requests that may stand before the one that is due.
	foreignMost = 2
)

// prepare reads what the choice of a server and admission go by.
func (q *request) prepare() {
	repeatable := q.route.Repeatable() && !ablation.Off(ablation.Retries) || q.proxy.bugs.repeatAll
	q.account = retry.Account{Repeatable: repeatable, MaxServers: q.route.MaxAttempts}
	q.wish = Wish{Route: q.route, Tenant: q.tenant, Backend: q.pickBackend(), Deadline: q.deadline,
		Demand: serverselection.ParseDemand(q.r.Header.Get(headerPrefix), q.r.Header.Get(headerUsage))}
	q.head = passOn(q.r.Header)
	q.lastEvent = q.r.Header.Get(headerLastEvent)
}

// run sends the request to one server after another until it has its answer or is given up.
func (q *request) run() {
	for q.r.Context().Err() == nil && q.account.Again(time.Until(q.deadline)) {
		ticket := q.place()
		if ticket == nil {
			break
		}
		if q.attempt(ticket) {
			return
		}
	}
	q.giveUp()
}

// attempt sends the request to a server, and tells whether it has its final answer with that.
func (q *request) attempt(ticket *serverselection.Ticket) (answered bool) {
	began := time.Now()
	server := ticket.Server
	q.passed = append(q.passed, server.Number)
	defer func() { ticket.Done(time.Now(), serverselection.Abandoned) }() // where nothing else was said
	x, end := q.proxy.Pool.Open(q.r.Context(), &pool.Call{Server: server.Number, Until: q.deadline, Method: q.r.Method,
		Head: func(b *bytes.Buffer) { q.writeHead(b, server.ID) }, Body: q.body.bytes,
		Check: func() bool { return !q.left() && q.mayGo(time.Now()) }})
	if x == nil {
		return q.unsent(ticket, end)
	}
	defer x.Close()
	q.sentAt = time.Now()
	q.proxy.Admission.Sent(q.wish, q.account.MayHaveRun())
	resp, err := q.answerHead(x, ticket)
	if err != nil {
		q.attempted(began)
		return q.lost(ticket)
	}
	q.proxy.Placer.Loads().Note(time.Now(), ticket.Server.Hash, resp.Header.Get(serverload.Header))
	if notExecuted(resp) {
		q.skip(x)
		result := serverselection.Refused
		if resp.StatusCode == http.StatusMisdirectedRequest {
			result = serverselection.Unreachable // another server has its address
		}
		ticket.Done(time.Now(), result)
		q.account.Note(retry.NotExecuted)
		return false
	}
	if !credible(resp) {
		return q.lost(ticket)
	}
	if isStream(resp) {
		return q.stream(x, resp, ticket, began)
	}
	return q.whole(x, resp, ticket, began)
}

// left tells whether the client has left. Before the first attempt the request may have been held up together with the end of its
// connection; later that has been read.
func (q *request) left() bool {
	return len(q.passed) == 1 && front.Left(q.r) || q.r.Context().Err() != nil
}

// attempted tells admission how long the attempt took.
func (q *request) attempted(began time.Time) {
	if !q.started && q.r.Context().Err() == nil {
		q.proxy.Admission.Attempted(q.wish, time.Since(began))
	}
}

// unsent takes in that the request didn't go out whole, so that it has not run.
func (q *request) unsent(ticket *serverselection.Ticket, end core.End) (answered bool) {
	result := serverselection.Abandoned
	if end == core.EndNoConnect || end == core.EndCutShort {
		result = serverselection.Unreachable
	}
	ticket.Done(time.Now(), result)
	q.account.Note(retry.NotSent)
	switch {
	case end != core.EndDenied:
		return false
	case q.started || q.account.MayHaveRun():
		q.giveUp()
	default:
		q.refuse(http.StatusServiceUnavailable, unready)
	}
	return true
}

// lost takes in that the request may have run and gave no answer.
func (q *request) lost(ticket *serverselection.Ticket) (answered bool) {
	result := serverselection.Broken
	if q.r.Context().Err() != nil {
		result = serverselection.Abandoned
	}
	ticket.Done(time.Now(), result)
	q.account.Note(retry.Lost)
	return false
}

// answerHead reads the head of the answer to this request. One that names another id came late for another: it is passed over
// together with its body.
func (q *request) answerHead(x *pool.Exchange, ticket *serverselection.Ticket) (*http.Response, error) {
	for range foreignMost {
		if err := q.await(x, ticket); err != nil {
			return nil, err
		}
		resp, err := x.Head(q.deadline)
		if err != nil {
			return nil, err
		}
		if q.isNamed(resp) {
			return resp, nil
		}
		if len(resp.Header[headerID]) > 1 || !x.Delimited() || !q.skip(x) {
			break
		}
	}
	return nil, errForeign
}

// isNamed tells whether an answer names this request, and no other one beside it.
func (q *request) isNamed(resp *http.Response) bool {
	ids := resp.Header[headerID]
	return len(ids) == 1 && ids[0] == q.id || q.proxy.bugs.anyID
}

const (
	// leastSilence is how long a server may leave a request without a word before one that may be repeated goes elsewhere.
	leastSilence = 1200 * time.Millisecond
	// lookEvery is the time between looks at whether the server is silent towards all.
	lookEvery = 150 * time.Millisecond
)

// await waits until something more of the answer has come. A request that may be repeated doesn't wait for a server that has
// fallen silent, unless its answer has begun and can't go on elsewhere.
func (q *request) await(x *pool.Exchange, ticket *serverselection.Ticket) error {
	if !q.account.Spare(time.Until(q.deadline)) || q.started && !q.route.Resumable && !q.proxy.bugs.cutsSilent {
		return x.Wait(q.deadline)
	}
	wait := leastSilence
	if !q.started {
		wait = max(wait, 3*q.route.TargetLatency())
	}
	patience := time.Now().Add(wait)
	if patience.After(q.deadline) {
		patience = q.deadline
	}
	for {
		by := time.Now().Add(lookEvery)
		if by.After(patience) {
			by = patience
		}
		err := x.Wait(by)
		now := time.Now()
		if err == nil || !pool.TimedOut(err) || !now.Before(patience) || ticket.Silent(now) {
			return err
		}
	}
}

// skip reads the rest of an answer that is not passed on, so that its connection can be kept, and tells whether it is there.
func (q *request) skip(x *pool.Exchange) bool {
	x.ReadBy(time.Now().Add(leftoverWait))
	_, err := io.Copy(io.Discard, io.LimitReader(readerOf{x}, maxWhole))
	return err == nil
}

// readerOf reads an exchange's body.
type readerOf struct{ *pool.Exchange }

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
	if resp.Header.Get(headerEncoding) != "" {
		return false
	}
	stamps := resp.Header[headerSignature]
	if len(stamps) > 1 {
		return false
	}
	return resp.StatusCode >= http.StatusMultipleChoices || len(stamps) == 1 && stamps[0] != ""
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get(headerContentType), contentEventStream)
}
