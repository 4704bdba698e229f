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

// Scenario holds everything that a run depends on. The same scenario gives the same run.
type Scenario struct {
	Seed         uint64
	Gateways     int
	Members      int
	Spec         MemberSpec
	SlowShare    float64 // share of the members whose cores run at three quarters of the speed
	Load         float64 // rate of first tries, over the capacity of all members when warm
	Accounts     int
	Spread       []int         // number of gateways that serve an account, by its plan; nil: 4
	HotShare     float64       // share of the accounts that send HotFactor times as many requests as others
	HotFactor    int           // 0 means 10
	OneTimeShare float64       // share of the first tries that come from an account that sends nothing else
	Rooms        int           // failure domains; members and gateways are spread over them in turn; 0 means 1
	Length       time.Duration // how long clients send requests; the run continues until all must have an answer

	Link           time.Duration // one-way delay, to members and between gateways
	Loss           float64       // share of the messages between gateways that is lost
	Boot           time.Duration // how long a gateway takes to start
	DetectionDelay time.Duration // until the front knows that a gateway is down
	Discovery      time.Duration // delay until gateways receive a change of the server list
	Settings       policy.Settings

	Faults []Fault

	Cells            int        // deduplication groups; members are spread over them in turn; 0 means 1
	Classes          []ClassUse // the load of each class; nil: the same for all
	Plans            []PlanUse  // the load of each plan; nil: accounts have random plans, and all plans have the same load
	MaxRequestUnits  int        // most units that a request draws; 0 means 4
	Report           Report
	WorkByUnits      bool    // a request's work is proportional to its units; otherwise work and units are independent
	EstimateCV       float64 // coefficient of variation of the estimates of units; 0: the estimates are exact
	Retries          int     // most repeats by a client after a refusal, or after a failure of an idempotent request
	RetryShare       float64 // share of the clients that repeat requests; 0 means all
	HonourRetryAfter float64 // probability that a client waits for as long as a refusal says
	Plain            bool    // use the textbook policy of plain.go, for comparison
}

// Result contains the figures of a run.
type Result struct {
	Offered, InTime   float64   // value of the requests within quotas: all of them, and those served within the target
	Seconds           []float64 // share of the value offered in each second that was served in time
	Tries             int
	Served, Refused   int
	Failed, Lost      int
	Sends             int
	BeyondQuota       float64 // value sent to members beyond the quotas
	Dials             int     // connections opened to members
	PeerDatagrams     int     // datagrams that gateways sent to peers
	PeakDials         int     // most dials of the fleet in a tenth of a second
	PeakPeerDatagrams int
	FullServiceTimes  []time.Duration // time to full service of each gateway that started during the run
	PeakReceived      int             // most datagrams that one gateway received within a second
	Dropped           int             // datagrams dropped because they exceeded a gateway's Settings.PeerMessageRate
	StateBytes        int             // size of the first gateway's exported state at the end, in bytes
	OverCap           int             // most attempts that an account had in flight beyond its cap
	OverHardLimit     float64         // most units that an account was beyond its hard limit; the plan's slack is allowed
	PeakCold          float64         // most requests sent to a cold member in a second, over its capacity at that time
	Digest            string          // hash of all events, in order
}

// Share returns the value served in time over the value offered.
func (r Result) Share() float64 { return r.InTime / max(r.Offered, 1e-9) }

// Check returns an error that names the first invalid field of the scenario, or nil.
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
		return errors.New("spread: must have one entry for each plan of the settings")
	case s.Length <= 0:
		return errors.New("length: must be above 0")
	case s.Classes != nil && len(s.Classes) != len(s.Settings.Classes):
		return errors.New("classes: must have one entry for each class of the settings")
	case s.Plans != nil && len(s.Plans) != len(s.Settings.Plans):
		return errors.New("plans: must have one entry for each plan of the settings")
	case s.MaxRequestUnits < 0 || s.Settings.MaxUnits > 0 && float64(s.MaxRequestUnits) > s.Settings.MaxUnits:
		return errors.New("units: must not be below 0 or above the settings' largest value")
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
	for i, t := range s.Faults {
		if err := t.Check(); err != nil {
			return fmt.Errorf("troubles[%d]: %w", i, err)
		}
	}
	set := s.Settings
	set.Self, set.Gateways = 0, s.Gateways
	return set.Validate()
}

// run is the state of one simulation.
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
	partitionedRoom  int            // room that is cut off from the others; below 0: none
	listsHeldUntil   Time           // server lists are held back until then
	peaks            [2]peakCounter // of dials and datagrams
	messageFaults    []*messageFault
	brokenLinks      []*linkFault
	oneTimeCustomers policy.CustomerID
	estimates        *rand.Rand
	retries          *rand.Rand
}

