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
	engine           *Engine
	members          []*member
	gateways         []*gateway
	requests         map[policy.RequestID]*request
	served           []float64 // by second
	offered          []float64
	lastRequest      policy.RequestID
	checker          *referee.Referee
	digest           hash.Hash
	links            *rand.Rand
	partitionedRoom  int            // the room that is cut off; below 0: none
	listsHeldUntil   Time           // lists are held back until then
	peaks            [2]peakCounter // of dials and datagrams
	messageFaults    []*messageFault
	brokenLinks      []*linkFault
	oneTimeCustomers policy.CustomerID
	guesses          *rand.Rand
	retries          *rand.Rand
}

// counted counts what happens in a tenth of a second.
type peakCounter struct{ at, n int }

// count adds one, and gives the most that a tenth has had.
func (c *peakCounter) count(now Time, most int) int {
	if at := int(now / (100 * time.Millisecond)); at != c.at {
		c.at, c.n = at, 0
	}
	c.n++
	return max(most, c.n)
}

// apart tells whether two rooms are cut off from each other.
func (r *run) partitioned(a, b int) bool {
	return r.partitionedRoom >= 0 && (a == r.partitionedRoom) != (b == r.partitionedRoom)
}

// Play plays a scenario to its end, or to the first broken rule.
func Play(s Scenario) (Result, error) {
	if err := s.Check(); err != nil {
		return Result{}, err
	}
	r := &run{Scenario: s, engine: NewEngine(s.Seed), requests: map[policy.RequestID]*request{},
		checker: referee.New(s.Settings, s.Seed, Origin), digest: sha256.New(), partitionedRoom: -1}
	r.checker.Way = s.Link
	r.links, r.guesses, r.retries = r.engine.Stream("links"), r.engine.Stream("guesses"), r.engine.Stream("retries")
	slow := r.engine.Stream("members")
	for range s.Members {
		r.addMember(slow)
	}
	for i := range s.Gateways {
		r.gateways = append(r.gateways, &gateway{run: r, index: i, room: i % max(1, s.Rooms)})
	}
	for i, t := range s.Troubles {
		if t.Kind == Clock {
			for _, k := range Struck(s.Seed, i, s.Gateways, t.Part) {
				r.gateways[k].clockOffset = time.Duration(cmp.Or(t.Size, 10) * float64(time.Second))
			}
		}
	}
	for _, g := range r.gateways {
		g.boot()
	}
	for i, t := range s.Troubles {
		r.engine.After(t.At, func() { r.beginFault(t, r.engine.Stream(fmt.Sprintf("trouble %d", i))) })
	}
	r.clients()
	longest := time.Duration(0)
	for _, c := range s.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	for end := Origin + s.Length + longest + time.Second; r.engine.now < end && r.checker.Err() == nil; {
		r.engine.Run(min(r.engine.now+time.Second, end))
	}
	if r.checker.Err() == nil {
		r.checkEnd()
	}
	r.Beyond, r.OverCap, r.OverCeiling, r.PeakCold = r.checker.Beyond, r.checker.OverCap, r.checker.OverCeiling, r.checker.PeakCold
	if gateway, ok := r.gateways[0].balancer.(*policy.Gateway); ok {
		r.State = len(gateway.ExportState(r.engine.now, 1<<30))
	}
	for i := range r.offered {
		r.Seconds = append(r.Seconds, r.served[i]/max(r.offered[i], 1e-9))
	}
	r.Digest = fmt.Sprintf("%x", r.digest.Sum(nil)[:8])
	return r.Result, r.checker.Err()
}

// add lets one more member begin, long ago as far as anybody knows.
func (r *run) addMember(slow *rand.Rand) *member {
	spec, i := r.Spec, len(r.members)
	if slow.Float64() < r.SlowPart {
		spec.Speed *= 0.75
	}
	m := &member{engine: r.engine, spec: spec, id: policy.ServerID(i + 1), room: i % max(1, r.Rooms), cell: i % max(1, r.Cells), up: true, meanService: spec.Work.Seconds() / spec.Speed,
		rng: r.engine.Stream(fmt.Sprintf("member %d", i))}
	m.checked.Room, m.checked.Cell = m.room, m.cell
	r.members = append(r.members, m)
	r.reportLoads(m)
	return m
}

// mark puts what happened into the digest.
func (r *run) record(kind byte, who uint64, what uint64) {
	var b [25]byte
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], uint64(r.engine.now))
	binary.BigEndian.PutUint64(b[9:], who)
	binary.BigEndian.PutUint64(b[17:], what)
	r.digest.Write(b[:])
}

