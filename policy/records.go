package policy

import (
	"slices"

	"sprucelane.example/sprucelane/internal/ratelimit"
)

// The records of requests, attempts, servers, customers and groups. This file decides nothing.

// request is a request of a client that has no final answer yet, or that has attempts in flight.
type request struct {
	Request
	arrivedAt    Time
	attempts     int        // started so far, or MaxAttempts where no further one is possible
	inFlight     []*attempt // oldest first
	mayHaveRun   []*attempt // ended, in a way that leaves open whether they ran
	tried        []*server
	customer     *customer
	closed       bool // it has its final answer
	streaming    bool // its response has begun
	overQuota    bool // admitted beyond the quota: its units are not taken from the balance
	reconciled   bool // its units by the answer have been accounted for
	charged      bool // its units are taken from the balance and the hard limit, where they come out of these
	queued       bool // it waits in Gateway.queue and has had no attempt
	limitAtOwner bool // its units come out of the share of the hard limit that its customer's owner holds
	owner        int  // gateway that keeps the customer's bucket; below 0 this one's copy or part decides
	queries      int  // how often the owner was asked
	queryToken   uint32
}

// setQueued notes whether a request is charged and not yet sent. Meanwhile its units are reserved: the bucket must
// not refill the room that they have left, or more than its burst would go out at once.
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

// wasTried tells whether an attempt of the request was sent to a server.
func (r *request) wasTried(s *server) bool { return slices.Contains(r.tried, s) }

// attempt is one sending of a request to a server.
type attempt struct {
	request     *request
	number      int // among the request's attempts, from 0
	server      *server
	sentAt      Time // moved on by a pause of this process, and when a pending body is complete
	chosenAt    Time // never moved: deduplication windows are counted from it
	index       int  // in Gateway.inFlight
	overtakenBy int  // how many attempts that were sent later to its server have been served
	suspected   bool // it is in flight for far too long, and nothing was served by its server meanwhile
	lost        bool // it occupies no slot at its server: lost, suspected to be, or its body is pending
	countedSlow bool // by learnCapacity
	countedLate bool // by countLateness
}

// untimed tells whether the time that an attempt takes says nothing of its server.
func (a *attempt) untimed() bool { return a.request.streaming || a.request.BodyPending }

// server is a server that is listed, has attempts in flight, or was lately sent some while it warmed up.
type server struct {
	ServerInfo
	listed              bool         // it may be sent requests
	inFlight            int          // attempts of this gateway
	lost                int          // those of them that occupy no slot
	suspectedAttempts   int          // those of them that are suspected to be lost
	peersInFlight       float64      // attempts of other gateways, by SetPeerLoads
	reportedServiceTime float64      // seconds without waiting, by the server's last load report; 0 means unknown
	reportedAt          Time         // of that report
	relativeLatency     decayingMean // latency over the typical one of such a request
	failures            decayingMean // 1 for a failed attempt, 0 for a served one
	wasted              decayingMean // the same, over the attempts that may have run
	answers             decayingMean // its weight counts the served attempts
	consecutiveFailures int
	ejectedUntil        Time
	ejections           int                       // doubles the next ejection; falls with served attempts
	rejectedUntil       []Time                    // by group: until when it goes elsewhere, as the server has rejected it
	slowStartBudget     ratelimit.SlowStartBudget // of attempts while it warms up
	capacity            float64                   // in attempts of this gateway; 0 means not yet known
	lastServed          Time                      // when an attempt was last served; 0 means never
	servedTotal         int                       // attempts served since its process started
}

// load gives the attempts of this gateway that occupy slots at a server.
func (s *server) load() float64 { return float64(s.inFlight - s.lost) }

// customer is what is known of a customer, or, in its owner's second record of it, of the bucket that the owner keeps
// (ownerKey).
type customer struct {
	id            CustomerID
	key           uint64 // of the customer in messages
	seenHere      bool   // a request of its own has come in here; else only peers have named it
	plan          int
	setSize       int // how many gateways serve it
	firstGateway  int
	lastSeen      Time
	balance       float64               // units of the quota; below 0 they were admitted ahead of the refill
	hardLimit     ratelimit.BucketShare // this gateway's share of the hard limit
	limitFilled   bool                  // that part was given its burst when the whole fleet started
	reservedUnits float64               // of requests that are queued, or whose bodies are pending
	refilledAt    Time                  // balance and hardLimit are as of then
	demand        decayingMean
	sharedDemand  pushSum // units asked at all its gateways, and the weight
	requests      int     // in Gateway.requests
	inFlight      int     // attempts
	queued        int     // requests that wait and have had no attempt

	generation    byte    // of this record; tells peers that used has started anew
	used          float64 // units first sent on from here, which only rises
	refundedUnits float64 // units that were fewer than estimated, to be taken off what is used next

	lastQuery         ownerQuery // that a peer has asked here
	lastQueryAdmitted bool       // the answer to it

	pendingPeers uint64                          // peers that have an update to receive, as bits by peerSlot
	peers        [2*nearbyDistance + 1]peerUsage // by peerSlot
}

// addUsed counts units as used; a negative number takes some back. The count that peers read must not fall, so what
// is taken back is held until as much has been used again.
func (c *customer) addUsed(units float64) {
	c.refundedUnits -= units
	if c.refundedUnits < 0 {
		c.used, c.refundedUnits = c.used-c.refundedUnits, 0
	}
}

// withinHardLimit tells whether units stay within this gateway's share of the hard limit.
func (c *customer) withinHardLimit(p Plan, units float64) bool {
	return p.HardLimitRate <= 0 || c.hardLimit.Tokens >= units
}

// peerUsage is what a peer has last said of its use of a customer's quota, and what it was sent.
type peerUsage struct {
	incarnation int // of the peer
	receivedAt  Time
	generation  byte // of the peer's record
	used        float64
	inFlight    byte    // attempts and queued requests at the peer
	deficit     byte    // what its share of the hard limit lacks, as ledger.BucketShare.Receive gave it; 0 once answered
	ownUsedSent float64 // customer.used as the peer was last sent it
}

// group is the requests of one class and plan, the unit of load shedding.
type group struct {
	value         float64 // RUDA's priority v: the share of all groups' values
	latency       pushSum // of groupRequests and groupSeconds, over all gateways
	shed          bool    // its requests are refused
	capacityShare float64 // share of the gateway's capacity that it may use
}

// The figures of a group's pushSum.
const (
	groupRequests = iota // attempts sent
	groupSeconds         // their latencies
)

// quota gives a plan's token bucket.
func (p Plan) quota() ratelimit.Limit { return ratelimit.Limit{Rate: p.Rate, Burst: p.Burst} }
