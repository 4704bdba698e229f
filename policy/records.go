package policy

import (
	"math"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/ledger"
)

// The structs that hold what a gateway knows, and how they fade. Nothing here chooses.

// tally holds figures that the gateways add up by push-sum: what is put in here is own until it is told; pool is
// this gateway's part of what all put in. All fade with one memory. A weight, where there is one, is the last of
// the pool's figures: it fills towards 1, so figure / weight is the mean over the gateways.
type pushSum struct {
	local, pooled [2]float64
	decayedAt     Time
}

func (t *pushSum) decay(now Time, memory time.Duration, weight int) {
	if now > t.decayedAt {
		f := decayFactor(now-t.decayedAt, memory)
		for i := range t.local {
			t.local[i] *= f
			t.pooled[i] *= f
		}
		if weight > 0 {
			t.pooled[weight] += 1 - f
		}
		t.decayedAt = now
	}
}

// all estimates what all n gateways hold of a figure together.
func (t *pushSum) estimate(figure, n int) float64 {
	return t.local[figure] + float64(n)*t.pooled[figure]
}

// split takes out what one peer is told, where so many are still to be told and n gateways share the figures.
// Of what is own each of the n should end with an equal part; the pool is split evenly with those told.
func (t *pushSum) split(left, n float64) (told [2]float64) {
	for i := range t.local {
		own := t.local[i] / left
		told[i] = t.pooled[i]/(left+1) + own*(1-1/n)
		t.pooled[i] += own/n - t.pooled[i]/(left+1)
		t.local[i] -= own
	}
	return told
}

func (t *pushSum) merge(now Time, memory time.Duration, weight int, told [2]float64) {
	t.decay(now, memory, weight)
	for i := range told {
		t.pooled[i] += told[i]
	}
}

type request struct {
	Request
	arrivedAt    Time
	attempts     int // sent so far
	inFlight     []*attempt
	mayHaveRun   []*attempt // those that may have run
	tried        []*server
	customer     *customer
	closed       bool
	streaming    bool
	overQuota    bool
	reconciled   bool // its true units are known
	charged      bool
	queued       bool   // it is held and was never sent
	limitAtOwner bool   // its units come out of the ceiling that its home keeps
	owner        int    // the gateway that keeps its quota; below 0: what is known here decides
	queries      int    // so often
	queryToken   uint32 // names the question
}

// hold notes whether a request is drawn and not yet sent: meanwhile its customer's stores must not fill up what is meant
// for it, or more than they hold would go out at once.
func (r *request) setQueued(yes bool) {
	if r.queued == yes {
		return
	}
	if r.queued = yes; yes {
		r.customer.reservedUnits, r.customer.queued = r.customer.reservedUnits+r.Units, r.customer.queued+1
	} else {
		r.customer.reservedUnits, r.customer.queued = r.customer.reservedUnits-r.Units, r.customer.queued-1
	}
}

type attempt struct {
	request     *request
	number      int
	server      *server
	sentAt      Time // later by as much as nothing is held against it for
	chosenAt    Time // stays: what the window for repeats is counted from
	index       int  // place in Gateway.open
	overtakenBy int  // so many sent later to its server have been answered
	suspected   bool // it is out for far too long, and nothing has come from its server for as long
	lost        bool // it holds no place at its server: passed and late, or its body is still coming
	countedSlow bool // counted as slow, for the room
	countedLate bool // counted as late, for the aim
}

type server struct {
	ServerInfo
	listed              bool
	inFlight            int
	othersInFlight      float64      // attempts that other gateways are taken to have out there
	lost                int          // of them lost on the way
	reportedServiceTime float64      // by its own word: how long a request takes without waiting, in seconds; 0: not told
	reportedAt          Time         // when that came
	relativeLatency     decayingMean // attempt latency over what such a request typically takes
	failures            decayingMean // 1 for a failed attempt, 0 for a served one
	wasted              decayingMean // the same, of those that may have run
	answers             decayingMean // answers, as a rate
	ejectedUntil        Time
	ejections           int
	rejectedUntil       []Time // until when each group goes elsewhere, as it was turned away here
	coldBudget          ledger.Cold
	capacity            float64 // attempts of ours that it may hold, 0: not yet known
	suspectedAttempts   int     // attempts there that are out for far too long, while nothing at all has come from there
	consecutiveFailures int     // failures since it last served
	lastServed          Time    // when it last served
	servedTotal         int     // and how often it did
}

