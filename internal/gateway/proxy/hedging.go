package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/retry"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/pool"
	"sprucelane.example/sprucelane/policy"
)

// Hedged attempts: while a server is silent, the request is sent to another server, too, if it may run there. The
// silent server keeps the request until the other one's response has arrived, because a server that is silent may be
// at work: it may have preempted the request, or read a long prompt. If no other server takes the request over, the
// first one has until the deadline.

const (
	// minStallWait is the minimum time that an idempotent request waits for data from a server before it is hedged,
	// unless the server has stalled for all requests of this gateway.
	minStallWait = 1200 * time.Millisecond
	// stallCheckInterval is the time between checks whether the server has stalled for all requests of this gateway.
	stallCheckInterval = 150 * time.Millisecond
	// hedgePollInterval is the time between checks of hedged attempts in flight.
	hedgePollInterval = 20 * time.Millisecond
	// maxDeclined is how many servers in a row may fail to take the hedged attempt before it pauses.
	maxDeclined = 4
	// hedgePause is the time of the first pause, after which servers that didn't take the hedged attempt are tried
	// again. Each further pause is twice as long.
	hedgePause = 300 * time.Millisecond
)

// errSuperseded is the reason why an attempt ends whose request another server has taken over.
var errSuperseded = errors.New("proxy: another server has taken the request over")

// hedge is a hedged attempt. Its goroutine sends the request and waits for the response; fields other than done may
// be read once done is closed.
type hedge struct {
	attempt
	readError error // why there is no response although the request was sent
	done      chan struct{}
}

// hedges are the hedged attempts of a request.
type hedges struct {
	inFlight []*hedge
	takeover *attempt          // has its response; the next attempt to handle
	declined []policy.ServerID // servers that didn't take the request since the latest pause
	pause    time.Duration     // the latest pause; 0: none yet
	nextAt   time.Time         // earliest time of the next hedged attempt
}

// awaitData waits until more of the response has arrived. When the server has been silent for too long, the request
// is hedged, and awaitData returns errSuperseded once another server's response has arrived. Hedged attempts stay in
// flight when awaitData returns nil, as what has arrived may be a rejection.
func (q *request) awaitData(a *attempt) error {
	if len(q.hedges.inFlight) == 0 {
		if !q.mayHedge(1) && !q.proxy.bugs.abandonSilentServers {
			return a.exchange.Wait(q.deadline)
		}
		err := q.awaitStall(a)
		if !pool.TimedOut(err) || q.proxy.bugs.abandonSilentServers {
			return err
		}
		q.hedges.nextAt = time.Now()
	}
	for {
		q.startHedge(1)
		next := time.Now().Add(q.hedges.pollInterval())
		if next.After(q.deadline) {
			next = q.deadline
		}
		err := a.exchange.Wait(next)
		if !pool.TimedOut(err) || !time.Now().Before(q.deadline) {
			return err
		}
		if q.checkHedges() {
			return errSuperseded
		}
	}
}

// pollInterval returns how long to wait for the first attempt before hedged ones are checked.
func (h *hedges) pollInterval() time.Duration {
	if len(h.inFlight) > 0 {
		return hedgePollInterval
	}
	return stallCheckInterval
}

// awaitStall waits until more of the response has arrived. It returns an error that is TimedOut when the server has
// been silent for minStallWait (longer on routes with a long latency target), or for less if it has sent nothing to
// any request of this gateway.
func (q *request) awaitStall(a *attempt) error {
	wait := minStallWait
	if !q.streamStarted {
		wait = max(wait, 3*q.route.TargetLatency())
	}
	stalledAt := time.Now().Add(wait)
	if stalledAt.After(q.deadline) {
		stalledAt = q.deadline
	}
	for {
		next := time.Now().Add(stallCheckInterval)
		if next.After(stalledAt) {
			next = stalledAt
		}
		err := a.exchange.Wait(next)
		now := time.Now()
		if !pool.TimedOut(err) || !now.Before(stalledAt) || a.reservation.Stalled(now) {
			return err
		}
	}
}

// mayHedge reports whether the request may be sent to another server beside the hedged attempts in flight and a
// number of others. A stream that has started can continue at another server only if its route is resumable.
func (q *request) mayHedge(others int) bool {
	if !q.history.MayHedge(time.Until(q.deadline), others+len(q.hedges.inFlight)) {
		return false
	}
	if !q.streamStarted {
		return true
	}
	_, numbered := q.scanner.LastID()
	return q.route.Resumable && numbered
}

