package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// The state of a gateway and its construction.

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg       Settings
	schema    schemaHash // of the names of classes and plans, which messages refer to by number
	host      Host
	rng       *rand.Rand // the only source of randomness; the order of draws is part of a replay
	now       Time       // of the event that is being handled
	started   bool       // the first event has been handled
	startedAt Time       // when the first event was handled
	queue     []*request // requests that wait until a server may be sent them, oldest first

	queueTimerSet bool

	requests    map[RequestID]*request
	inFlight    []*attempt // in no particular order
	retryBudget float64    // retries that may be made; each request adds to it
	hedgeBudget float64    // hedged attempts that may be made; each request adds to it

	gatewayServers
	gatewayOverload
	gatewayCustomers
	gatewayPeers
}

// gatewayServers is a Gateway's state of its servers.
type gatewayServers struct {
	servers      []*server // in the order in which they were first listed
	serversByID  map[ServerID]*server
	watching     bool          // the last watch of the server list has not failed
	watchBackoff time.Duration // the wait before the next watch

	classLatency   []decayingMean // latency in seconds of the attempts of each class
	latencyByUnits []decayingFit  // the same, by a request's units
	sentLatency    decayingMean   // typical latency in seconds of the attempts sent, over all classes
	fleetLatency   float64        // relative latency of all servers, as of the last overload check

	// Slow start: measurements of servers that are warming up, and of warm servers.
	coldLatency     decayingMean // relative latency of warming servers, times their warmth
	coldServiceTime decayingMean // seconds that a warm server would have taken for what warming servers served
	allCold         bool         // no listed server is warm, as of the last overload check
	warmThroughput  float64      // attempts that a warm server serves for this gateway in a SlowStartWindow
}

// gatewayOverload is a Gateway's state of the load and of load shedding.
type gatewayOverload struct {
	groups                []group // by class * number of plans + plan
	shedGroups            []int   // indexes of the groups that are shed, in the order in which they were shed
	lastShed              Time
	checksWithoutOverload int            // checks without overload since the last overload or readmission of a group
	overloaded            bool           // as of the last overload check
	capacityReached       bool           // a request was refused for lack of capacity since the last overload check
	lateness              []decayingMean // by class: the sum counts the late attempts, the weight all attempts
	inFlightWithoutSlot   int            // attempts in flight that occupy no slot at their servers
	slowAnswerSeen        bool           // an attempt was slow; until then, capacities grow faster
	workDone              decayingMean   // seconds of work that servers have done for this gateway, without waiting
	serverConcurrency     float64        // estimated number of attempts that a server works on at once
}

// gatewayCustomers holds a Gateway's records of customers.
type gatewayCustomers struct {
	customers      []*customer
	customersByID  map[CustomerID]*customer // the customers whose requests have arrived here
	customersByKey map[uint64]*customer
	maxCustomers   int // most records; tests set it lower than the constant

	// hardLimitFillSince is the time since which the hard limit of a customer without a record is assumed to have
	// filled: the start, or the last time that records were evicted because there were too many.
	hardLimitFillSince Time
}

// gatewayPeers is a Gateway's state of its peers. The slices except nearby and pendingUpdates are by gateway number.
type gatewayPeers struct {
	nearby          []int           // the peers that may share a customer's bucket with this gateway
	peerAge         []time.Duration // as reported by each peer's last update
	peerLastContact []Time          // 0 means never
	peerResumedAt   []Time          // when an update of each peer was first received again after a time-out
	peerClockOffset []Time          // local time minus the peer's age, from the message with the least delay
	lastContact     Time            // with any peer
	olderPeerKnown  bool            // a peer is much older than this gateway, or knows of a gateway that is
	incarnations    []int           // restarts of each peer, as counted here
	fullUpdateAt    []Time          // when each peer was last sent an update that includes the groups
	pendingUpdates  []*customer     // customers with a bit set in pendingPeers, in the order in which they are sent
	suspectedUntil  []Time          // until when each gateway is not queried as a customer's owner
	pendingQueries  map[uint32]*request
	lastQuery       uint32 // number of the last query to an owner
	invalidMessages int
}

// New validates the settings and returns a gateway in its initial state. The seed is its only source of randomness.
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

// newGatewayPeers returns the state of a gateway that has had no contact with any peer.
func newGatewayPeers(cfg Settings) gatewayPeers {
	times := func() []Time { return make([]Time, cfg.Gateways) }
	return gatewayPeers{nearby: cfg.NearbyPeers(), peerAge: times(), peerLastContact: times(), peerResumedAt: times(),
		peerClockOffset: times(), incarnations: make([]int, cfg.Gateways), fullUpdateAt: times(), suspectedUntil: times(),
		pendingQueries: map[uint32]*request{}}
}

// newGroups returns a group for each class and plan, with values that add up to 1.
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

// Attach sets the host that carries out the actions. It must be called before the first event.
func (g *Gateway) Attach(h Host) { g.host = h }

// Resumed handles that this process was paused until now: the pause doesn't count as latency of the attempts in flight.
func (g *Gateway) Resumed(now Time, pause time.Duration) {
	for _, a := range g.inFlight {
		a.sentAt = min(now, a.sentAt+pause)
	}
	g.advance(now)
}

// groupOf returns the index of a request's group.
func (g *Gateway) groupOf(r *request) int { return r.Class*len(g.cfg.Plans) + r.Plan }

// groupName returns the name of a group for log lines.
func (g *Gateway) groupName(i int) string {
	n := len(g.cfg.Plans)
	return g.cfg.Classes[i/n].Name + "/" + g.cfg.Plans[i%n].Name
}

// countListed returns the number of listed servers that satisfy is.
func (g *Gateway) countListed(is func(*server) bool) int {
	n := 0
	for _, s := range g.servers {
		if s.listed && is(s) {
			n++
		}
	}
	return n
}

// listedServers returns the number of listed servers.
func (g *Gateway) listedServers() int { return g.countListed(func(*server) bool { return true }) }