type customer struct {
	id                CustomerID
	seenHere          bool // a request of its own has come in here
	plan              int
	balance           float64 // quota units left here; below zero: let in ahead of the refill
	hardLimit         ledger.Part
	limitFilled       bool    // its ceiling was full when the whole fleet began
	reservedUnits     float64 // units of requests whose bodies are still coming, or that are held and were never sent
	refilledAt        Time    // when both were last filled
	demand            decayingMean
	inFlight          int // attempts
	queued            int // requests that are held and were never sent
	setSize           int
	firstGateway      int
	sharedDemand      pushSum // units asked, and the weight
	key               uint64
	lastSeen          Time
	generation        byte                            // when the record was made
	used              float64                         // units first sent on from here, which only rises
	refundedUnits     float64                         // units that were fewer than guessed, to be taken off what is used next
	lastQuery         ownerQuery                      // the last that a peer asked here
	lastQueryAdmitted bool                            // and its answer
	pendingPeers      uint64                          // the peers that have not been told of the last of it, as bits by slot
	peers             [2*nearbyDistance + 1]peerUsage // by slot
}

// drew counts units as used; below 0: that so many were not.
func (c *customer) addUsed(units float64) {
	c.refundedUnits -= units
	if c.refundedUnits < 0 {
		c.used, c.refundedUnits = c.used-c.refundedUnits, 0
	}
}

// under tells whether units stay below a hard ceiling.
func (c *customer) withinHardLimit(p Plan, units float64) bool {
	return p.HardLimitRate <= 0 || c.hardLimit.Left >= units
}

// heardUse is what a peer has told of its draws for a customer, and been told.
type peerUsage struct {
	incarnation int // of the peer
	receivedAt  Time
	generation  byte
	used        float64
	ownUsedSent float64
	inFlight    byte // attempts that it has out
	deficit     byte // of its part of the ceiling, as it last told and was not answered
}

type group struct {
	value         float64
	latency       pushSum // requests sent on and their latency, over all gateways
	shed          bool
	capacityShare float64
}

// The figures of a group's tally.
const (
	groupRequests = iota
	groupSeconds
)

// mean is a sum and a weight that fade together with time.
type decayingMean struct {
	sum, weight float64
	decayedAt   Time
}

func (m *decayingMean) decay(now Time, memory time.Duration) {
	if now > m.decayedAt {
		f := decayFactor(now-m.decayedAt, memory)
		m.sum *= f
		m.weight *= f
		m.decayedAt = now
	}
}

func (m *decayingMean) add(now Time, memory time.Duration, x float64) {
	m.decay(now, memory)
	m.sum += x
	m.weight++
}

// above is the mean, held near one where little is counted.
func (m *decayingMean) smoothed() float64 { return (m.sum + 1) / (m.weight + 1) }

func (m *decayingMean) addBool(now Time, memory time.Duration, yes bool) {
	m.add(now, memory, 0)
	if yes {
		m.sum++
	}
}

// fit is a straight line through what was seen of how long a request takes by its units, all fading with time.
type decayingFit struct{ weight, units, unitsSquared, seconds, unitsSeconds float64 }

// add takes in that so many units took so long, in seconds, after all before has faded by a factor.
func (f *decayingFit) add(fade, units, took float64) {
	f.weight = f.weight*fade + 1
	f.units, f.unitsSquared = f.units*fade+units, f.unitsSquared*fade+units*units
	f.seconds, f.unitsSeconds = f.seconds*fade+took, f.unitsSeconds*fade+units*took
}

// of gives what so many units take, in seconds: the mean where all have been alike, and never less than an eighth of it.
func (f *decayingFit) predict(units float64) float64 {
	n := math.Max(f.weight, 1e-9)
	spread, slope := f.unitsSquared-f.units*f.units/n, 0.0
	if spread > 1e-3*f.unitsSquared {
		slope = math.Max(0, (f.unitsSeconds-f.units*f.seconds/n)/spread)
	}
	return math.Max(f.seconds/n/8, f.seconds/n+slope*(units-f.units/n))
}

func (s *server) load() float64 { return float64(s.inFlight - s.lost) }

// untimed tells whether an attempt has no time to be held against it.
func (a *attempt) untimed() bool { return a.request.streaming || a.request.BodyPending }

func decayFactor(age, memory time.Duration) float64 {
	return math.Exp(-float64(age) / float64(memory))
}

func (r *request) wasTried(s *server) bool { return slices.Contains(r.tried, s) }

func (p Plan) quota() ledger.Limit { return ledger.Limit{Rate: p.Rate, Burst: p.Burst} }
