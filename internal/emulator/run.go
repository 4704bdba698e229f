package emulator

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"time"

	"sprucelane.example/sprucelane/internal/lab/referee"
	"sprucelane.example/sprucelane/policy"
)

// Scenario is a whole run's plan. All that happens follows from it.
type Scenario struct {
	Seed     uint64
	Gateways int
	Members  int
	Spec     MemberSpec
	SlowPart float64 // share of the members whose cores run at three quarters of the speed
	Load     float64 // first tries, of what all members can do
	Accounts int
	Spread   []int         // gateways of an account's set, by its plan; nil: four
	Hot      float64       // share of the accounts that ask HotX times as much as others
	HotX     int           // 0: ten
	Once     float64       // share of the first tries that are of an account that comes once
	Rooms    int           // that members and gateways stand in by turns; 0: one
	Length   time.Duration // clients ask for so long; the run goes on until all is answered

	Link      time.Duration // one way, to members and between gateways
	Loss      float64       // of messages between gateways
	Boot      time.Duration // that a gateway takes to start
	Notice    time.Duration // after which the front knows that a gateway is dead
	Discovery time.Duration // until a change of the list is told
	Settings  policy.Settings

	Troubles []Trouble

	Cells   int        // that members stand in by turns; 0: one
	Classes []ClassUse // how much each is asked for; nil: all alike
	Plans   []PlanUse  // how much the accounts of each ask; nil: accounts are of a plan by lot, and ask alike
	Units   int        // most of a request; 0: four
	Report  Report
	BySize  bool    // a request's work grows with its units; else it is all chance
	GuessCV float64 // spread of what requests say they draw round what they do; 0: they know
	Retries int     // times that a client comes again after a refusal, or a failure of what is safe
	Comes   float64 // share of the clients that do; 0: all
	Honour  float64 // share of the clients that heed what refusals name
	Plain   bool    // the plain policy decides, not the module
}

// Result is what a run came to.
type Result struct {
	Offered, InTime float64   // worth
	Seconds         []float64 // share of the worth offered in each second that was served in time
	Tries           int
	Served, Refused int
	Failed, Lost    int
	Sends           int
	Beyond          float64 // worth sent on beyond the quotas
	Dials           int     // connections opened to members
	Told            int     // datagrams that gateways sent each other
	PeakDials       int     // most of them, over the fleet, in a tenth of a second
	PeakTold        int
	Took            []time.Duration // that gateways which started during the run took to full service, from their processes' start
	MostHeard       int             // most that one gateway was told within a second
	Dropped         int             // datagrams beyond a gateway's intake
	State           int             // bytes of the first gateway's state at the end
	OverCap         int             // most attempts that an account had out beyond its cap
	OverCeiling     float64         // most that an account was beyond its hard ceiling, in units; the rule has the plan's slack
	PeakCold        float64         // most that a cold member was sent in a second, over what it could do
	Digest          string          // of all that happened, in order
}

// Share is the worth served in time over that offered.
func (r Result) Share() float64 { return r.InTime / max(r.Offered, 1e-9) }

// Check tells what is wrong with a scenario, by key.
func (s Scenario) Check() error {
	switch {
	case s.Gateways < 1:
		return errors.New("gateways: must be 1 or more")
	case s.Members < 1:
		return errors.New("members: must be 1 or more")
	case s.Spec.Cores < 1 || !(s.Spec.Speed > 0) || s.Spec.Work <= 0:
		return errors.New("spec: cores, speed and work must be above 0")
	case !(s.Load > 0):
		return errors.New("load: must be above 0")
	case s.Accounts < 1:
		return errors.New("accounts: must be 1 or more")
	case s.Spread != nil && len(s.Spread) != len(s.Settings.Plans):
		return errors.New("spread: one for each plan")
	case s.Length <= 0:
		return errors.New("length: must be above 0")
	case s.Classes != nil && len(s.Classes) != len(s.Settings.Classes):
		return errors.New("classes: one for each of the settings'")
	case s.Plans != nil && len(s.Plans) != len(s.Settings.Plans):
		return errors.New("plans: one for each of the settings'")
	case s.Units < 0 || s.Settings.MaxUnits > 0 && float64(s.Units) > s.Settings.MaxUnits:
		return errors.New("units: must not be below 0 nor above the settings' largest")
	}
	for i, c := range s.Classes {
		if !(c.Share >= 0) || !(c.Work > 0) {
			return fmt.Errorf("classes[%d]: share must not be below 0, work must be above 0", i)
		}
	}
	for i, p := range s.Plans {
		if !(p.Share >= 0) || p.Accounts < 1 {
			return fmt.Errorf("plans[%d]: share must not be below 0, accounts must be 1 or more", i)
		}
	}
	for i, t := range s.Troubles {
		if err := t.Check(); err != nil {
			return fmt.Errorf("troubles[%d]: %w", i, err)
		}
	}
	set := s.Settings
	set.Self, set.Gateways = 0, s.Gateways
	return set.Validate()
}