// clients lets first tries come as a Poisson process, each to a gateway of its account's set.
func (r *run) clients() {
	rng := r.engine.Stream("clients")
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
		a := account{plan: plan, first: rng.IntN(r.Gateways), set: min(r.Gateways, 4), at: r.engine.now, store: r.Settings.Plans[plan].Burst}
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
	drawAccount := func(n int) int {
		hot := int(r.Hot * float64(n))
		id := rng.IntN(n + (cmp.Or(r.HotX, 10)-1)*hot)
		if id >= n {
			id %= hot
		}
		return id
	}
	maxUnits := 4
	if r.Units > 0 {
		maxUnits = r.Units
	}
	var next func()
	next = func() {
		if r.engine.now >= Origin+r.Length {
			return
		}
		r.engine.After(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		var id int
		if r.Plans == nil {
			id = drawAccount(len(accounts))
		} else {
			plan := byShare(rng, r.Plans, func(p PlanUse) float64 { return p.Share })
			id = firsts[plan] + drawAccount(r.Plans[plan].Accounts)
		}
		a, customer := &accounts[id], policy.CustomerID(id+1)
		if r.Once > 0 && rng.Float64() < r.Once {
			r.oneTimeCustomers++
			customer = policy.CustomerID(len(accounts)) + r.oneTimeCustomers
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
		units := 1 + float64(rng.IntN(maxUnits))
		r.lastRequest++
		q := &request{arrivedAt: r.engine.now, actualUnits: units, retriesLeft: r.Retries, value: c.Value * plan.ValueMultiplier * units}
		q.Request.Request = policy.Request{ID: r.lastRequest, Class: class, Plan: a.plan, Customer: customer, Units: units, SetSize: a.set, FirstGateway: a.first}
		if r.Comes > 0 && r.retries.Float64() >= r.Comes {
			q.retriesLeft = 0
		}
		if q.first = q; r.GuessCV > 0 {
			sigma := math.Sqrt(math.Log(1 + r.GuessCV*r.GuessCV))
			q.Units = min(max(0.5, units*math.Exp(sigma*r.guesses.NormFloat64()-sigma*sigma/2)), max(r.Settings.MaxUnits, 0.5))
		}
		q.Price, q.Deadline = q.value, r.engine.now+c.Deadline
		r.Tries++
		a.store, a.at = min(plan.Burst, a.store+(r.engine.now-a.at).Seconds()*plan.Rate), r.engine.now
		if withinQuota := (plan.Rate <= 0 || a.store >= units) && (plan.MaxInFlight <= 0 || r.checker.Out(customer) < plan.MaxInFlight); withinQuota {
			a.store -= units
			r.Offered += q.value
			r.addToSecond(&r.offered, q)
			r.addToSecond(&r.served, nil)
		} else {
			q.value = 0
		}
		r.route(q, rng.IntN(a.set))
	}
	r.engine.After(0, next)
}

// enter brings a request to one of its account's gateways; the front knows which are down.
func (r *run) route(q *request, at int) {
	index := (q.FirstGateway + at) % r.Gateways
	for k := 0; k < q.SetSize && r.knownDown(r.gateways[index]); k++ {
		index = (q.FirstGateway + (index-q.FirstGateway+1+r.Gateways)%q.SetSize) % r.Gateways
	}
	if !r.gateways[index].up {
		q.Lost = true
		r.Lost++
		if r.idempotency(q) == policy.Idempotent {
			r.retry(q, 0)
		}
		return
	}
	r.requests[q.ID] = q
	r.gateways[index].receiveRequest(q)
}

// knownDown tells whether the front sends nothing to a gateway.
func (r *run) knownDown(g *gateway) bool {
	return !g.up && r.engine.now >= g.downSince+r.Notice || r.engine.now < g.unroutedUntil
}

// comesAgain lets a client come again after a while, with a request of its own that belongs to its first one.
func (r *run) retry(q *request, wait time.Duration) {
	c := r.Settings.Classes[q.Class]
	backoff := time.Duration((0.05 + 0.2*r.retries.Float64()) * float64(time.Second))
	if r.retries.Float64() >= r.Honour {
		wait = 0
	}
	backoff = max(backoff, wait)
	if q.retriesLeft <= 0 || r.engine.now+backoff >= q.first.arrivedAt+c.Deadline {
		return
	}
	r.engine.After(backoff, func() {
		r.lastRequest++
		next := *q
		next.Request = referee.Request{Request: q.Request.Request, Price: q.Price}
		next.ID, next.arrivedAt, next.retriesLeft, next.Deadline, next.ClientRetry = r.lastRequest, r.engine.now, q.retriesLeft-1, q.first.arrivedAt+c.Deadline, true
		r.Tries++
		r.route(&next, r.retries.IntN(q.SetSize))
	})
}

// size gives a request's work over the mean, by its class and where they matter by its units, which are drawn evenly.
func (r *run) workSize(q *request) float64 {
	size := 1.0
	if r.Classes != nil {
		size = r.Classes[q.Class].Work
	}
	if r.BySize {
		size *= q.actualUnits / (1 + float64(cmp.Or(r.Units, 4))) * 2
	}
	return size
}

// told gives what a good answer says that a request drew, 0 where that was known before.
func (q *request) reportedUnits() float64 {
	if q.actualUnits == q.Units {
		return 0
	}
	return q.actualUnits
}

// report gives a member's load report, as the settings want it.
func (r *run) currentLoad(m *member) []float32 {
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
			list[i] = float32(1000 * m.meanService)
		}
	}
	return list
}

// reports lets a member show its load now and then, late and with some noise.
func (r *run) reportLoads(m *member) {
	if r.Report.Every <= 0 || len(r.Settings.LoadReportFields) == 0 {
		return
	}
	rng := r.engine.Stream(fmt.Sprintf("report %d", m.id))
	var next func()
	next = func() {
		shown := r.currentLoad(m)
		for i := range shown {
			shown[i] *= float32(math.Exp(r.Report.Noise * rng.NormFloat64()))
		}
		r.engine.After(r.Report.Delay, func() { m.reportedLoad = shown })
		r.engine.After(r.Report.Every, next)
	}
	r.engine.After(time.Duration(rng.Float64()*float64(r.Report.Every)), next)
}

// shows gives what a member's answer says of its load.
func (r *run) reportedLoad(m *member) []float32 {
	if r.Report.Every > 0 {
		return m.reportedLoad
	}
	return r.currentLoad(m)
}

// second adds a request's worth to the second that it was asked in.
func (r *run) addToSecond(to *[]float64, q *request) {
	at := int((r.engine.now - Origin) / time.Second)
	if q != nil {
		at = int((q.arrivedAt - Origin) / time.Second)
	}
	for len(*to) <= at {
		*to = append(*to, 0)
	}
	if q != nil {
		(*to)[at] += q.value
	}
}
