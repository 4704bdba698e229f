// Package storm decides what a gateway makes of an outage and of the storm of retries that follows: whether there is
// one, how much is let in while the members come back, which tries come first, and when those that are refused are to
// come back. It does no input or output and knows no clock: time is an argument. It must never choose a member, judge a
// quota or hold an answer back; what it refuses is refused at once.
//
// A guard belongs to one gateway. It is handed every arrival, every end of an attempt and of a request, and a tick four
// times a second. In calm it lets all pass and only Counts.
package storm

import (
	"math"
	"math/rand/v2"
	"time"
)

// Time is a reading of the gateway's clock, from an origin that never moves.
type Time = time.Duration

// Phase is what a guard takes the state of the members to be.
type Phase uint8

// The phases.
const (
	Calm     Phase = iota
	Outage         // next to nothing is served
	Recovery       // members answer again, and more is asked than they can do
)

var phaseNames = [...]string{"calm", "outage", "recovery"}

func (p Phase) String() string { return phaseNames[p] }

// Class is what a guard needs to know of a class of requests.
type Class struct {
	LatencyTarget time.Duration
	Value         float64
	NonIdempotent bool
}

// Options are a guard's settings. Each zero value stands for its default.
type Options struct {
	Self, Gateways int
	Seed           uint64
	Classes        []Class
	Prices         []float64 // of each plan

	RetryRatio     float64       // retries let in for each first try, while there is a storm
	MaxRetryAfter  time.Duration // longest wait that a refusal may name: the clients' own limit
	ConnectionRate float64       // new connections a second that are taken in a storm; 0: all
}

// The constants of the guard. Rates are a second.
const (
	TickInterval          = 250 * time.Millisecond
	window                = time.Second
	baselineHalfLife      = 30 * time.Second // half-life of what is usual, learnt in calm only
	baselineMinCalm       = 3 * time.Second  // calm that must have passed before anything Counts as usual
	outageSuccessRatio    = 0.1              // of the attempts that end well, at most, in an outage
	outageMinFailures     = 8.0              // attempts that must have ended badly
	outageTicks           = 3                // for so many ticks
	recoverySuccessRatio  = 0.3              // of the attempts that end well, at least, when it is over
	recoveryMinSuccesses  = 2.0              // and so many of them; or so many in a row, however long they take
	stormLoadFactor       = 1.3              // arrivals over the usual
	stormRetryRatio       = 0.3              // share of repeats
	connectionSurgeFactor = 3.0              // connections over the usual
	connectionSurgeMin    = 20.0             // and so many more
	stormFailureRatio     = 0.3              // share of attempts that end badly, or late
	stormTicks            = 4                // for so many ticks
	outageProbeRatio      = 0.1              // of the usual rate that is let in during an outage, to see its end
	minRate               = 1.0
	rampStartRatio        = 0.9  // of what the members can do by their warmth, when the ramp begins
	rampMaxRatio          = 1.6  // of the usual rate, times the members' warmth, that the ramp rises to
	rampIncreaseFactor    = 1.06 // of the ramp, each tick that has refused and seen no harm
	rampIncreaseStep      = 0.25
	provenRatio           = 0.9  // of what is answered in time that Counts as known to be possible
	rampDecreaseFactor    = 0.75 // of the ramp, where too much ends badly
	rampFailureRatio      = 0.25 // which is this share of the attempts
	rampDecreaseInterval  = 500 * time.Millisecond
	burstSeconds          = 0.5              // seconds of the ramp that may come at once
	calmTicks             = 12               // of a ramp that binds nobody, until it is calm
	calmRetryRatio        = 0.15             // of which so many are repeats at most
	calmRejectedRatio     = 0.1              // and so many held back
	peerTTL               = 4 * TickInterval // word of a peer
	failureTTL            = 8 * time.Second
	maxFailedKeys         = 4096
	maxMarkingAccounts    = 16384
	idleRatio             = 0.9 // of what may come at once: with so much left, capacity stands idle
	minRetryAfter         = 250 * time.Millisecond
	outageMinRetryAfter   = time.Second // least wait that is named in an outage
	maxRetryAfter         = 30 * time.Second
	slotsPerSecond        = 4
	slotCount             = int(maxRetryAfter/time.Second) * slotsPerSecond
	pauseThreshold        = 4 * TickInterval // between two ticks: the clock, or this process, stood still
	retryReserve          = 0.45             // share of what may come at once that retries leave to first tries
	valueReserve          = 0.3              // and that the cheapest leave to the dearest
	nonIdempotentReserve  = 0.1
)

