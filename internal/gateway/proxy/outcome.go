package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"sprucelane.example/sprucelane/internal/gateway/outcomes"
	"sprucelane.example/sprucelane/internal/gateway/serverselection"
	"sprucelane.example/sprucelane/internal/serverload"
)

// This file owns how a request's end is counted, and the record of answers that are late.

// lateRecordEvery is the least time between two records of late answers: a sample is enough, and all would be a flood just when
// there is much to do.
const lateLogInterval = time.Second

// lateRecords samples records.
type logSampler struct {
	next    atomic.Int64 // nanoseconds of Unix time
	skipped atomic.Int64
}

// take tells whether a record may be written now, and how many were left out before.
func (l *logSampler) take(now time.Time) (skipped int64, taken bool) {
	due := l.next.Load()
	if now.UnixNano() < due || !l.next.CompareAndSwap(due, now.Add(lateLogInterval).UnixNano()) {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}

// count counts what became of the request.
func (q *request) count(outcome outcomes.Outcome) {
	if q.proxy.Outcomes != nil && !q.counted {
		q.counted = true
		q.proxy.Outcomes.Add(q.route.Name, outcome)
	}
}

// countMore counts what became of an answer that had begun, beside how it began.
func (p *Proxy) countStreamEnd(route string, outcome outcomes.Outcome) {
	if p.Outcomes != nil {
		p.Outcomes.Add(route, outcome)
	}
}

// countRefusal counts a request of which no route is known, or that this gateway is not ready for.
func (p *Proxy) countUnready(failure *errorResponse) {
	if p.Outcomes != nil && failure.status == http.StatusServiceUnavailable {
		p.Outcomes.Add("", outcomes.Unready)
	}
}

func (r Rejection) outcome() outcomes.Outcome {
	if r.Status == http.StatusTooManyRequests {
		return outcomes.RejectedQuota
	}
	return outcomes.RejectedOverload
}

// answered counts a request whose answer has begun, or come whole, and records a late one.
func (q *request) recordAnswer(reservation *serverselection.Reservation, head http.Header) {
	load, _ := serverload.Parse(head.Get(serverload.Header))
	now := time.Now()
	attempt := outcomes.Attempt{Latency: now.Sub(q.arrived), Target: q.route.TargetLatency(), EarlierAttempts: len(q.tried) - 1,
		PrefillTokens: reservation.PrefillTokens(), InFlight: reservation.ReportedInFlight(), Queued: load.Waiting, Slots: load.Slots}
	outcome := outcomes.Classify(attempt)
	q.count(outcome)
	if outcome == outcomes.InTime {
		return
	}
	skipped, taken := q.proxy.lateAnswers.take(now)
	if !taken {
		return
	}
	q.proxy.Log.Info().Str("route", q.route.Name).Str("reason", string(outcome)).Dur("took", attempt.Latency).
		Dur("read", q.body.readAt.Sub(q.arrived)).Dur("sent", q.sentAt.Sub(q.arrived)).
		Str("server", reservation.Server.ID).Str("zone", reservation.Server.Zone).Int("earlier", attempt.EarlierAttempts).
		Int("prompt", q.admission.Workload.PromptTokens).Int("unread", attempt.PrefillTokens).Int("present", attempt.InFlight).
		Int("waiting", attempt.Queued).Int("places", attempt.Slots).Int64("skipped", skipped).Msg("late_answer")
}
