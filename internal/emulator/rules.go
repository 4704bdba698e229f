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
	at     Time
	first  *request // the client's first try, which its retries belong to; itself
	again  int      // times that the client may still come again
	inTime bool
	true   float64 // units that it draws in the end
	worth  float64 // 0 where it is beyond its account's quota
}

// arrives tells the referee of what comes to a member.
func (r *run) arrives(g *gateway, m *member, q *request) {
	warmth := 1.0
	if m.up {
		warmth = m.warmth()
	}
	r.referee.Arrived(r.e.now, &q.Request, g.me, &m.seen, warmth, m.spec.Capacity())
	if m.takes() {
		r.referee.Ran(r.e.now, &q.Request)
	}
}

// over tells the referee what is still open at a run's end.
func (r *run) over() {
	var open []*referee.Request
	for _, q := range r.all {
		open = append(open, &q.Request)
	}
	r.referee.Over(r.e.now, open)
}

func (r *run) effect(q *request) policy.Idempotency { return r.Settings.Classes[q.Class].Idempotency }