// Arrival is one try of a client.
type Arrival struct {
	Account     uint64
	Class, Plan int
	Units       float64
	MarkedRetry bool // by the client, as a retry
}

// key names the work that a try is for. A client's next try comes under another id, perhaps to another gateway.
func (a Arrival) key() uint64 {
	x := a.Account*0x9e3779b97f4a7c15 ^ uint64(a.Class)<<32 ^ math.Float64bits(a.Units)
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// Verdict is what is to become of an arrival.
type Decision struct {
	Admit      bool
	Retry      bool          // taken for one
	RetryAfter time.Duration // where it is refused: when to come back
}

// End tells how an attempt at a member ended.
type Outcome uint8

// The ends of an attempt.
const (
	InTime Outcome = iota
	Late           // answered after the class's aim
	Failed         // not answered: no connection, a reset, an error, a time-out, turned away
)

// Counts are what came to pass in a stretch of time.
type Counts struct {
	FirstAttempts, Retries float64 // tries that came
	Admitted, Rejected     float64 // let in, refused here
	InTime                 float64 // attempts by how they ended
	Late, Failed           float64
	Connections            float64
}

func (c *Counts) add(o Counts) {
	c.FirstAttempts, c.Retries, c.Admitted, c.Rejected = c.FirstAttempts+o.FirstAttempts, c.Retries+o.Retries, c.Admitted+o.Admitted, c.Rejected+o.Rejected
	c.InTime, c.Late, c.Failed, c.Connections = c.InTime+o.InTime, c.Late+o.Late, c.Failed+o.Failed, c.Connections+o.Connections
}

func (c Counts) arrivals() float64 { return c.FirstAttempts + c.Retries }
func (c Counts) failureRatio() float64 {
	return (c.Late + c.Failed) / math.Max(c.InTime+c.Late+c.Failed, 1)
}

// Members is what is seen of the members at a tick.
type Members struct {
	Listed  int
	Warmth  float64 // mean share of its capacity that a listed one has, 0 to 1
	Overdue int     // attempts out that take far longer than is typical
}

// Figures are what a guard Counts, for the log and the counters.
type Stats struct {
	Phase                             Phase
	Confidence                        float64
	Limit, Baseline                   float64
	Recent                            Counts // in the last second
	Storms                            uint64 // times that it left calm
	Rejected, RejectedRetries         uint64
	Retries, RejectedConnections      uint64 // taken for repeats; connections closed
	MessagesReceived, MessagesDropped uint64 // peers' messages
	RampDecreases                     uint64 // times that the ramp fell
}

// Guard is one gateway's. It is not safe for concurrent use.
type Guard struct {
	opt                 Options
	rng                 *rand.Rand
	maxValue            float64
	phase               Phase
	confidence          float64
	startedAt           Time
	lastTickAt          Time
	phaseSince          Time // when the phase began
	current             Counts
	history             [int(window / TickInterval)]Counts
	historyIndex        int
	baselineArrivals    float64 // arrivals a second in calm
	baselineServed      float64 // answers in time a second in calm
	baselineConnections float64 // connections a second in calm
	baselineTime        Time    // how long calm has taught what is usual
	members             Members
	streaks             [3]int  // ticks that pointed to outage, storm and calm
	successStreak       float64 // attempts in a row that ended in time
	limit               float64
	lastDecreaseAt      Time
	tokens              float64
	retryTokens         float64 // that the budget allows now
	refilledAt          Time
	connectionTokens    float64
	failedWork          map[uint64]*failure
	failedOrder         []uint64        // keys of failed, oldest first
	markingAccounts     map[uint64]bool // accounts whose clients mark their retries
	scheduled           [slotCount]float64
	firstSlot           int64 // the slot that the ring begins with
	peers               []peer
	seq                 uint8
	stats               Stats
}

type failure struct {
	count     int
	expiresAt Time
}

// New gives a guard that knows nothing yet.
func New(opt Options) *Guard {
	if opt.RetryRatio <= 0 {
		opt.RetryRatio = 0.2
	}
	if opt.MaxRetryAfter <= 0 || opt.MaxRetryAfter > maxRetryAfter {
		opt.MaxRetryAfter = maxRetryAfter
	}
	opt.Gateways = max(opt.Gateways, 1)
	g := &Guard{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 0x73746f726d)), failedWork: map[uint64]*failure{}, markingAccounts: map[uint64]bool{},
		peers: make([]peer, opt.Gateways)}
	g.Configure(opt.Classes, opt.Prices)
	return g
}

