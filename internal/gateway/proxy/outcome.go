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
const lateRecordEvery = time.Second

// lateRecords samples records.
type lateRecords struct {
	next    atomic.Int64 // nanoseconds of Unix time
	skipped atomic.Int64
}

// take tells whether a record may be written now, and how many were left out before.
func (l *lateRecords) take(now time.Time) (skipped int64, taken bool) {
	due := l.next.Load()
	if now.UnixNano() < due || !l.next.CompareAndSwap(due, now.Add(lateRecordEvery).UnixNano()) {
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
func (p *Proxy) countMore(route string, outcome outcomes.Outcome) {
	if p.Outcomes != nil {
		p.Outcomes.Add(route, outcome)
	}
}

// countRefusal counts a request of which no route is known, or that this gateway is not ready for.
func (p *Proxy) countRefusal(no *problem) {
	if p.Outcomes != nil && no.status == http.StatusServiceUnavailable {
		p.Outcomes.Add("", outcomes.Unready)
	}
}

func (r Refusal) outcome() outcomes.Outcome {
	if r.Status == http.StatusTooManyRequests {
		return outcomes.RefusedQuota
	}
	return outcomes.RefusedOverload
}

// answered counts a request whose answer has begun, or come whole, and records a late one.
func (q *request) answered(ticket *serverselection.Ticket, head http.Header) {
	load, _ := serverload.Parse(head.Get(serverload.Header))
	now := time.Now()
	attempt := outcomes.Attempt{Took: now.Sub(q.arrived), Target: q.route.TargetLatency(), Earlier: len(q.passed) - 1,
		Unread: ticket.Unread(), Present: ticket.Present(), Waiting: load.Waiting, Places: load.Slots}
	outcome := outcomes.Of(attempt)
	q.count(outcome)
	if outcome == outcomes.InTime {
		return
	}
	skipped, taken := q.proxy.late.take(now)
	if !taken {
		return
	}
	q.proxy.Log.Info().Str("route", q.route.Name).Str("reason", string(outcome)).Dur("took", attempt.Took).
		Dur("read", q.body.readAt.Sub(q.arrived)).Dur("sent", q.sentAt.Sub(q.arrived)).
		Str("server", ticket.Server.ID).Str("zone", ticket.Server.Zone).Int("earlier", attempt.Earlier).
		Int("prompt", q.wish.Demand.Prompt).Int("unread", attempt.Unread).Int("present", attempt.Present).
		Int("waiting", attempt.Waiting).Int("places", attempt.Places).Int64("skipped", skipped).Msg("late_answer")
}
