package emulator

import (
	"fmt"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Broken is a rule that a run broke: the run ends there.
type Broken struct {
	Rule  string
	Seed  uint64
	At    time.Duration // since the beginning of the run
	Trace []string      // what became of the request
}

func (b *Broken) Error() string {
	text := fmt.Sprintf("rule broken: %s, seed %d, at %v", b.Rule, b.Seed, b.At)
	for _, t := range b.Trace {
		text += "\n  " + t
	}
	return text
}

// coldSlack is the slack of the cold rule, in requests: of two that come together neither gateway can know. The rules'
// figures are the settings' own.
const coldSlack = 1.0

// breaks notes a broken rule, the first of a run.
func (r *run) breaks(rule string, q *request) {
	if r.broken == nil {
		r.broken = &Broken{Rule: rule, Seed: r.Seed, At: r.e.now - Origin}
		if q != nil {
			r.broken.Trace = q.trace
		}
	}
}

// arrives checks what a member is sent against the rules on drains, cold members and second runs.
func (r *run) arrives(g *gateway, m *member, q *request) {
	if told, ok := g.told[m.id]; ok && r.e.now-told > r.Settings.DrainGrace+2*r.Link {
		r.breaks("new work to a member that drains or is gone", q)
	}
	if q.effect == policy.Unsafe && m.takes() { // one that a member turns away, or that finds none, has not run
		if q.ran++; q.ran > 1 {
			r.breaks("an unsafe request reached members twice", q)
		}
	}
	window, multiple := r.Settings.Fall, r.Settings.FallMultiple
	if w := m.warmth(); w < 1 && m.up && window > 0 && multiple > 0 {
		m.sends = append(m.sends, r.e.now)
		for r.e.now-m.sends[0] > window {
			m.sends = m.sends[1:]
		}
		most := multiple * w * m.spec.Capacity() * window.Seconds()
		if r.PeakCold = max(r.PeakCold, (float64(len(m.sends))-coldSlack)/most*multiple); float64(len(m.sends)) > most+coldSlack {
			r.breaks("a cold member was sent more than it can bear", q)
		}
	}
}

// store is what is left of an account's quota and of its hard ceiling over all gateways.
type store struct {
	quota, ceiling float64
	at             Time
}

// draws counts what is first sent on of a request against its account's quota, and checks it against the hard ceiling.
func (r *run) draws(q *request) {
	p := r.Settings.Plans[q.Plan]
	s := r.stores[q.Customer]
	if s == nil {
		s = &store{p.Burst, p.CeilingBurst, r.e.now}
		r.stores[q.Customer] = s
	}
	passed := (r.e.now - s.at).Seconds()
	s.quota, s.ceiling, s.at = min(p.Burst, s.quota+passed*p.Rate), min(p.CeilingBurst, s.ceiling+passed*p.CeilingRate), r.e.now
	if s.quota -= q.Units; p.Rate > 0 && s.quota < 0 {
		s.quota += q.Units
		r.Beyond += q.price
	}
	if p.CeilingRate <= 0 {
		return
	}
	s.ceiling -= q.Units
	if r.OverCeiling = max(r.OverCeiling, -s.ceiling); s.ceiling < -p.CeilingSlack {
		r.breaks("an account's hard ceiling is passed", q)
	}
}

// answered checks that a request has one final answer, in time.
func (r *run) answered(q *request, how string) {
	q.note(r.e.now, "answered: "+how)
	switch {
	case q.final:
		r.breaks("two final answers", q)
	case r.e.now > q.deadline+2*r.Link:
		r.breaks("an answer after the deadline", q)
	}
	q.final = true
}

// over checks that nothing taken is left without an answer at a run's end.
func (r *run) over() {
	for _, q := range r.all {
		if !q.final && !q.lost {
			r.breaks("no final answer", q)
		}
	}
}

type request struct {
	policy.Request
	at       Time
	deadline Time
	effect   policy.Effect
	mayHave  []attempt // those that are out or may have run
	first    *request  // the client's first try, which its retries belong to; itself
	again    int       // times that the client may still come again
	inTime   bool
	true     float64 // units that it draws in the end
	worth    float64 // 0 where it is beyond its account's quota
	price    float64 // worth in any case
	ran      int
	final    bool
	lost     bool // its gateway died, which is no rule
	trace    []string
}

// attempt is one that is out, or has ended in a way that doesn't prove that it never ran.
type attempt struct {
	no int
	to *member
	at Time
}

// sends checks an attempt against the rules on further ones, before it is sent.
func (r *run) sends(q *request, no int, m *member, out int) {
	set := r.Settings
	if no >= max(1, set.MaxAttempts) {
		r.breaks("more attempts than are allowed", q)
	}
	if out > 0 && (!set.SecondCopies || q.effect == policy.Unsafe) {
		r.breaks("two attempts out at once", q)
	}
	c := set.Classes[q.Class]
	for _, a := range q.mayHave {
		switch apart := c.Scope == policy.ScopeZone && a.to.room != m.room || c.Scope == policy.ScopeCell && a.to.cell != m.cell; {
		case q.effect == policy.Unsafe:
			r.breaks("an unsafe request is sent again though it may have run", q)
		case q.effect == policy.Keyed && apart:
			r.breaks("a keyed request is sent again outside of its scope", q)
		case q.effect == policy.Keyed && r.e.now-a.at >= c.Window:
			r.breaks("a keyed request is sent again outside of its window", q)
		}
	}
	q.mayHave = append(q.mayHave, attempt{no, m, r.e.now})
}

// never notes that an attempt has been proven never to have run.
func (q *request) never(no int) {
	q.mayHave = slices.DeleteFunc(q.mayHave, func(a attempt) bool { return a.no == no })
}

func (q *request) note(now Time, text string) {
	if len(q.trace) < 32 {
		q.trace = append(q.trace, fmt.Sprintf("%v %s", now-Origin, text))
	}
}