// Retune takes other classes and plans in. Which tries are known to have failed goes by the classes' numbers and is
// forgotten: their next tries count as first ones.
func (g *Guard) Configure(classes []Class, prices []float64) {
	g.opt.Classes, g.opt.Prices, g.maxValue = classes, prices, 0
	for _, c := range classes {
		for _, p := range prices {
			g.maxValue = math.Max(g.maxValue, c.Value*p)
		}
	}
	clear(g.failedWork)
	g.failedOrder = nil
}

// begin fixes what needs the clock.
func (g *Guard) start(now Time) {
	if g.startedAt == 0 {
		g.startedAt, g.lastTickAt, g.phaseSince, g.refilledAt, g.firstSlot = now, now, now, now, int64(now/slotDuration)
	}
}

const slotDuration = time.Second / slotsPerSecond

// Arrive tells what is to become of a try.
func (g *Guard) Admit(now Time, a Arrival) Decision {
	g.start(now)
	v := Decision{Admit: true, Retry: g.isRetry(now, a)}
	if v.Retry {
		g.current.Retries++
		g.stats.Retries++
	} else {
		g.current.FirstAttempts++
	}
	if g.phase == Calm {
		g.current.Admitted++
		return v
	}
	g.refill(now)
	most := math.Max(1, g.limit*burstSeconds)
	need := math.Max(1, g.reserve(a, v.Retry)*most)
	// What stands idle may go to retries whatever their budget: to refuse them would serve nobody.
	if v.Admit = g.tokens >= need && (!v.Retry || g.retryTokens >= 1 || g.tokens >= idleRatio*most); !v.Admit {
		g.current.Rejected++
		g.stats.Rejected++
		if v.Retry {
			g.stats.RejectedRetries++
		}
		g.recordFailure(now, a)
		v.RetryAfter = g.scheduleReturn(now)
		return v
	}
	g.tokens--
	if v.Retry {
		g.retryTokens = math.Max(0, g.retryTokens-1)
	}
	g.current.Admitted++
	return v
}

// reserve is the share of what may come at once that a try must leave to those before it: first tries before retries,
// dear plans and classes before cheap ones, and what must not run twice before what may.
func (g *Guard) reserve(a Arrival, retry bool) float64 {
	value := 0.0
	unsafe := false
	if a.Class >= 0 && a.Class < len(g.opt.Classes) && a.Plan >= 0 && a.Plan < len(g.opt.Prices) && g.maxValue > 0 {
		value, unsafe = g.opt.Classes[a.Class].Value*g.opt.Prices[a.Plan]/g.maxValue, g.opt.Classes[a.Class].NonIdempotent
	}
	share := valueReserve * (1 - value)
	if retry {
		share += retryReserve
	}
	if !unsafe {
		share += nonIdempotentReserve
	}
	return math.Min(share, 0.95)
}

// fill brings the stores up to date.
func (g *Guard) refill(now Time) {
	dt := math.Max(0, (now - g.refilledAt).Seconds())
	if dt > pauseThreshold.Seconds() {
		dt = TickInterval.Seconds()
	}
	g.refilledAt = now
	most := math.Max(1, g.limit*burstSeconds)
	g.tokens = math.Min(most, g.tokens+dt*g.limit)
	// The budget for retries is that of the whole fleet, and this gateway's part of it follows what comes to it.
	all := g.fleet()
	part := 1.0
	if all.Retries > 0 {
		part = math.Min(1, g.recent().Retries/all.Retries)
	}
	g.retryTokens = math.Min(math.Max(2, most), g.retryTokens+dt*g.opt.RetryRatio*all.FirstAttempts*part)
}

// Refused takes in that a try was refused otherwise, and gives the wait that the answer is to name: as it was meant,
// or in a storm when there is room for the client's return.
func (g *Guard) Rejected(now Time, a Arrival, wait time.Duration) time.Duration {
	g.start(now)
	g.recordFailure(now, a)
	if g.phase == Calm {
		return wait
	}
	return g.scheduleReturn(now)
}

// Failed takes in that a request failed, or that its client left without an answer: it may come again.
func (g *Guard) Failed(now Time, a Arrival) {
	g.start(now)
	g.recordFailure(now, a)
}

// Attempt takes the end of an attempt in.
func (g *Guard) AttemptEnded(now Time, end Outcome) {
	g.start(now)
	if g.successStreak++; end != InTime {
		g.successStreak = 0
	}
	switch end {
	case InTime:
		g.current.InTime++
	case Late:
		g.current.Late++
	default:
		g.current.Failed++
	}
}

