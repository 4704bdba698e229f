// Package referee owns the rules as an outsider counts them: from what reached members and clients and from what gateways
// had been told, whatever a gateway says of itself. It is pure: time is an argument, nothing is read or sent. The emulator
// and the fault rig hold the same rules with it. It must never excuse what a rule forbids; who runs it says what was lost
// with a process that was killed.
package referee

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/policy"
)

// Time is a reading of the one clock that all events are told by.
type Time = time.Duration

// coldSlack is the slack of the cold rule, in requests: of two that come together neither gateway can know.
const coldSlack = 1.0

// mostTrace bounds what is kept of a request's story.
const mostTrace = 32

// The rules by name, as Broken gives them.
const (
	TooManyAttempts = "more attempts than are allowed"
	TwoAtOnce       = "two attempts out at once"
	UnsafeAgain     = "an unsafe request is sent again though it may have run"
	OutOfScope      = "a keyed request is sent again outside of its scope"
	OutOfWindow     = "a keyed request is sent again outside of its window"
	UnsafeTwice     = "an unsafe request reached members twice"
	DrainKept       = "new work to a member that drains or is gone"
	ColdBudget      = "a cold member was sent more than it can bear"
	Ceiling         = "an account's hard ceiling is passed"
	RefusedRun      = "refused though it may have run"
	TwoAnswers      = "two final answers"
	LateAnswer      = "an answer after the deadline"
	NoAnswer        = "no final answer"
	Invented        = "sent what no client asked for, or served with what no member answered"
)

// Broken is a rule that was broken.
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

// Referee counts.
type Referee struct {
	Set    policy.Settings
	Seed   uint64
	Origin Time          // of the run, on the clock
	Way    time.Duration // that a word may take between a gateway and whoever tells the referee of it
	Slack  float64       // of a ceiling, as seconds of its rate, beyond the plan's own: what sockets add

	Broken []*Broken // the first of each rule
	Times  map[string]int

	Beyond      float64 // worth sent on beyond the quotas
	OverCap     int     // most attempts that an account had out beyond its cap
	OverCeiling float64 // most that an account was beyond its hard ceiling, in units
	PeakCold    float64 // most that a cold member was sent in the rule's window, over what it could do then

	stores map[policy.CustomerID]*store
	out    map[policy.CustomerID]int
}

// New gives a referee by a deployment's settings.
func New(set policy.Settings, seed uint64, origin Time) *Referee {
	return &Referee{Set: set, Seed: seed, Origin: origin, Times: map[string]int{}, stores: map[policy.CustomerID]*store{},
		out: map[policy.CustomerID]int{}}
}

// store is what is left of an account's quota and of its hard ceiling over all gateways.
type store struct {
	quota, ceiling float64
	at             Time
	plan           int
}

// Request is a client's try with what was seen of it.
type Request struct {
	policy.Request
	Price float64 // its worth, whatever the quota says
	Final bool    // it has its answer
	Lost  bool    // its gateway died, which is no rule
	Trace []string

	ran     int
	mayHave []attempt // those that are out or may have run
	drawn   bool
}

// attempt is one that is out, or has ended in a way that doesn't prove that it never ran.
type attempt struct {
	no int
	to *Member
	at Time
}

// Member is one member in one life, as far as rules go.
type Member struct {
	Room, Cell int
	told       map[int]Time // when each gateway was told that it takes nothing new
	sends      []Time       // within the window of the cold rule
}

// Told notes that a gateway has been told whether the member takes work.
func (m *Member) Told(gateway int, now Time, takes bool) {
	if _, ok := m.told[gateway]; takes {
		delete(m.told, gateway)
	} else if !ok {
		if m.told == nil {
			m.told = map[int]Time{}
		}
		m.told[gateway] = now
	}
}

// Restart begins another life of the member: what its cold budget was counted by is of the last.
func (m *Member) Restart() { m.sends = nil }

// Note adds to a request's story.
func (r *Referee) Note(now Time, q *Request, text string) {
	if len(q.Trace) < mostTrace {
		q.Trace = append(q.Trace, fmt.Sprintf("%v %s", now-r.Origin, text))
	}
}

// Breaks notes a broken rule.
func (r *Referee) Breaks(now Time, rule string, q *Request) {
	if r.Times[rule]++; r.Times[rule] > 1 {
		return
	}
	b := &Broken{Rule: rule, Seed: r.Seed, At: now - r.Origin}
	if q != nil {
		b.Trace = q.Trace
	}
	r.Broken = append(r.Broken, b)
}

// Err gives the first broken rule, nil where none is.
func (r *Referee) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return r.Broken[0]
}

