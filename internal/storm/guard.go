package storm

import (
	"math"
	"math/rand/v2"
	"time"
)

// Time is a reading of the gateway's monotonic clock.
type Time = time.Duration

// TickInterval is how often Tick is to be called.
const TickInterval = 250 * time.Millisecond

// pauseThreshold is the time between two ticks after which the process, or its clock, counts as having been paused.
const pauseThreshold = 4 * TickInterval

// Class is a class of requests.
type Class struct {
	LatencyTarget time.Duration
	Value         float64
	NonIdempotent bool
}

// Options are the settings of a Guard.
type Options struct {
	Self, Gateways int    // this gateway's number, and how many there are
	Seed           uint64 // for the jitter of Retry-After
	Classes        []Class
	Prices         []float64 // factor on a class's value, by plan

	// RetryRatio is the retry budget: the number of retries that are admitted for each first attempt outside of Calm. A
	// higher ratio admits clients that retry fast earlier, at the cost of others' first attempts. Default: 0.2.
	RetryRatio float64
	// MaxRetryAfter bounds the Retry-After of a rejection. It should not exceed what clients accept. Default, and upper
	// bound: 30 s.
	MaxRetryAfter time.Duration
	// ConnectionRate is how many new connections are accepted per second outside of Calm; 0: all.
	ConnectionRate float64
}

// Members is what a gateway observes of the pool members at a tick.
type Members struct {
	Listed  int
	Warmth  float64 // fraction of its full capacity that a listed member has, 0 to 1; mean over the listed members
	Overdue int     // attempts in flight that take far longer than is typical
}

// Guard is the storm protection of one gateway. It is not safe for concurrent use.
type Guard struct {
	opt      Options
	rng      *rand.Rand
	maxValue float64 // highest product of a class's value and a price
	peers    []peer  // by gateway number
	seq      uint8   // of the last message sent
	stats    Stats

	// The phase.
	phase         Phase
	confidence    float64 // 0 to 1; grows with the number of attempts by which the phase was judged
	startedAt     Time    // 0: not started, no time is known yet
	lastTickAt    Time
	phaseSince    Time
	members       Members      // as of the last tick
	streaks       [streaks]int // consecutive ticks on which each condition held
	successStreak float64      // consecutive attempts that ended in time

	// Counts of the last second, by tick.
	current      Counts // since the last tick
	history      [int(window / TickInterval)]Counts
	historyIndex int // of the last tick

	// The baseline, learned in Calm, per second.
	baselineArrivals    float64
	baselineServed      float64 // attempts that ended in time
	baselineConnections float64
	baselineTime        Time // time in Calm over which the baseline was learned

	// Admission.
	limit            float64 // the ramp: admissions per second
	lastDecreaseAt   Time
	tokens           float64 // in the bucket of all admissions
	retryTokens      float64 // in the bucket of the retry budget
	connectionTokens float64
	refilledAt       Time

	// Recognition of retries.
	failedWork      map[uint64]*failure // by Arrival.key
	failedOrder     []uint64            // keys of failedWork, oldest first
	markingAccounts map[uint64]bool     // accounts whose clients mark retries

	// Retry-After: a ring of time slots.
	scheduled [slotCount]float64 // returns scheduled for each slot; slot n is at n modulo slotCount
	firstSlot int64              // number of the current slot
}

// start initializes the times at the first call of a method that passes the time.
func (g *Guard) start(now Time) {
	if g.startedAt == 0 {
		g.startedAt, g.lastTickAt, g.phaseSince, g.refilledAt, g.firstSlot = now, now, now, now, int64(now/slotDuration)
	}
}

// New returns a guard in Calm without a baseline.
func New(opt Options) *Guard {
	if opt.RetryRatio <= 0 {
		opt.RetryRatio = 0.2
	}
	if opt.MaxRetryAfter <= 0 || opt.MaxRetryAfter > maxRetryAfter {
		opt.MaxRetryAfter = maxRetryAfter
	}
	opt.Gateways = max(opt.Gateways, 1)
	const stream = 0x73746f726d // "storm"
	g := &Guard{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, stream)), failedWork: map[uint64]*failure{},
		markingAccounts: map[uint64]bool{}, peers: make([]peer, opt.Gateways)}
	g.Configure(opt.Classes, opt.Prices)
	return g
}

// Configure sets classes and prices. Failed work is forgotten, because its keys contain class numbers: the next
// attempts at that work count as first attempts.
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

// Tick evaluates the events counted since the last tick, and updates the phase and the ramp. It returns the message for
// the peers; nil: there is nothing to report.
func (g *Guard) Tick(now Time, members Members) []byte {
	g.start(now)
	gap := now - g.lastTickAt
	g.lastTickAt, g.members = now, members
	g.historyIndex = (g.historyIndex + 1) % len(g.history)
	g.history[g.historyIndex], g.current = g.current, Counts{}
	g.connectionTokens = math.Min(math.Max(1, g.opt.ConnectionRate/4), // burst: a quarter of a second
		g.connectionTokens+g.opt.ConnectionRate*TickInterval.Seconds())
	g.advanceSlots(now)
	if gap > pauseThreshold { // events are missing from the counts
		clear(g.history[:])
		g.streaks = [streaks]int{}
		return g.message(now)
	}
	g.updatePhase(now)
	if g.phase == Recovery {
		g.adjustRamp(now)
	}
	return g.message(now)
}

// State returns the phase, and the guard's confidence in it from 0 to 1.
func (g *Guard) State() (Phase, float64) { return g.phase, g.confidence }

// Stats are a guard's state and counters, for logs and metrics.
type Stats struct {
	Phase           Phase
	Confidence      float64 // 0 to 1
	Limit, Baseline float64 // the ramp, and the usual arrivals, per second
	Recent          Counts  // in the last second

	Storms                            uint64 // number of times that Calm was left
	Rejected, RejectedRetries         uint64 // rejected arrivals, and those of them that were taken for retries
	Retries                           uint64 // arrivals that were taken for retries
	RejectedConnections               uint64
	MessagesReceived, MessagesDropped uint64 // from peers
	RampDecreases                     uint64
}

// Stats returns the guard's state and counters.
func (g *Guard) Stats() Stats {
	s := g.stats
	s.Phase, s.Confidence, s.Limit, s.Baseline, s.Recent = g.phase, g.confidence, g.limit, g.baselineArrivals, g.recent()
	return s
}