// Connect tells whether a new connection may be taken.
func (g *Guard) AdmitConnection(now Time) bool {
	g.start(now)
	g.current.Connections++
	if g.phase == Calm || g.opt.ConnectionRate <= 0 {
		return true
	}
	if g.connectionTokens < 1 {
		g.stats.RejectedConnections++
		return false
	}
	g.connectionTokens--
	return true
}

func (g *Guard) recordFailure(now Time, a Arrival) {
	k := a.key()
	f := g.failedWork[k]
	if f == nil {
		for len(g.failedOrder) > 0 && (len(g.failedWork) >= maxFailedKeys || g.failedWork[g.failedOrder[0]] == nil || now > g.failedWork[g.failedOrder[0]].expiresAt) {
			delete(g.failedWork, g.failedOrder[0])
			g.failedOrder = g.failedOrder[1:]
		}
		f = &failure{}
		g.failedWork[k] = f
		g.failedOrder = append(g.failedOrder, k)
	}
	f.count++
	f.expiresAt = now + max(failureTTL, g.opt.MaxRetryAfter)
}

// retry tells whether a try is likely a retry: as its client says, where the account's clients say so at all, else by
// the work that failed a moment ago.
func (g *Guard) isRetry(now Time, a Arrival) bool {
	if a.MarkedRetry {
		if len(g.markingAccounts) >= maxMarkingAccounts {
			clear(g.markingAccounts)
		}
		g.markingAccounts[a.Account] = true
		return true
	}
	return !g.markingAccounts[a.Account] && g.failedRecently(now, a.key())
}

// failedBefore tells whether a try is likely one that failed a moment ago here, or at a peer that says so.
func (g *Guard) failedRecently(now Time, k uint64) bool {
	if f := g.failedWork[k]; f != nil && f.count > 0 && now <= f.expiresAt {
		f.count--
		return true
	}
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(now) && p.message.FailedWork.contains(k) {
			return true
		}
	}
	return false
}

// recent is what came to pass in the last second.
func (g *Guard) recent() (sum Counts) {
	for _, c := range g.history {
		sum.add(c)
	}
	return sum
}

// fleet is the same over all gateways that are heard.
func (g *Guard) fleet() (sum Counts) {
	sum = g.recent()
	for i := range g.peers {
		if p := &g.peers[i]; p.fresh(g.lastTickAt) {
			sum.add(Counts{FirstAttempts: p.message.FirstAttempts, Retries: p.message.Retries, InTime: p.message.InTime, Failed: p.message.Failed})
		}
	}
	return sum
}

// Beat takes a tick in: what was counted since the last one is judged, and the ramp moves. It gives what peers are to
// be told; nil: nothing.
func (g *Guard) Tick(now Time, members Members) []byte {
	g.start(now)
	gap := now - g.lastTickAt
	g.lastTickAt, g.members = now, members
	g.historyIndex = (g.historyIndex + 1) % len(g.history)
	g.history[g.historyIndex], g.current = g.current, Counts{}
	g.connectionTokens = math.Min(math.Max(1, g.opt.ConnectionRate/4), g.connectionTokens+g.opt.ConnectionRate*TickInterval.Seconds())
	g.advanceSlots(now)
	if gap > pauseThreshold { // what did not come to pass meanwhile tells nothing
		clear(g.history[:])
		g.streaks = [3]int{}
		return g.message(now)
	}
	g.updatePhase(now)
	if g.phase == Recovery {
		g.adjustRamp(now)
	}
	return g.message(now)
}

// count lengthens a streak, or ends it.
func (g *Guard) extendStreak(streak int, yes bool) int {
	if g.streaks[streak]++; !yes {
		g.streaks[streak] = 0
	}
	return g.streaks[streak]
}