// Sent checks an attempt against the rules on further ones. So many others of its request are out.
func (r *Referee) Sent(now Time, q *Request, no int, m *Member, out int) {
	if no >= max(1, r.Set.MaxAttempts) {
		r.Breaks(now, TooManyAttempts, q)
	}
	c := r.Set.Classes[q.Class]
	if out > 0 && (!r.Set.Hedging || c.Idempotency == policy.NotIdempotent) {
		r.Breaks(now, TwoAtOnce, q)
	}
	for _, a := range q.mayHave {
		switch apart := c.DedupScope == policy.ScopeZone && a.to.Room != m.Room || c.DedupScope == policy.ScopeCell && a.to.Cell != m.Cell; {
		case c.Idempotency == policy.NotIdempotent:
			r.Breaks(now, UnsafeAgain, q)
		case c.Idempotency == policy.IdempotentByKey && apart:
			r.Breaks(now, OutOfScope, q)
		case c.Idempotency == policy.IdempotentByKey && now-a.at >= c.DedupWindow:
			r.Breaks(now, OutOfWindow, q)
		}
	}
	q.mayHave = append(q.mayHave, attempt{no, m, now})
}

// Never notes that an attempt has been proven never to have run.
func (q *Request) Never(no int) {
	q.mayHave = slices.DeleteFunc(q.mayHave, func(a attempt) bool { return a.no == no })
}

// Ran checks that an unsafe request runs once. What a member turns away has not run.
func (r *Referee) Ran(now Time, q *Request) {
	if r.Set.Classes[q.Class].Idempotency != policy.NotIdempotent {
		return
	}
	if q.ran++; q.ran > 1 {
		r.Breaks(now, UnsafeTwice, q)
	}
}

// Arrived checks what a member is sent against the rules on drains and cold members, by its warmth and by what it can do when
// warm, in requests a second.
func (r *Referee) Arrived(now Time, q *Request, gateway int, m *Member, warmth, capacity float64) {
	if told, ok := m.told[gateway]; ok && now-told > r.Set.DrainGrace+2*r.Way {
		r.Breaks(now, DrainKept, q)
	}
	window, multiple := r.Set.SlowStartWindow, r.Set.SlowStartMultiple
	if warmth >= 1 || window <= 0 || multiple <= 0 {
		return
	}
	m.sends = append(m.sends, now)
	for now-m.sends[0] > window {
		m.sends = m.sends[1:]
	}
	most := multiple * warmth * capacity * window.Seconds()
	if r.PeakCold = max(r.PeakCold, (float64(len(m.sends))-coldSlack)/most*multiple); float64(len(m.sends)) > most+coldSlack {
		r.Breaks(now, ColdBudget, q)
	}
}

// Draws counts what is first sent on of a request against its account's quota, and checks it against the hard ceiling.
func (r *Referee) Draws(now Time, q *Request) {
	if q.drawn {
		return
	}
	q.drawn = true
	p := r.Set.Plans[q.Plan]
	s := r.stores[q.Customer]
	if s == nil {
		s = &store{p.Burst, p.HardLimitBurst, now, q.Plan}
		r.stores[q.Customer] = s
	}
	passed := (now - s.at).Seconds()
	s.quota, s.ceiling, s.at = min(p.Burst, s.quota+passed*p.Rate), min(p.HardLimitBurst, s.ceiling+passed*p.HardLimitRate), now
	if s.quota -= q.Units; p.Rate > 0 && s.quota < 0 {
		s.quota += q.Units
		r.Beyond += q.Price
	}
	if p.HardLimitRate <= 0 {
		return
	}
	s.ceiling -= q.Units
	if r.OverCeiling = max(r.OverCeiling, -s.ceiling); s.ceiling < -p.HardLimitSlack-r.Slack*p.HardLimitRate {
		r.Breaks(now, Ceiling, q)
	}
}

// Holds counts an account's attempts out, against its cap.
func (r *Referee) Holds(q *Request, more int) {
	r.out[q.Customer] += more
	if most := r.Set.Plans[q.Plan].MaxInFlight; most > 0 {
		r.OverCap = max(r.OverCap, r.out[q.Customer]-most)
	}
	if r.out[q.Customer] == 0 {
		delete(r.out, q.Customer)
	}
}

// Out gives an account's attempts out.
func (r *Referee) Out(c policy.CustomerID) int { return r.out[c] }

// Answered checks that a request has one final answer, in time.
func (r *Referee) Answered(now Time, q *Request, how string) {
	r.Note(now, q, "answered: "+how)
	switch {
	case q.Final:
		r.Breaks(now, TwoAnswers, q)
	case now > q.Deadline+2*r.Way && !q.Lost:
		r.Breaks(now, LateAnswer, q)
	}
	q.Final = true
}

// Refused checks that what was refused was proven never to have run, unless a repeat is safe. It comes before Answered.
func (r *Referee) Refused(now Time, q *Request) {
	if r.Set.Classes[q.Class].Idempotency != policy.Idempotent && len(q.mayHave) > 0 {
		r.Breaks(now, RefusedRun, q)
	}
}

// Over checks that what was taken is not left without an answer at a run's end.
func (r *Referee) Over(now Time, open []*Request) {
	slices.SortFunc(open, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	for _, q := range open {
		if !q.Final && !q.Lost {
			r.Breaks(now, NoAnswer, q)
		}
	}
}

// Left gives what is left of an account's quota at a moment; NaN where it has drawn nothing.
func (r *Referee) Left(c policy.CustomerID, now Time) float64 {
	s := r.stores[c]
	if s == nil {
		return math.NaN()
	}
	p := r.Set.Plans[s.plan]
	return min(p.Burst, s.quota+(now-s.at).Seconds()*p.Rate)
}