// peakCounter counts events within a tenth of a second.
type peakCounter struct{ at, n int }

// count counts an event at now, and returns the largest count so far. most is the largest count before it.
func (c *peakCounter) count(now Time, most int) int {
	if at := int(now / (100 * time.Millisecond)); at != c.at {
		c.at, c.n = at, 0
	}
	c.n++
	return max(most, c.n)
}

// partitioned reports whether two rooms are partitioned from each other.
func (r *run) partitioned(a, b int) bool {
	return r.partitionedRoom >= 0 && (a == r.partitionedRoom) != (b == r.partitionedRoom)
}

// Simulate runs a scenario to its end, or to the first broken rule, which it returns as a *Broken.
func Simulate(s Scenario) (Result, error) {
	if err := s.Check(); err != nil {
		return Result{}, err
	}
	r := &run{Scenario: s, engine: NewEngine(s.Seed), requests: map[policy.RequestID]*request{},
		checker: referee.New(s.Settings, s.Seed, Origin), digest: sha256.New(), partitionedRoom: -1}
	r.checker.Way = s.Link
	r.links, r.estimates, r.retries = r.engine.Stream("links"), r.engine.Stream("guesses"), r.engine.Stream("retries")
	slow := r.engine.Stream("members")
	for range s.Members {
		r.addMember(slow)
	}
	for i := range s.Gateways {
		r.gateways = append(r.gateways, &gateway{run: r, index: i, room: i % max(1, s.Rooms)})
	}
	for i, t := range s.Faults {
		if t.Kind == ClockSkew {
			for _, k := range FaultTargets(s.Seed, i, s.Gateways, t.Share) {
				r.gateways[k].clockOffset = time.Duration(cmp.Or(t.Size, 10) * float64(time.Second))
			}
		}
	}
	for _, g := range r.gateways {
		g.boot()
	}
	for i, t := range s.Faults {
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
	r.BeyondQuota, r.OverCap = r.checker.Beyond, r.checker.OverCap
	r.OverHardLimit, r.PeakCold = r.checker.OverCeiling, r.checker.PeakCold
	if gateway, ok := r.gateways[0].balancer.(*policy.Gateway); ok {
		r.StateBytes = len(gateway.ExportState(r.engine.now, 1<<30))
	}
	for i := range r.offered {
		r.Seconds = append(r.Seconds, r.served[i]/max(r.offered[i], 1e-9))
	}
	r.Digest = fmt.Sprintf("%x", r.digest.Sum(nil)[:8])
	return r.Result, r.checker.Err()
}

// addMember adds a warm member. The random stream slow decides whether it runs at the reduced speed.
func (r *run) addMember(slow *rand.Rand) *member {
	spec, i := r.Spec, len(r.members)
	if slow.Float64() < r.SlowShare {
		spec.Speed *= 0.75
	}
	m := &member{engine: r.engine, spec: spec, id: policy.ServerID(i + 1), room: i % max(1, r.Rooms),
		cell: i % max(1, r.Cells), up: true, meanService: spec.Work.Seconds() / spec.Speed,
		rng: r.engine.Stream(fmt.Sprintf("member %d", i))}
	m.checked.Room, m.checked.Cell = m.room, m.cell
	r.members = append(r.members, m)
	r.reportLoads(m)
	return m
}

// record adds an event to the digest.
func (r *run) record(kind byte, who uint64, what uint64) {
	var b [25]byte
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], uint64(r.engine.now))
	binary.BigEndian.PutUint64(b[9:], who)
	binary.BigEndian.PutUint64(b[17:], what)
	r.digest.Write(b[:])
}

