package emulator

import (
	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// Broken is the error of a run that broke a rule. The run ends there.
type Broken = referee.Broken

// request is one request of a client: what the checker knows of it, and what the client does. A client that repeats a
// request after a refusal or a failure makes a new one.
type request struct {
	referee.Request
	arrivedAt   Time
	first       *request // the client's original request, which its repeats belong to; itself for the original
	retriesLeft int      // repeats that the client may still make
	inTime      bool
	actualUnits float64 // units that it draws; Units is the estimate
	value       float64 // to the operator; 0 where it is beyond its account's quota
}

// arriveAtMember reports to the checker that an attempt reaches a member, and whether the member runs it.
func (r *run) arriveAtMember(g *gateway, m *member, q *request) {
	warmth := 1.0
	if m.up {
		warmth = m.warmth()
	}
	r.checker.Arrived(r.engine.now, &q.Request, g.index, &m.checked, warmth, m.spec.Capacity())
	if m.accepts() {
		r.checker.Ran(r.engine.now, &q.Request)
	}
}

// checkEnd reports the requests without a final answer at a run's end to the checker.
func (r *run) checkEnd() {
	var open []*referee.Request
	for _, q := range r.requests {
		open = append(open, &q.Request)
	}
	r.checker.Over(r.engine.now, open)
}

// idempotency gives the idempotency of a request's class.
func (r *run) idempotency(q *request) policy.Idempotency {
	return r.Settings.Classes[q.Class].Idempotency
}