type run struct {
	Scenario
	Result
	e        *Engine
	members  []*member
	gateways []*gateway
	all      map[policy.RequestID]*request
	served   []float64 // by second
	offered  []float64
	last     policy.RequestID
	referee  *referee.Referee
	digest   hash.Hash
	links    *rand.Rand
	cut      int        // the room that is cut off; below 0: none
	lateTo   Time       // lists are held back until then
	tenth    [2]counted // of dials and datagrams
	unheard  []*mute
	severed  []*severed
	once     policy.CustomerID
	guesses  *rand.Rand
	retries  *rand.Rand
}

// counted counts what happens in a tenth of a second.
type counted struct{ at, n int }

// count adds one, and gives the most that a tenth has had.
func (c *counted) count(now Time, most int) int {
	if at := int(now / (100 * time.Millisecond)); at != c.at {
		c.at, c.n = at, 0
	}
	c.n++
	return max(most, c.n)
}

// apart tells whether two rooms are cut off from each other.
func (r *run) apart(a, b int) bool { return r.cut >= 0 && (a == r.cut) != (b == r.cut) }

// Play plays a scenario to its end, or to the first broken rule.
func Play(s Scenario) (Result, error) {
	if err := s.Check(); err != nil {
		return Result{}, err
	}
	r := &run{Scenario: s, e: NewEngine(s.Seed), all: map[policy.RequestID]*request{},
		referee: referee.New(s.Settings, s.Seed, Origin), digest: sha256.New(), cut: -1}
	r.referee.Way = s.Link
	r.links, r.guesses, r.retries = r.e.Stream("links"), r.e.Stream("guesses"), r.e.Stream("retries")
	slow := r.e.Stream("members")
	for range s.Members {
		r.add(slow)
	}
	for i := range s.Gateways {
		r.gateways = append(r.gateways, &gateway{r: r, me: i, room: i % max(1, s.Rooms)})
	}
	for i, t := range s.Troubles {
		if t.Kind == Clock {
			for _, k := range Struck(s.Seed, i, s.Gateways, t.Part) {
				r.gateways[k].ahead = time.Duration(cmp.Or(t.Size, 10) * float64(time.Second))
			}
		}
	}
	for _, g := range r.gateways {
		g.boot()
	}
	for i, t := range s.Troubles {
		r.e.After(t.At, func() { r.begin(t, r.e.Stream(fmt.Sprintf("trouble %d", i))) })
	}
	r.clients()
	longest := time.Duration(0)
	for _, c := range s.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	for end := Origin + s.Length + longest + time.Second; r.e.now < end && r.referee.Err() == nil; {
		r.e.Run(min(r.e.now+time.Second, end))
	}
	if r.referee.Err() == nil {
		r.over()
	}
	r.Beyond, r.OverCap, r.OverCeiling, r.PeakCold = r.referee.Beyond, r.referee.OverCap, r.referee.OverCeiling, r.referee.PeakCold
	if gateway, ok := r.gateways[0].mod.(*policy.Gateway); ok {
		r.State = len(gateway.ExportState(r.e.now, 1<<30))
	}
	for i := range r.offered {
		r.Seconds = append(r.Seconds, r.served[i]/max(r.offered[i], 1e-9))
	}
	r.Digest = fmt.Sprintf("%x", r.digest.Sum(nil)[:8])
	return r.Result, r.referee.Err()
}

