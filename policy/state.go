package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg               Settings
	schema            schemaHash // of the numbers in messages
	host              Host
	rng               *rand.Rand
	now               Time
	startedAt         Time
	unseenFillSince   Time // a ceiling not met since then has filled from then on
	started           bool
	requests          map[RequestID]*request
	inFlight          []*attempt
	lostInFlight      int // of them lost on the way
	queue             []*request
	servers           []*server
	serversByID       map[ServerID]*server
	customers         []*customer
	customersByID     map[CustomerID]*customer
	customersByKey    map[uint64]*customer // by the name in messages; some known from peers only
	groups            []group              // class * plans + plan
	classLatency      []decayingMean       // mean latency of a class
	latencyByUnits    []decayingFit        // and by a request's units
	sentLatency       decayingMean         // expected length of what is sent, over all
	workDone          decayingMean         // seconds of work that servers have done for this gateway
	serverConcurrency float64              // attempts that a server was seen at work on at once
	slowAnswerSeen    bool                 // an answer has been slow
	fleetLatency      float64              // of all servers, as of the last beat
	overloaded        bool
	capacityReached   bool
	calmChecks        int
	shedGroups        []int
	retryBudget       float64
	hedgeBudget       float64
	lateness          []decayingMean      // of each class: late attempts, and all
	coldLatency       decayingMean        // latency of cold servers' answers over their classes' mean
	coldServiceTime   decayingMean        // and what a warm one would have taken, in seconds
	allCold           bool                // no listed server is warm, as of the last beat
	warmThroughput    float64             // answers of a warm server here in a window of the cold rule
	pendingQueries    map[uint32]*request // that wait for their home's answer, by token
	invalidMessages   int                 // messages of no known form
	lastQuery         uint32
	lastShed          Time
	peerAge           []time.Duration // as each last told
	peerLastContact   []Time
	peerResumedAt     []Time      // when each was heard again after a silence
	peerClockOffset   []Time      // between its age and the time here, with its fastest message
	lastContact       Time        // when any peer was last heard
	olderPeerKnown    bool        // a peer is much older, or has heard of one that is
	pendingUpdates    []*customer // of whom peers have something to hear
	suspectedUntil    []Time      // until when each is taken to be no customer's home
	nearby            []int       // the peers that may share a customer's store with this gateway, and hear of each draw
	incarnations      []int       // of each peer, as heard
	fullUpdateAt      []Time      // when each was last told all
	watching          bool
	watchBackoff      time.Duration
	queueTimerSet     bool
}

// New checks the settings and gives a gateway that knows nothing yet. The seed is its only randomness.
func New(set Settings, seed uint64) (*Gateway, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: set, schema: set.schema(), rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		requests: map[RequestID]*request{}, serversByID: map[ServerID]*server{}, customersByID: map[CustomerID]*customer{},
		customersByKey: map[uint64]*customer{}, pendingQueries: map[uint32]*request{},
		classLatency: make([]decayingMean, len(set.Classes)), latencyByUnits: make([]decayingFit, len(set.Classes)), retryBudget: maxRetryBudget, hedgeBudget: 1,
		lateness: make([]decayingMean, len(set.Classes)),
		peerAge:  make([]time.Duration, set.Gateways), peerLastContact: make([]Time, set.Gateways), suspectedUntil: make([]Time, set.Gateways),
		incarnations: make([]int, set.Gateways), peerResumedAt: make([]Time, set.Gateways), peerClockOffset: make([]Time, set.Gateways), fullUpdateAt: make([]Time, set.Gateways)}
	g.nearby = set.NearbyPeers()
	total := 0.0
	for _, c := range set.Classes {
		for _, p := range set.Plans {
			total += c.Value * p.ValueMultiplier
			g.groups = append(g.groups, group{value: c.Value * p.ValueMultiplier, capacityShare: 1})
		}
	}
	for i := range g.groups {
		g.groups[i].value = math.Max(g.groups[i].value/math.Max(total, 1e-9), 1e-9)
	}
	return g, nil
}

// Attach names the host that carries the actions out. It comes before the first event.
func (g *Gateway) Attach(h Host) { g.host = h }

// Woke notes that this process stood still for so long until now: what was out meanwhile took so much less.
func (g *Gateway) Resumed(now Time, still time.Duration) {
	for _, a := range g.inFlight {
		a.sentAt = min(now, a.sentAt+still)
	}
	g.advance(now)
}

// forget drops the records of customers that are idle for so long.
func (g *Gateway) evictIdle(idle time.Duration) {
	g.customers = slices.DeleteFunc(g.customers, func(c *customer) bool {
		old := c.inFlight == 0 && g.now-c.lastSeen > idle
		if old && c.seenHere {
			delete(g.customersByID, c.id)
		}
		if old && g.customersByKey[c.key] == c {
			delete(g.customersByKey, c.key)
		}
		return old
	})
}

func (g *Gateway) groupOf(r *request) int { return r.Class*len(g.cfg.Plans) + r.Plan }

func (g *Gateway) groupName(i int) string {
	n := len(g.cfg.Plans)
	return g.cfg.Classes[i/n].Name + "/" + g.cfg.Plans[i%n].Name
}

// listed counts the listed servers of which something is true.
func (g *Gateway) countListed(is func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if s.listed && is(s) {
			n++
		}
	}
	return n
}

func (g *Gateway) listedServers() int { return g.countListed(func(*server) bool { return true }) }
