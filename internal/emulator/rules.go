package emulator

import (
	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// Broken is the error of a run that broke a rule. The run ends there.
type Broken = referee.Broken

// request is one request of a client, with the checker's record of it and the client's state. A client that repeats a
// request after a refusal or a failure creates a new one.
type request struct {
	referee.Request
	arrivedAt   Time
	original    *request // the client's original request, which its repeats belong to; the request itself for an original
	retriesLeft int      // repeats that the client may still make
	inTime      bool
	actualUnits float64 // units that the request draws; Units is the estimate
	value       float64 // value to the operator; 0 where the request is beyond its account's quota
}

// arriveAtMember reports to the checker that an attempt reaches a member and, if the member accepts it, that it runs.
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

// checkEnd reports the requests that have no final answer at the end of a run to the checker.
func (r *run) checkEnd() {
	var open []*referee.Request
	for _, q := range r.requests {
		open = append(open, &q.Request)
	}
	r.checker.Over(r.engine.now, open)
}

// idempotency returns the idempotency of a request's class.
func (r *run) idempotency(q *request) policy.Idempotency {
	return r.Settings.Classes[q.Class].Idempotency
}
