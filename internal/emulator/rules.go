package emulator

import (
	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// Broken is a rule that a run broke: the run ends there.
type Broken = referee.Broken

// request is a client's try in the model: what the referee knows of it, and what the client does.
type request struct {
	referee.Request
	arrivedAt   Time
	first       *request // the client's first try, which its retries belong to; itself
	retriesLeft int      // times that the client may still come again
	inTime      bool
	actualUnits float64 // units that it draws in the end
	value       float64 // 0 where it is beyond its account's quota
}

// arrives tells the referee of what comes to a member.
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

// over tells the referee what is still open at a run's end.
func (r *run) checkEnd() {
	var open []*referee.Request
	for _, q := range r.requests {
		open = append(open, &q.Request)
	}
	r.checker.Over(r.engine.now, open)
}

func (r *run) idempotency(q *request) policy.Idempotency {
	return r.Settings.Classes[q.Class].Idempotency
}
