package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/serverload"
)

// lateLogInterval is the minimum time between two log lines on late responses. They are sampled because they
// are most frequent when the gateway is busiest.
const lateLogInterval = time.Second

// logSampler limits the rate of a log line. It is safe for concurrent use.
type logSampler struct {
	next    atomic.Int64 // earliest time of the next line, in nanoseconds of Unix time
	skipped atomic.Int64 // lines skipped since the last one written
}

// allow reports whether a line may be written now, and how many were skipped since the previous one.
func (l *logSampler) allow(now time.Time) (skipped int64, allowed bool) {
	due := l.next.Load()
	if now.UnixNano() < due || !l.next.CompareAndSwap(due, now.Add(lateLogInterval).UnixNano()) {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}

// count counts the request's outcome. Only the first call has an effect.
func (q *request) count(outcome outcomes.Outcome) {
	if q.proxy.Outcomes != nil && !q.counted {
		q.counted = true
		q.proxy.Outcomes.Add(q.route.Name, outcome)
	}
}

// countStreamEnd counts the outcome of a stream whose first event has been counted already.
func (p *Proxy) countStreamEnd(route string, outcome outcomes.Outcome) {
	if p.Outcomes != nil {
		p.Outcomes.Add(route, outcome)
	}
}

// countBatchCall counts a call of the batch interface by its operation and the status of its answer.
func (q *request) countBatchCall(status int) {
	if q.proxy.Outcomes != nil {
		q.proxy.Outcomes.AddBatchCall(q.operation.String(), status)
	}
}

// countUnready counts a request that was rejected with 503 before it was read completely, because the gateway
// isn't ready, is shutting down, or has no memory for the body. It is counted without a route, because the
// route may not be known.
func (p *Proxy) countUnready(failure *errorResponse) {
	if p.Outcomes != nil && failure.status == http.StatusServiceUnavailable {
		p.Outcomes.Add("", outcomes.Unready)
	}
}

// recordResponse counts a request whose response is complete or whose stream's first event has arrived, and
// logs a sample of the late responses.
func (q *request) recordResponse(reservation *serverselection.Reservation, header http.Header) {
	load, _ := serverload.Parse(header.Get(serverload.Header))
	now := time.Now()
	attempt := outcomes.Attempt{Latency: now.Sub(q.arrived), Target: q.route.TargetLatency(),
		EarlierAttempts: len(q.tried) - 1, PrefillTokens: reservation.PrefillTokens(),
		InFlight: reservation.ReportedInFlight(), Queued: load.Waiting, Slots: load.Slots}
	outcome := outcomes.Classify(attempt)
	q.count(outcome)
	if q.proxy.Outcomes != nil {
		q.proxy.Outcomes.AddLatency(q.route.Name, attempt.Latency)
	}
	if outcome == outcomes.InTime {
		return
	}
	skipped, allowed := q.proxy.lateResponses.allow(now)
	if !allowed {
		return
	}
	q.proxy.Log.Info().Str("route", q.route.Name).Str("reason", string(outcome)).Dur("latency", attempt.Latency).
		Dur("read", q.body.readAt.Sub(q.arrived)).Dur("sent", q.sentAt.Sub(q.arrived)).
		Str("server", reservation.Server.ID).Str("zone", reservation.Server.Zone).
		Int("earlier_attempts", attempt.EarlierAttempts).Int("prompt", q.admission.Workload.PromptTokens).
		Int("prefill_tokens", attempt.PrefillTokens).Int("in_flight", attempt.InFlight).
		Int("queued", attempt.Queued).Int("slots", attempt.Slots).Int64("skipped", skipped).Msg("late_response")
}