// judge moves the phase.
func (g *Guard) updatePhase(now Time) {
	here, all := g.recent(), g.fleet()
	lost := all.Failed + float64(g.members.Overdue)
	served := all.InTime + all.Late
	dead := lost >= outageMinFailures && served <= outageSuccessRatio*(served+lost)
	repeats := here.Retries / math.Max(here.arrivals(), 1)
	rush := here.Connections > connectionSurgeFactor*g.baselineConnections+connectionSurgeMin // controllers that all connect anew may mark nothing
	swamped := g.baselineTime > baselineMinCalm && here.arrivals() > stormLoadFactor*g.baselineArrivals && (repeats > stormRetryRatio || rush) &&
		here.failureRatio() > stormFailureRatio && here.Late+here.Failed >= outageMinFailures
	outage, storm := g.extendStreak(0, dead), g.extendStreak(1, swamped)
	switch g.phase {
	case Calm:
		switch peer, usual := g.peerPhase(now); {
		case outage >= outageTicks:
			g.enterPhase(now, Outage)
		case storm >= stormTicks:
			g.enterPhase(now, Recovery)
		case peer != Calm && (g.baselineTime <= baselineMinCalm || repeats > stormRetryRatio/2): // it began before this gateway did
			if g.baselineTime <= baselineMinCalm {
				g.baselineArrivals, g.baselineServed = usual, usual
			}
			g.enterPhase(now, peer)
		default:
			g.updateBaseline(here)
		}
	case Outage:
		if g.successStreak >= recoveryMinSuccesses || all.InTime >= recoveryMinSuccesses && served >= recoverySuccessRatio*(served+all.Failed) {
			g.enterPhase(now, Recovery)
		}
	case Recovery:
		quiet := repeats < calmRetryRatio && here.Rejected <= calmRejectedRatio*here.arrivals()
		switch {
		case outage >= outageTicks:
			g.enterPhase(now, Outage)
		case g.extendStreak(2, quiet && here.failureRatio() < rampFailureRatio) >= calmTicks:
			g.enterPhase(now, Calm)
		}
	}
	g.confidence = 0
	if g.phase != Calm {
		g.confidence = math.Min(1, (lost+served)/(2*outageMinFailures))
	}
}

// learnUsual takes a second of calm as usual.
func (g *Guard) updateBaseline(here Counts) {
	if g.baselineTime += TickInterval; g.baselineTime <= window || here.failureRatio() > stormFailureRatio {
		return // the window isn't full yet, or something begins
	}
	f := math.Exp2(-TickInterval.Seconds() / baselineHalfLife.Seconds())
	if g.baselineTime <= baselineHalfLife {
		f = 1 - TickInterval.Seconds()/g.baselineTime.Seconds()
	}
	g.baselineArrivals, g.baselineServed = f*g.baselineArrivals+(1-f)*here.arrivals(), f*g.baselineServed+(1-f)*here.InTime
	g.baselineConnections = f*g.baselineConnections + (1-f)*here.Connections
}

func (g *Guard) enterPhase(now Time, p Phase) {
	if g.phase == Calm {
		g.stats.Storms++
	}
	g.phase, g.phaseSince, g.streaks, g.successStreak = p, now, [3]int{}, 0
	switch p {
	case Outage:
		g.limit = math.Max(minRate, outageProbeRatio*g.baselineRate())
	case Recovery:
		g.limit = math.Max(minRate, rampStartRatio*g.baselineRate()*g.members.Warmth)
	}
	g.refilledAt, g.tokens, g.retryTokens, g.lastDecreaseAt = now, math.Min(1, g.limit*burstSeconds), 0, now
}

// rate is what this gateway's members usually do for it.
func (g *Guard) baselineRate() float64 { return math.Max(g.baselineServed, minRate) }

// ramp follows what the members answer. It rises while it holds tries back and what is let in ends well, up to what
// they can do by their warmth, and falls where too much ends badly.
func (g *Guard) adjustRamp(now Time) {
	here := g.recent()
	most := math.Max(minRate, rampMaxRatio*g.baselineRate()*math.Max(g.members.Warmth, 0.05))
	switch {
	case here.failureRatio() > rampFailureRatio && here.Late+here.Failed >= 3:
		if now-g.lastDecreaseAt >= rampDecreaseInterval {
			g.limit, g.lastDecreaseAt = g.limit*rampDecreaseFactor, now
			g.stats.RampDecreases++
		}
	case here.Rejected > 0:
		g.limit = g.limit*rampIncreaseFactor + rampIncreaseStep
		g.baselineServed = math.Max(g.baselineServed, provenRatio*here.InTime) // what they do now they can do; a new gateway may know less
	}
	g.limit = math.Max(minRate, math.Min(g.limit, most))
}

// Now gives the phase, and how sure it is, 0 to 1.
func (g *Guard) State() (Phase, float64) { return g.phase, g.confidence }

// Figures gives what was counted so far.
func (g *Guard) Stats() Stats {
	f := g.stats
	f.Phase, f.Confidence, f.Limit, f.Baseline, f.Recent = g.phase, g.confidence, g.limit, g.baselineArrivals, g.recent()
	return f
}
