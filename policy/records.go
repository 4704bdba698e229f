package policy

import (
	"slices"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// The records of requests, attempts, servers, customers and groups.

// request is a request of a client that has no final answer yet, or that still has attempts in flight.
type request struct {
	Request
	arrivedAt    Time
	attempts     int        // attempts started so far, or at least MaxAttempts if no further attempt is possible
	inFlight     []*attempt // oldest first
	mayHaveRun   []*attempt // attempts that ended without showing whether they ran
	tried        []*server
	customer     *customer
	closed       bool // it has its final answer
	streaming    bool // its response has begun
	overQuota    bool // it was admitted beyond the quota, so its units are not subtracted from the balance
	reconciled   bool // its estimated units have been replaced by those in its answer
	charged      bool // its units are subtracted from the balance and the hard limit, if it is to be charged to these
	queued       bool // it waits in Gateway.queue and has had no attempt
	limitAtOwner bool // its units come out of the share of the hard limit that its customer's owner holds
	owner        int  // gateway that keeps the customer's bucket; negative: this gateway's copy or part decides
	queries      int  // queries sent to the owner
	queryToken   uint32
}

// setQueued records whether a request is charged and not yet sent. While it is queued its units are reserved: the
// bucket must not refill them, or requests for more than its burst could be sent at once.
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

// wasTried reports whether an attempt of the request was sent to a server.
func (r *request) wasTried(s *server) bool { return slices.Contains(r.tried, s) }

// attempt is one sending of a request to a server.
type attempt struct {
	request     *request
	number      int // among the request's attempts, from 0
	server      *server
	sentAt      Time // moved forward by a pause of this process, and when a pending body is complete
	chosenAt    Time // when the server was chosen; never moved, as deduplication windows are counted from it
	index       int  // in Gateway.inFlight
	overtakenBy int  // number of served attempts that were sent to its server later
	suspected   bool // it has been in flight for far too long, and its server has served nothing meanwhile
	withoutSlot bool // it occupies no slot at its server, as it is lost or suspected to be, or its body is pending
	countedSlow bool // learnCapacity has counted it as slow
	countedLate bool // countLateness has counted it, as late or in time
}

// untimed reports whether the duration of an attempt is no measure of its server.
func (a *attempt) untimed() bool { return a.request.streaming || a.request.BodyPending }

// server is a server that is listed, has attempts in flight, or was recently sent attempts while it warmed up.
type server struct {
	ServerInfo
	listed              bool         // it may be sent requests
	inFlight            int          // attempts of this gateway in flight
	withoutSlot         int          // number of these attempts that occupy no slot
	suspectedAttempts   int          // number of these attempts that are suspected to be lost
	peersInFlight       float64      // attempts of other gateways in flight, set by SetPeerLoads
	reportedServiceTime float64      // seconds without waiting, from the server's last load report; 0 means unknown
	reportedAt          Time         // when that report was received
	relativeLatency     decayingMean // latency divided by the typical latency of such a request
	failures            decayingMean // 1 for a failed attempt, 0 for a served one
	wasted              decayingMean // the same, but only over attempts that may have run
	answers             decayingMean // the served attempts, which its sum and its weight count
	consecutiveFailures int
	ejectedUntil        Time
	ejections           int                       // doublings of the next ejection; falls with served attempts
	rejectedUntil       []Time                    // by group: until when it avoids the server, which has rejected it
	slowStartBudget     ratelimit.SlowStartBudget // for attempts while it warms up
	capacity            float64                   // in attempts of this gateway; 0 means not yet known
	lastServed          Time                      // when an attempt was last served; 0 means never
	servedTotal         int                       // attempts served since its process started
}

// load returns the number of attempts of this gateway that occupy slots at a server.
func (s *server) load() float64 { return float64(s.inFlight - s.withoutSlot) }

// customer is the record of a customer. A customer's owner has a second record, for the bucket that it keeps
// (ownerKey).
type customer struct {
	id            CustomerID
	key           uint64 // the customer's key in messages (customerKey)
	seenHere      bool   // a request of the customer has arrived here; otherwise only peers have named it
	plan          int
	setSize       int // number of gateways that serve it
	firstGateway  int
	lastSeen      Time
	balance       float64               // of the quota, in units; negative where units were admitted ahead of the refill
	hardLimit     ratelimit.BucketShare // this gateway's share of the hard limit
	limitFilled   bool                  // the share was given its burst when the whole fleet had just started
	reservedUnits float64               // of requests that are queued, or whose bodies are pending
	refilledAt    Time                  // when balance and hardLimit were last refilled
	demand        decayingMean
	sharedDemand  pushSum // units requested at all its gateways, and the weight
	requests      int     // its requests in Gateway.requests
	inFlight      int     // its attempts in flight
	queued        int     // its requests that wait for a server and have had no attempt

	generation    byte    // of this record; a new one shows peers that used has started anew
	used          float64 // units of requests first sent from here; never decreases
	refundedUnits float64 // units by which requests drew less than estimated, still to be subtracted from future use

	lastQuery         ownerQuery // last query about the customer, in the owner's record
	lastQueryAdmitted bool       // the answer to lastQuery

	pendingPeers uint64                          // peers that have an update to receive, as bits by peerIndex
	peers        [2*nearbyDistance + 1]peerUsage // by peerIndex
}

// addUsed counts units as used. A negative number refunds units. The count that peers read must not decrease, so
// refunded units are held back until as many have been used again.
func (c *customer) addUsed(units float64) {
	c.refundedUnits -= units
	if c.refundedUnits < 0 {
		c.used, c.refundedUnits = c.used-c.refundedUnits, 0
	}
}

// withinHardLimit reports whether units are within this gateway's share of the hard limit.
func (c *customer) withinHardLimit(p Plan, units float64) bool {
	return p.HardLimitRate <= 0 || c.hardLimit.Tokens >= units
}

// peerUsage holds a peer's last update of its use of a customer's quota, and what the peer was last sent.
type peerUsage struct {
	incarnation int // of the peer
	receivedAt  Time
	generation  byte // of the peer's record
	used        float64
	inFlight    byte    // attempts and queued requests at the peer
	deficit     byte    // of its share of the hard limit, from ratelimit.BucketShare.Receive; 0 once it was sent an entry
	ownUsedSent float64 // customer.used as last sent to the peer
}

// group is the requests of one class and plan, the unit of load shedding.
type group struct {
	value         float64 // RUDA's priority v: its share of the sum of all groups' values
	latency       pushSum // of groupRequests and groupSeconds, over all gateways
	shed          bool    // its requests are refused
	capacityShare float64 // share of the gateway's capacity that it may use
}

// The figures of a group's pushSum.
const (
	groupRequests = iota // attempts sent
	groupSeconds         // their latencies
)

// quota returns the rate and burst of a plan's token bucket.
func (p Plan) quota() ratelimit.Limit { return ratelimit.Limit{Rate: p.Rate, Burst: p.Burst} }