// add lets one more member begin, long ago as far as anybody knows.
func (r *run) add(slow *rand.Rand) *member {
	spec, i := r.Spec, len(r.members)
	if slow.Float64() < r.SlowPart {
		spec.Speed *= 0.75
	}
	m := &member{e: r.e, spec: spec, id: policy.ServerID(i + 1), room: i % max(1, r.Rooms), cell: i % max(1, r.Cells), up: true, recent: spec.Work.Seconds() / spec.Speed,
		rng: r.e.Stream(fmt.Sprintf("member %d", i))}
	m.seen.Room, m.seen.Cell = m.room, m.cell
	r.members = append(r.members, m)
	r.reports(m)
	return m
}

// mark puts what happened into the digest.
func (r *run) mark(kind byte, who uint64, what uint64) {
	var b [25]byte
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], uint64(r.e.now))
	binary.BigEndian.PutUint64(b[9:], who)
	binary.BigEndian.PutUint64(b[17:], what)
	r.digest.Write(b[:])
}

// clients lets first tries come as a Poisson process, each to a gateway of its account's set.
func (r *run) clients() {
	rng := r.e.Stream("clients")
	rate := 0.0
	for _, m := range r.members {
		rate += r.Load * m.spec.Capacity()
	}
	type account struct {
		plan, first int
		set         int
		at          Time
		store       float64
	}
	accounts := make([]account, r.Accounts)
	begin := func(plan int) account {
		a := account{plan: plan, first: rng.IntN(r.Gateways), set: min(r.Gateways, 4), at: r.e.now, store: r.Settings.Plans[plan].Burst}
		if r.Spread != nil {
			a.set = max(1, min(r.Gateways, r.Spread[plan]))
		}
		return a
	}
	firsts := []int{0} // the first account of each plan, where plans are asked for by share
	for i := range accounts {
		plan := len(firsts) - 1
		if r.Plans == nil {
			plan = rng.IntN(len(r.Settings.Plans))
		} else if i >= firsts[plan]+r.Plans[plan].Accounts {
			firsts = append(firsts, i)
			plan++
		}
		accounts[i] = begin(plan)
	}
	// who draws an account, of some in a row of which the hot ones ask ten times as much.
	who := func(n int) int {
		hot := int(r.Hot * float64(n))
		id := rng.IntN(n + (cmp.Or(r.HotX, 10)-1)*hot)
		if id >= n {
			id %= hot
		}
		return id
	}
	most := 4
	if r.Units > 0 {
		most = r.Units
	}
	var next func()
	next = func() {
		if r.e.now >= Origin+r.Length {
			return
		}
		r.e.After(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		var id int
		if r.Plans == nil {
			id = who(len(accounts))
		} else {
			plan := byShare(rng, r.Plans, func(p PlanUse) float64 { return p.Share })
			id = firsts[plan] + who(r.Plans[plan].Accounts)
		}
		a, customer := &accounts[id], policy.CustomerID(id+1)
		if r.Once > 0 && rng.Float64() < r.Once {
			r.once++
			customer = policy.CustomerID(len(accounts)) + r.once
			once := begin(a.plan)
			a = &once
		}
		plan := r.Settings.Plans[a.plan]
		var class int
		if r.Classes == nil {
			class = rng.IntN(len(r.Settings.Classes))
		} else {
			class = byShare(rng, r.Classes, func(c ClassUse) float64 { return c.Share })
		}
		c := r.Settings.Classes[class]
		units := 1 + float64(rng.IntN(most))
		r.last++
		q := &request{at: r.e.now, true: units, again: r.Retries, worth: c.Value * plan.ValueMultiplier * units}
		q.Request.Request = policy.Request{ID: r.last, Class: class, Plan: a.plan, Customer: customer, Units: units, SetSize: a.set, FirstGateway: a.first}
		if r.Comes > 0 && r.retries.Float64() >= r.Comes {
			q.again = 0
		}
		if q.first = q; r.GuessCV > 0 {
			sigma := math.Sqrt(math.Log(1 + r.GuessCV*r.GuessCV))
			q.Units = min(max(0.5, units*math.Exp(sigma*r.guesses.NormFloat64()-sigma*sigma/2)), max(r.Settings.MaxUnits, 0.5))
		}
		q.Price, q.Deadline = q.worth, r.e.now+c.Deadline
		r.Tries++
		a.store, a.at = min(plan.Burst, a.store+(r.e.now-a.at).Seconds()*plan.Rate), r.e.now
		if inside := (plan.Rate <= 0 || a.store >= units) && (plan.MaxInFlight <= 0 || r.referee.Out(customer) < plan.MaxInFlight); inside {
			a.store -= units
			r.Offered += q.worth
			r.second(&r.offered, q)
			r.second(&r.served, nil)
		} else {
			q.worth = 0
		}
		r.enter(q, rng.IntN(a.set))
	}
	r.e.After(0, next)
}

// enter brings a request to one of its account's gateways; the front knows which are down.
func (r *run) enter(q *request, at int) {
	door := (q.FirstGateway + at) % r.Gateways
	for k := 0; k < q.SetSize && r.knownDown(r.gateways[door]); k++ {
		door = (q.FirstGateway + (door-q.FirstGateway+1+r.Gateways)%q.SetSize) % r.Gateways
	}
	if !r.gateways[door].up {
		q.Lost = true
		r.Lost++
		if r.effect(q) == policy.Idempotent {
			r.comesAgain(q, 0)
		}
		return
	}
	r.all[q.ID] = q
	r.gateways[door].ask(q)
}

// knownDown tells whether the front sends nothing to a gateway.
func (r *run) knownDown(g *gateway) bool {
	return !g.up && r.e.now >= g.down+r.Notice || r.e.now < g.shutTo
}

// comesAgain lets a client come again after a while, with a request of its own that belongs to its first one.
func (r *run) comesAgain(q *request, wait time.Duration) {
	c := r.Settings.Classes[q.Class]
	back := time.Duration((0.05 + 0.2*r.retries.Float64()) * float64(time.Second))
	if r.retries.Float64() >= r.Honour {
		wait = 0
	}
	back = max(back, wait)
	if q.again <= 0 || r.e.now+back >= q.first.at+c.Deadline {
		return
	}
	r.e.After(back, func() {
		r.last++
		next := *q
		next.Request = referee.Request{Request: q.Request.Request, Price: q.Price}
		next.ID, next.at, next.again, next.Deadline, next.ClientRetry = r.last, r.e.now, q.again-1, q.first.at+c.Deadline, true
		r.Tries++
		r.enter(&next, r.retries.IntN(q.SetSize))
	})
}

// size gives a request's work over the mean, by its class and where they matter by its units, which are drawn evenly.
func (r *run) size(q *request) float64 {
	size := 1.0
	if r.Classes != nil {
		size = r.Classes[q.Class].Work
	}
	if r.BySize {
		size *= q.true / (1 + float64(cmp.Or(r.Units, 4))) * 2
	}
	return size
}

// told gives what a good answer says that a request drew, 0 where that was known before.
func (q *request) told() float64 {
	if q.true == q.Units {
		return 0
	}
	return q.true
}

// report gives a member's load report, as the settings want it.
func (r *run) report(m *member) []float32 {
	if len(r.Settings.LoadReportFields) == 0 {
		return nil
	}
	list := make([]float32, len(r.Settings.LoadReportFields))
	for i, name := range r.Settings.LoadReportFields {
		switch name {
		case "inflight":
			list[i] = float32(m.busy + len(m.queue))
		case "queue":
			list[i] = float32(len(m.queue))
		case "latency_ms":
			list[i] = float32(1000 * m.recent)
		}
	}
	return list
}

// reports lets a member show its load now and then, late and with some noise.
func (r *run) reports(m *member) {
	if r.Report.Every <= 0 || len(r.Settings.LoadReportFields) == 0 {
		return
	}
	rng := r.e.Stream(fmt.Sprintf("report %d", m.id))
	var next func()
	next = func() {
		shown := r.report(m)
		for i := range shown {
			shown[i] *= float32(math.Exp(r.Report.Noise * rng.NormFloat64()))
		}
		r.e.After(r.Report.Delay, func() { m.shown = shown })
		r.e.After(r.Report.Every, next)
	}
	r.e.After(time.Duration(rng.Float64()*float64(r.Report.Every)), next)
}

// shows gives what a member's answer says of its load.
func (r *run) shows(m *member) []float32 {
	if r.Report.Every > 0 {
		return m.shown
	}
	return r.report(m)
}

// second adds a request's worth to the second that it was asked in.
func (r *run) second(to *[]float64, q *request) {
	at := int((r.e.now - Origin) / time.Second)
	if q != nil {
		at = int((q.at - Origin) / time.Second)
	}
	for len(*to) <= at {
		*to = append(*to, 0)
	}
	if q != nil {
		(*to)[at] += q.worth
	}
}
