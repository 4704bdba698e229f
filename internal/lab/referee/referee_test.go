package referee

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/policy"
)

const (
	second = time.Second
	origin = time.Hour
)

// settings are of a class of each kind, one room's grace and a plan with all that a plan may have.
func settings() policy.Settings {
	return policy.Settings{MaxAttempts: 3, DrainGrace: second / 4, SlowStartWindow: second, SlowStartMultiple: 4,
		Classes: []policy.Class{{Name: "read"}, {Name: "order", Idempotency: policy.NotIdempotent}, {Name: "batch", Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeCell, DedupWindow: 2 * second},
			{Name: "post", Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeZone, DedupWindow: 2 * second}},
		Plans: []policy.Plan{{Rate: 1, Burst: 5, MaxInFlight: 2, HardLimitRate: 2, HardLimitBurst: 10, HardLimitSlack: 1}}}
}

// A fault planted against every rule is found, told by its name, its moment and the request's story, and nothing else is.
func TestEveryRuleIsHeld(t *testing.T) {
	a, b := &Member{}, &Member{Room: 1, Cell: 1}
	at := origin + 3*second
	for rule, plant := range map[string]func(r *Referee, q *Request){
		TooManyAttempts: func(r *Referee, q *Request) { r.Sent(at, q, 3, a, 0) },
		TwoAtOnce:       func(r *Referee, q *Request) { r.Sent(at, q, 1, a, 1) },
		UnsafeAgain:     func(r *Referee, q *Request) { q.Class = 1; r.Sent(at, q, 0, a, 0); r.Sent(at, q, 1, b, 0) },
		OutOfScope:      func(r *Referee, q *Request) { q.Class = 2; r.Sent(at, q, 0, a, 0); r.Sent(at, q, 1, b, 0) },
		OutOfWindow:     func(r *Referee, q *Request) { q.Class = 3; r.Sent(at-2*second, q, 0, a, 0); r.Sent(at, q, 1, a, 0) },
		UnsafeTwice: func(r *Referee, q *Request) {
			q.Class = 1
			r.Ran(at, q)
			r.Ran(at, q)
		},
		DrainKept: func(r *Referee, q *Request) {
			m := &Member{}
			m.Told(1, at-second, false)
			m.Told(1, at, false) // told again: the first word counts
			r.Arrived(at, q, 1, m, 1, 10)
		},
		ColdBudget: func(r *Referee, q *Request) {
			m := &Member{}
			for range 10 { // a quarter of ten a second, four times over, and one for chance; one too few
				r.Arrived(at, q, 0, m, 0.25, 10)
				at += 101 * time.Millisecond / 10
			}
			require.NoError(t, r.Err())
			r.Arrived(at, q, 0, m, 0.25, 10)
			require.NoError(t, r.Err())
			r.Arrived(at, q, 0, m, 0.25, 10)
			at = origin + 3*second
		},
		Ceiling: func(r *Referee, q *Request) {
			q.Units = 10
			r.Draws(at, q)
			r.Draws(at, q) // a further attempt draws nothing
			require.NoError(t, r.Err())
			r.Draws(at, &Request{Request: policy.Request{Units: 2}, Trace: q.Trace})
		},
		RefusedRun: func(r *Referee, q *Request) { q.Class = 1; r.Sent(at, q, 0, a, 0); r.Refused(at, q) },
		TwoAnswers: func(r *Referee, q *Request) { r.Answered(at, q, "served"); r.Answered(at, q, "failed") },
		LateAnswer: func(r *Referee, q *Request) { r.Answered(q.Deadline+second, q, "served") },
		NoAnswer:   func(r *Referee, q *Request) { r.Over(at, []*Request{{Final: true}, {Lost: true}, q}) },
	} {
		t.Run(rule, func(t *testing.T) {
			r := New(settings(), 7, origin)
			q := &Request{Request: policy.Request{ID: 9, Units: 1, Deadline: at}}
			r.Note(origin, q, "taken")
			plant(r, q)
			require.Len(t, r.Broken, 1)
			assert.Equal(t, rule, r.Broken[0].Rule)
			assert.ErrorContains(t, r.Err(), "seed 7")
			assert.ErrorContains(t, r.Err(), "taken")
		})
	}
}

// What the rules allow is no fault: a further attempt that was proven needed, within scope and window, safe copies where they
// are allowed, work to a member that was listed again, work in the grace.
func TestWhatIsAllowed(t *testing.T) {
	r := New(settings(), 1, origin)
	r.Set.Hedging = true
	a, b := &Member{}, &Member{Room: 1}
	at := origin + second
	q := &Request{Request: policy.Request{Class: 1, Deadline: at + second}}
	r.Sent(at, q, 0, a, 0)
	r.Arrived(at, q, 0, a, 1, 10)
	q.Never(0)
	r.Sent(at, q, 1, b, 0)
	r.Arrived(at, q, 0, b, 1, 10)
	r.Ran(at, q)
	r.Answered(at+second, q, "failed")
	q = &Request{Request: policy.Request{Class: 2, Deadline: at + 2*second}}
	r.Sent(at, q, 0, a, 0)
	r.Sent(at+second, q, 1, b, 0)
	q = &Request{Request: policy.Request{Deadline: at + 2*second}}
	r.Sent(at, q, 0, a, 0)
	r.Sent(at, q, 1, b, 1)
	r.Refused(at, q)
	a.Told(0, at, false)
	r.Arrived(at+second/4, q, 0, a, 1, 10)
	r.Arrived(at+9*second, q, 1, a, 1, 10)
	a.Told(0, at+9*second, true)
	r.Arrived(at+9*second, q, 0, a, 1, 10)
	assert.NoError(t, r.Err())
}

// Quotas, caps and ceilings are counted over all gateways, and what goes beyond is told, not forbidden, but for ceilings.
func TestAccounts(t *testing.T) {
	r := New(settings(), 1, origin)
	at := origin
	for range 6 { // five are in the burst
		r.Draws(at, &Request{Request: policy.Request{Units: 1, Customer: 3}, Price: 2})
	}
	assert.Equal(t, 2.0, r.Beyond)
	r.Draws(at+2*second, &Request{Request: policy.Request{Units: 1, Customer: 3}, Price: 2})
	assert.Equal(t, 2.0, r.Beyond)
	assert.Equal(t, 1.0, r.Left(3, at+2*second))
	assert.Equal(t, 3.0, r.Left(3, at+4*second))
	assert.Equal(t, 5.0, r.Left(3, at+40*second))
	q := &Request{Request: policy.Request{Customer: 3}}
	for range 3 {
		r.Holds(q, 1)
	}
	assert.Equal(t, 1, r.OverCap)
	assert.Equal(t, 3, r.Out(3))
	r.Holds(q, -3)
	assert.Zero(t, r.Out(3))
	assert.NoError(t, r.Err())
}
