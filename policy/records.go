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
type tally struct {
	own, pool [2]float64
	at        Time
}

func (t *tally) fade(now Time, memory time.Duration, weight int) {
	if now > t.at {
		f := fading(now-t.at, memory)
		for i := range t.own {
			t.own[i] *= f
			t.pool[i] *= f
		}
		if weight > 0 {
			t.pool[weight] += 1 - f
		}
		t.at = now
	}
}

// all estimates what all n gateways hold of a figure together.
func (t *tally) all(figure, n int) float64 { return t.own[figure] + float64(n)*t.pool[figure] }

// split takes out what one peer is told, where so many are still to be told and n gateways share the figures.
// Of what is own each of the n should end with an equal part; the pool is split evenly with those told.
func (t *tally) split(left, n float64) (told [2]float64) {
	for i := range t.own {
		own := t.own[i] / left
		told[i] = t.pool[i]/(left+1) + own*(1-1/n)
		t.pool[i] += own/n - t.pool[i]/(left+1)
		t.own[i] -= own
	}
	return told
}

func (t *tally) take(now Time, memory time.Duration, weight int, told [2]float64) {
	t.fade(now, memory, weight)
	for i := range told {
		t.pool[i] += told[i]
	}
}

type request struct {
	Request
	arrived   Time
	attempts  int // sent so far
	out       []*attempt
	mayHave   []*attempt // those that may have run
	tried     []*server
	cust      *customer
	closed    bool
	streaming bool
	over      bool
	settled   bool // its true units are known
	drawn     bool
	waits     bool   // it is held and was never sent
	kept      bool   // its units come out of the ceiling that its home keeps
	home      int    // the gateway that keeps its quota; below 0: what is known here decides
	asked     int    // so often
	token     uint32 // names the question
}

// hold notes whether a request is drawn and not yet sent: meanwhile its customer's stores must not fill up what is meant
// for it, or more than they hold would go out at once.
func (r *request) hold(yes bool) {
	if r.waits == yes {
		return
	}
	if r.waits = yes; yes {
		r.cust.coming, r.cust.waiting = r.cust.coming+r.Units, r.cust.waiting+1
	} else {
		r.cust.coming, r.cust.waiting = r.cust.coming-r.Units, r.cust.waiting-1
	}
}

type attempt struct {
	req      *request
	no       int
	server   *server
	sent     Time // later by as much as nothing is held against it for
	chosen   Time // stays: what the window for repeats is counted from
	open     int  // place in Gateway.open
	passed   int  // so many sent later to its server have been answered
	suspect  bool // it is out for far too long, and nothing has come from its server for as long
	lost     bool // it holds no place at its server: passed and late, or its body is still coming
	slowSeen bool // counted as slow, for the room
	lateSeen bool // counted as late, for the aim
}

type server struct {
	ServerInfo
	listed       bool
	out          int
	others       float64 // attempts that other gateways are taken to have out there
	lost         int     // of them lost on the way
	service      float64 // by its own word: how long a request takes without waiting, in seconds; 0: not told
	serviceAt    Time    // when that came
	pace         mean    // attempt latency over what such a request typically takes
	fails        mean    // 1 for a failed attempt, 0 for a served one
	spoilt       mean    // the same, of those that may have run
	done         mean    // answers, as a rate
	ejectedUntil Time
	ejections    int
	away         []Time // until when each group goes elsewhere, as it was turned away here
	cold         ledger.Cold
	room         float64 // attempts of ours that it may hold, 0: not yet known
	suspects     int     // attempts there that are out for far too long, while nothing at all has come from there
	row          int     // failures since it last served
	answered     Time    // when it last served
	served       int     // and how often it did
}

type customer struct {
	id       CustomerID
	met      bool // a request of its own has come in here
	plan     int
	account  float64 // quota units left here; below zero: let in ahead of the refill
	ceiling  ledger.Part
	begun    bool    // its ceiling was full when the whole fleet began
	coming   float64 // units of requests whose bodies are still coming, or that are held and were never sent
	at       Time    // when both were last filled
	demand   mean
	out      int // attempts
	waiting  int // requests that are held and were never sent
	set      int
	first    int
	told     tally // units asked, and the weight
	name     uint64
	lastSeen Time
	made     byte                      // when the record was made
	used     float64                   // units first sent on from here, which only rises
	back     float64                   // units that were fewer than guessed, to be taken off what is used next
	question question                  // the last that a peer asked here
	inside   bool                      // and its answer
	untold   uint64                    // the peers that have not been told of the last of it, as bits by slot
	heard    [2*tellPeers + 1]heardUse // by slot
}

// drew counts units as used; below 0: that so many were not.
func (c *customer) drew(units float64) {
	c.back -= units
	if c.back < 0 {
		c.used, c.back = c.used-c.back, 0
	}
}

// under tells whether units stay below a hard ceiling.
func (c *customer) under(p Plan, units float64) bool {
	return p.CeilingRate <= 0 || c.ceiling.Left >= units
}

// heardUse is what a peer has told of its draws for a customer, and been told.
type heardUse struct {
	life  int // of the peer
	at    Time
	made  byte
	used  float64
	told  float64
	out   byte // attempts that it has out
	lacks byte // of its part of the ceiling, as it last told and was not answered
}

type group struct {
	v    float64
	told tally // requests sent on and their latency, over all gateways
	cut  bool
	part float64
}

// The figures of a group's tally.
const (
	groupQ = iota
	groupR
)

// mean is a sum and a weight that fade together with time.
type mean struct {
	sum, n float64
	at     Time
}

func (m *mean) fade(now Time, memory time.Duration) {
	if now > m.at {
		f := fading(now-m.at, memory)
		m.sum *= f
		m.n *= f
		m.at = now
	}
}

func (m *mean) add(now Time, memory time.Duration, x float64) {
	m.fade(now, memory)
	m.sum += x
	m.n++
}

// above is the mean, held near one where little is counted.
func (m *mean) above() float64 { return (m.sum + 1) / (m.n + 1) }

func (m *mean) count(now Time, memory time.Duration, yes bool) {
	m.add(now, memory, 0)
	if yes {
		m.sum++
	}
}

// fit is a straight line through what was seen of how long a request takes by its units, all fading with time.
type fit struct{ n, u, uu, t, ut float64 }

// add takes in that so many units took so long, in seconds, after all before has faded by a factor.
func (f *fit) add(fade, units, took float64) {
	f.n = f.n*fade + 1
	f.u, f.uu = f.u*fade+units, f.uu*fade+units*units
	f.t, f.ut = f.t*fade+took, f.ut*fade+units*took
}

// of gives what so many units take, in seconds: the mean where all have been alike, and never less than an eighth of it.
func (f *fit) of(units float64) float64 {
	n := math.Max(f.n, 1e-9)
	spread, slope := f.uu-f.u*f.u/n, 0.0
	if spread > 1e-3*f.uu {
		slope = math.Max(0, (f.ut-f.u*f.t/n)/spread)
	}
	return math.Max(f.t/n/8, f.t/n+slope*(units-f.u/n))
}

func (s *server) load() float64 { return float64(s.out - s.lost) }

// untimed tells whether an attempt has no time to be held against it.
func (a *attempt) untimed() bool { return a.req.streaming || a.req.Coming }

func fading(age, memory time.Duration) float64 {
	return math.Exp(-float64(age) / float64(memory))
}

func (r *request) wasTried(s *server) bool { return slices.Contains(r.tried, s) }

func (p Plan) quota() ledger.Limit { return ledger.Limit{Rate: p.Rate, Burst: p.Burst} }