// clients generates requests as a Poisson process, each to a random gateway of its account's set.
func (r *run) clients() {
	rng := r.engine.Stream("clients")
	rate := 0.0
	for _, m := range r.members {
		rate += r.Load * m.spec.Capacity()
	}
	type account struct {
		plan, first int
		set         int
		refilledAt  Time
		tokens      float64 // tokens of the quota, if one bucket served all gateways
	}
	accounts := make([]account, r.Accounts)
	begin := func(plan int) account {
		a := account{plan: plan, first: rng.IntN(r.Gateways), set: min(r.Gateways, 4), refilledAt: r.engine.now,
			tokens: r.Settings.Plans[plan].Burst}
		if r.Spread != nil {
			a.set = max(1, min(r.Gateways, r.Spread[plan]))
		}
		return a
	}
	firsts := []int{0} // the first account of each plan, where Scenario.Plans states the load of each
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
	// drawAccount draws one of n accounts. The hot accounts have the lowest indices and send HotFactor times as much.
	drawAccount := func(n int) int {
		hot := int(r.HotShare * float64(n))
		id := rng.IntN(n + (cmp.Or(r.HotFactor, 10)-1)*hot)
		if id >= n {
			id %= hot
		}
		return id
	}
	maxUnits := 4
	if r.MaxRequestUnits > 0 {
		maxUnits = r.MaxRequestUnits
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
			plan := drawByShare(rng, r.Plans, func(p PlanUse) float64 { return p.Share })
			id = firsts[plan] + drawAccount(r.Plans[plan].Accounts)
		}
		a, customer := &accounts[id], policy.CustomerID(id+1)
		if r.OneTimeShare > 0 && rng.Float64() < r.OneTimeShare {
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
			class = drawByShare(rng, r.Classes, func(c ClassUse) float64 { return c.Share })
		}
		c := r.Settings.Classes[class]
		units := 1 + float64(rng.IntN(maxUnits))
		r.lastRequest++
		q := &request{arrivedAt: r.engine.now, actualUnits: units, retriesLeft: r.Retries,
			value: c.Value * plan.ValueMultiplier * units}
		q.Request.Request = policy.Request{ID: r.lastRequest, Class: class, Plan: a.plan, Customer: customer,
			Units: units, SetSize: a.set, FirstGateway: a.first}
		if r.RetryShare > 0 && r.retries.Float64() >= r.RetryShare {
			q.retriesLeft = 0
		}
		if q.original = q; r.EstimateCV > 0 {
			sigma := math.Sqrt(math.Log(1 + r.EstimateCV*r.EstimateCV))
			q.Units = min(max(0.5, units*math.Exp(sigma*r.estimates.NormFloat64()-sigma*sigma/2)), max(r.Settings.MaxUnits, 0.5))
		}
		q.Price, q.Deadline = q.value, r.engine.now+c.Deadline
		r.Tries++
		a.tokens, a.refilledAt = min(plan.Burst, a.tokens+(r.engine.now-a.refilledAt).Seconds()*plan.Rate), r.engine.now
		withinCap := plan.MaxInFlight <= 0 || r.checker.Out(customer) < plan.MaxInFlight
		if withinCap && (plan.Rate <= 0 || a.tokens >= units) {
			a.tokens -= units
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

// route sends a request to the gateway at index at of its account's set or, where the front knows that gateway to be
// down, to the next one of the set that it takes to be up.
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

// knownDown reports whether the front has stopped sending requests to a gateway.
func (r *run) knownDown(g *gateway) bool {
	return !g.up && r.engine.now >= g.downSince+r.DetectionDelay || r.engine.now < g.unroutedUntil
}

// retry lets a client repeat a request after a random backoff. A client that honours wait (Scenario.HonourRetryAfter)
// waits for the longer of the two.
func (r *run) retry(q *request, wait time.Duration) {
	c := r.Settings.Classes[q.Class]
	backoff := time.Duration((0.05 + 0.2*r.retries.Float64()) * float64(time.Second))
	if r.retries.Float64() >= r.HonourRetryAfter {
		wait = 0
	}
	backoff = max(backoff, wait)
	if q.retriesLeft <= 0 || r.engine.now+backoff >= q.original.arrivedAt+c.Deadline {
		return
	}
	r.engine.After(backoff, func() {
		r.lastRequest++
		next := *q
		next.Request = referee.Request{Request: q.Request.Request, Price: q.Price}
		next.ID, next.arrivedAt, next.Deadline = r.lastRequest, r.engine.now, q.original.arrivedAt+c.Deadline
		next.retriesLeft, next.ClientRetry = q.retriesLeft-1, true
		r.Tries++
		r.route(&next, r.retries.IntN(q.SetSize))
	})
}

// workSize returns a request's work over the mean, by its class and, with WorkByUnits, by its units.
func (r *run) workSize(q *request) float64 {
	size := 1.0
	if r.Classes != nil {
		size = r.Classes[q.Class].Work
	}
	if r.WorkByUnits {
		size *= q.actualUnits / (1 + float64(cmp.Or(r.MaxRequestUnits, 4))) * 2
	}
	return size
}

// reportedUnits returns the units that a successful answer states, or 0 where the estimate was exact.
func (q *request) reportedUnits() float64 {
	if q.actualUnits == q.Units {
		return 0
	}
	return q.actualUnits
}

// currentLoad returns a member's present load report, with the fields that the settings name.
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

// reportLoads schedules a member's load reports, with the interval, delay and noise of Scenario.Report.
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

// reportedLoad returns the load report that a member's answers carry.
func (r *run) reportedLoad(m *member) []float32 {
	if r.Report.Every > 0 {
		return m.reportedLoad
	}
	return r.currentLoad(m)
}

// addToSecond adds a request's value to the second in which it arrived; a nil request only extends the
// list to the present second.
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