// startHedge sends the request to another server, if one is due and permitted beside a number of attempts that
// aren't hedged.
func (q *request) startHedge(others int) {
	now := time.Now()
	if now.Before(q.hedges.nextAt) || !q.mayHedge(others) {
		return
	}
	if len(q.hedges.declined) >= maxDeclined {
		q.hedges.startPause(now)
		return
	}
	reservation := q.selectServer(slices.Concat(q.tried, q.hedges.declined))
	if reservation == nil {
		q.hedges.startPause(now)
		return
	}
	if q.streamStarted {
		q.resumeAfterLastEvent()
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	h := &hedge{attempt: attempt{reservation: reservation, startedAt: now, cancel: cancel}, done: make(chan struct{})}
	q.hedges.inFlight = append(q.hedges.inFlight, h)
	q.hedges.nextAt = now.Add(minStallWait)
	send := q.hedgeSender()
	go func() {
		defer close(h.done)
		send(ctx, h)
	}()
}

// startPause postpones the next hedged attempt, for which all servers may then be selected again.
func (h *hedges) startPause(now time.Time) {
	h.pause = max(hedgePause, 2*h.pause)
	h.nextAt = now.Add(h.pause)
	h.declined = nil
}

// hedgeSender returns a function that sends the request in a goroutine of its own and waits for the response. It
// works on a copy of what the request is now: the request goes on, and may end, meanwhile.
func (q *request) hedgeSender() func(context.Context, *hedge) {
	copied := &request{proxy: q.proxy, r: q.r, arrived: q.arrived, deadline: q.deadline, id: q.id,
		body: body{bytes: q.body.bytes}, configuration: q.configuration, route: q.route, tenant: q.tenant,
		leaseExpired: q.leaseExpired, admission: q.admission, headerLines: q.headerLines, lastEventID: q.lastEventID}
	return copied.runHedge
}

// runHedge sends the request and waits for the response, and for the first part of its body, so that a server that
// takes over a stream has something to continue it with.
func (q *request) runHedge(ctx context.Context, h *hedge) {
	q.send(ctx, &h.attempt, func() bool { return ctx.Err() == nil && q.keyValid(time.Now()) })
	if h.exchange == nil {
		return
	}
	q.proxy.Admission.Sent(q.admission, true)
	wait := func() error { return h.exchange.Wait(q.deadline) }
	response, err := q.readResponseHead(h.exchange, wait)
	if err == nil && isEventStream(response) {
		err = wait()
	}
	h.response, h.readError = response, err
}

// checkHedges settles the hedged attempts that have ended, and reports whether one of them has a response with which
// it takes the request over.
func (q *request) checkHedges() bool {
	q.hedges.inFlight = slices.DeleteFunc(q.hedges.inFlight, func(h *hedge) bool {
		select {
		case <-h.done:
			if q.hedges.takeover != nil {
				return false // abandonHedges ends it
			}
			q.settleHedge(h)
			return true
		default:
			return false
		}
	})
	return q.hedges.takeover != nil
}

// settleHedge handles the end of a hedged attempt.
func (q *request) settleHedge(h *hedge) {
	server := h.reservation.Server.Number
	switch {
	case h.exchange == nil:
		q.hedges.declined = append(q.hedges.declined, server)
		h.reservation.Done(time.Now(), unsentResult(h.unsent))
	case h.readError == nil && notExecuted(h.response):
		q.hedges.declined = append(q.hedges.declined, server)
		drain(h.exchange)
		h.reservation.Done(time.Now(), rejectionResult(h.response))
	case h.readError == nil && q.takesOver(h.response):
		q.tried = append(q.tried, server)
		q.hedges.takeover = &h.attempt
		return
	default:
		q.tried = append(q.tried, server)
		q.history.Record(retry.Lost)
		result := serverselection.Broken
		if h.readError == nil && credible(h.response) {
			result = serverselection.Failed
		}
		h.reservation.Done(time.Now(), result)
	}
	q.hedges.nextAt = time.Now()
	h.close()
}

// takesOver reports whether a response is better than none: a server's own failure isn't, and a stream that has
// started can only be continued by a stream.
func (q *request) takesOver(response *http.Response) bool {
	return credible(response) && response.StatusCode < http.StatusInternalServerError &&
		(isEventStream(response) || !q.streamStarted)
}

// awaitHedge returns the hedged attempt that takes over a request whose other attempts have ended. It waits for it
// while hedged attempts are in flight, and returns nil if there is none.
func (q *request) awaitHedge() *attempt {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !q.checkHedges() && len(q.hedges.inFlight) > 0 && time.Now().Before(q.deadline) {
		q.startHedge(0)
		timer.Reset(hedgePollInterval)
		select {
		case <-timer.C:
		case <-q.r.Context().Done():
			return nil
		}
	}
	a := q.hedges.takeover
	if a != nil {
		q.hedges.takeover = nil
		q.abandonHedges() // the others
	}
	return a
}

// abandonHedges ends all hedged attempts. Those in flight may have run.
func (q *request) abandonHedges() {
	for _, h := range q.hedges.inFlight {
		q.tried = append(q.tried, h.reservation.Server.Number)
		q.history.Record(retry.Lost)
		h.cancel()
		go func() {
			<-h.done
			h.close()
		}()
	}
	if q.hedges.takeover != nil {
		q.history.Record(retry.Lost)
		q.hedges.takeover.close()
	}
	q.hedges = hedges{}
}

// resumeAfterLastEvent sets the Last-Event-Id with which another server continues a started stream.
func (q *request) resumeAfterLastEvent() {
	if last, numbered := q.scanner.LastID(); numbered && !q.proxy.bugs.omitLastEventID {
		q.lastEventID = strconv.FormatUint(last, 10)
	}
}
