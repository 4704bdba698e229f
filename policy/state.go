package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// The state of a gateway, and how it is made. This file decides nothing.

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg       Settings
	schema    schemaHash // of the names of classes and plans, which messages refer to by number
	host      Host
	rng       *rand.Rand // the only source of randomness; the order of draws is part of a replay
	now       Time       // of the event that is being handled
	started   bool       // the first event has come
	startedAt Time       // when it came
	queue     []*request // that wait for a server which may take them, oldest first

	queueTimerSet bool

	requests    map[RequestID]*request
	inFlight    []*attempt // in no order
	retryBudget float64    // retries that may be made; fills with each request
	hedgeBudget float64    // second attempts that may be made

	gatewayServers
	gatewayOverload
	gatewayCustomers
	gatewayPeers
}

// gatewayServers is what a Gateway knows of its servers.
type gatewayServers struct {
	servers      []*server // in the order in which they were first listed
	serversByID  map[ServerID]*server
	watching     bool          // the last watch of the server list has not failed
	watchBackoff time.Duration // before the next watch

	classLatency   []decayingMean // seconds that attempts of each class take
	latencyByUnits []decayingFit  // the same, by a request's units
	sentLatency    decayingMean   // expected seconds of what is sent, over all classes
	fleetLatency   float64        // relative latency of all servers, as of the last overload check

	// Slow start: what is measured of servers that warm up, and of warm ones.
	coldLatency     decayingMean // relative latency of servers that warm up, times their warmth
	coldServiceTime decayingMean // seconds that a warm server would have taken for what they served
	allCold         bool         // no listed server is warm, as of the last overload check
	warmThroughput  float64      // attempts that a warm server serves for this gateway in a SlowStartWindow
}

// gatewayOverload is what a Gateway measures of the load, and the load shedding that follows.
type gatewayOverload struct {
	groups            []group // by class * number of plans + plan
	shedGroups        []int   // in the order in which they were shed
	lastShed          Time
	calmChecks        int            // overload checks without overload since the last group was shed or taken back
	overloaded        bool           // as of the last overload check
	capacityReached   bool           // a request was refused for want of capacity since the last overload check
	lateness          []decayingMean // of each class: late attempts, and all
	lostInFlight      int            // attempts in flight that occupy no slot at their servers
	slowAnswerSeen    bool           // until then capacities grow faster
	workDone          decayingMean   // seconds of work that servers have done for this gateway, without waiting
	serverConcurrency float64        // attempts that a server was seen to work on at once
}

// gatewayCustomers holds a Gateway's records of customers.
type gatewayCustomers struct {
	customers      []*customer
	customersByID  map[CustomerID]*customer // those whose requests have come in here
	customersByKey map[uint64]*customer
	maxCustomers   int // bound of customers; less than the constant in tests

	// unseenFillSince is the time since which the hard limit of a customer without a record has filled: the start, or
	// when records were last dropped because there were too many.
	unseenFillSince Time
}

// gatewayPeers is what a Gateway knows of its peers. The slices are by gateway number.
type gatewayPeers struct {
	nearby          []int           // those that may share a customer's bucket with this gateway
	peerAge         []time.Duration // as each last said
	peerLastContact []Time          // 0 means never
	peerResumedAt   []Time          // when a message of each was received again after a time-out
	peerClockOffset []Time          // time here less the peer's age, by the message with the least delay
	lastContact     Time            // with any peer
	olderPeerKnown  bool            // a peer is much older than this gateway, or knows of one that is
	incarnations    []int           // of each peer, as counted here
	fullUpdateAt    []Time          // when each was last sent an update of everything
	pendingUpdates  []*customer     // with a bit set in pendingPeers, in turn
	suspectedUntil  []Time          // until when each is not asked as a customer's owner
	pendingQueries  map[uint32]*request
	lastQuery       uint32 // number of the last query to an owner
	invalidMessages int
}

// New validates the settings and makes a gateway that knows nothing yet. The seed is its only source of randomness.
func New(cfg Settings, seed uint64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, schema: cfg.schema(), rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		requests: map[RequestID]*request{}, retryBudget: maxRetryBudget, hedgeBudget: 1}
	g.serversByID = map[ServerID]*server{}
	g.classLatency = make([]decayingMean, len(cfg.Classes))
	g.latencyByUnits = make([]decayingFit, len(cfg.Classes))
	g.lateness = make([]decayingMean, len(cfg.Classes))
	g.maxCustomers = maxCustomers
	g.customersByID, g.customersByKey = map[CustomerID]*customer{}, map[uint64]*customer{}
	g.gatewayPeers = newGatewayPeers(cfg)
	g.groups = newGroups(cfg)
	return g, nil
}

// newGatewayPeers gives the state of a gateway without contact to any peer.
func newGatewayPeers(cfg Settings) gatewayPeers {
	times := func() []Time { return make([]Time, cfg.Gateways) }
	return gatewayPeers{nearby: cfg.NearbyPeers(), peerAge: times(), peerLastContact: times(), peerResumedAt: times(),
		peerClockOffset: times(), incarnations: make([]int, cfg.Gateways), fullUpdateAt: times(), suspectedUntil: times(),
		pendingQueries: map[uint32]*request{}}
}

// newGroups makes a group for each class and plan, with values that add up to 1.
func newGroups(cfg Settings) (groups []group) {
	total := 0.0
	for _, c := range cfg.Classes {
		for _, p := range cfg.Plans {
			total += c.Value * p.ValueMultiplier
			groups = append(groups, group{value: c.Value * p.ValueMultiplier, capacityShare: 1})
		}
	}
	for i := range groups {
		groups[i].value = math.Max(groups[i].value/math.Max(total, 1e-9), 1e-9)
	}
	return groups
}

// Attach sets the host that carries the actions out. It must be called before the first event.
func (g *Gateway) Attach(h Host) { g.host = h }

// Resumed takes in that this process was paused until now: attempts in flight are not held to the time of the pause.
func (g *Gateway) Resumed(now Time, pause time.Duration) {
	for _, a := range g.inFlight {
		a.sentAt = min(now, a.sentAt+pause)
	}
	g.advance(now)
}

// groupOf gives the index of a request's group.
func (g *Gateway) groupOf(r *request) int { return r.Class*len(g.cfg.Plans) + r.Plan }

// groupName gives the name of a group in log lines.
func (g *Gateway) groupName(i int) string {
	n := len(g.cfg.Plans)
	return g.cfg.Classes[i/n].Name + "/" + g.cfg.Plans[i%n].Name
}

// countListed counts the listed servers for which is holds.
func (g *Gateway) countListed(is func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if s.listed && is(s) {
			n++
		}
	}
	return n
}

// listedServers counts the listed servers.
func (g *Gateway) listedServers() int { return g.countListed(func(*server) bool { return true }) }
