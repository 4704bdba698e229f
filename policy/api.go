// Package policy decides, for one gateway among several that share customers' quotas, which requests are admitted,
// which server each attempt goes to, and when an attempt is retried, hedged or cancelled.
//
// The package does no input or output and reads no clock: events are method calls on a Gateway that carry the time,
// and actions are calls on a Host. The same events with the same seed give the same actions, which is what
// internal/emulator and the tests rely on to replay a run by its seed. Methods must not be called concurrently;
// internal/core serialises them under its mutex.
//
// # Life of a request
//
// Request charges the customer's quota and either refuses the request (Host.Refuse), sends a first attempt
// (Host.Send) or queues it until a server may take it. Outcome reports how each attempt ended; it may lead to a
// further attempt. A request gets exactly one final answer: the answer of a server, Host.Refuse (the request has not
// run, so the client may repeat it) or Host.Fail (it may have run).
//
// # Invariants
//
//   - A request that is not idempotent never has a second attempt once one may have run. One that is idempotent by
//     its key has further attempts only at servers that drop each other's repeats, and only within the time for which
//     they do (Gateway.mayRunOn).
//   - Host.Refuse is called only where no attempt may have run, or where a repeat is harmless.
//   - Within any window all gateways together send a server that has just started no more than a multiple of what it
//     can do (Gateway.withinSlowStartBudget, ledger.SlowStartBudget).
//   - All gateways together admit no more of a customer than its hard limit, whichever messages are lost and gateways
//     restart (ledger.BucketShare). The quota below the hard limit is kept as closely as peers' updates allow.
//
// # Quotas
//
// A customer's requests come in at a set of gateways that stand next to each other in the numbering. Where that set
// is small (Gateway.sharesBucket) its gateways draw on one token bucket: each keeps a copy and tells the others what
// it has drawn, up to 30 times a second. While a gateway doesn't hear most of its nearby peers it holds the customer
// to a part of the bucket. A customer with a larger set has an owner among its gateways, which keeps the bucket and
// is asked about each request. Sums over all gateways, such as a customer's demand, are estimated by push-sum gossip:
// Kempe, Dobra and Gehrke, "Gossip-Based Computation of Aggregate Information", FOCS 2003.
//
// # Overload
//
// Each server has a capacity, in attempts of this gateway, that grows while the 90th percentile of its latency stays
// below a share of the target and shrinks when it doesn't. While requests are late and the fleet is loaded, or while
// the capacity is used up, groups of requests (one for each class and plan) are shed in the order of their RUDA
// scores (internal/ruda), and groups with a high score have less of the capacity. A group's resource, which the paper
// leaves to its users, is the latency of its attempts, summed up over all gateways.
//
// # Servers
//
// An attempt goes to the server with the least expected wait. Servers are ejected after consecutive failures or by
// their share of failures, for a time that doubles (outlier ejection, as in Envoy), unless most servers look
// unhealthy. Servers that have just started warm up under a budget (slow start). Retries and hedged requests (Dean
// and Barroso, "The Tail at Scale", CACM 2013) are bounded by budgets that fill with each request.
//
// # Files
//
// This file is the interface; read it first. Then the files that decide, in this order, each of which begins with the
// question that it answers:
//
//   - admission.go, quota.go, customers.go, bucket_sharing.go, owner.go: is a request taken in, and charged to whom?
//   - overload.go, capacity.go: is there overload, which groups are shed, how many attempts may be in flight?
//   - server_list.go, selection.go, ejection.go, slow_start.go: which server does an attempt go to?
//   - dispatch.go, outcomes.go, retries.go, answers.go: what follows for a request, up to its final answer?
//   - timers.go, peer_messages.go: what do timers and the messages of peers set off?
//
// The other files decide nothing: state.go and records.go hold the state, decay.go the decaying sums in it, attempts.go
// its changes as attempts begin and end, estimates.go what is estimated from answers, reconcile.go the correction of
// estimated units, peers.go and messages.go how gateways see each other and the format of their messages,
// state_transfer.go the export of state to a successor, balances.go the balances that outlast a process, report.go
// statistics, settings.go the checks of settings.
//
// The constants that tune a decision stand at the top of its file. None of them depends on a deployment. In their
// comments "target" is the shortest latency target of all classes, unless a class is named.
package policy

import "time"

// Time is a clock reading: the time since an origin that stays the same while a gateway lives.
type Time = time.Duration

// RequestID names one request of a client. It is never reused while a gateway lives.
type RequestID uint64

// ServerID names a server. It says nothing of the server's zone, kind or age.
type ServerID uint64

// CustomerID names the customer that a request's quota is charged to.
type CustomerID uint64

// Idempotency says what running a request twice does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // servers within a DedupScope drop repeats for the class's DedupWindow
	NotIdempotent                      // must not run twice
)

// DedupScope says which servers drop each other's repeats of a request that is idempotent by its key.
type DedupScope uint8

// The scopes of deduplication.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within it earns the full value; overload is judged by it
	Deadline      time.Duration // how long a client waits, over all attempts
	Idempotency   Idempotency
	DedupScope    DedupScope    // for IdempotentByKey
	DedupWindow   time.Duration // for IdempotentByKey: how long repeats are dropped
	Value         float64       // what an answer in time is worth; weighs groups when load is shed
	LateValue     float64       // share of the value that a late answer earns; not used here
	Streaming     bool          // the answer is a stream, which is never hedged or cancelled for being slow
}

// Plan is a quota, which holds for each of its customers over all gateways together.
type Plan struct {
	Name            string
	Rate, Burst     float64 // of the token bucket: units a second, and units; a rate of 0 means no quota
	MaxInFlight     int     // most attempts in flight at once; 0 means no limit
	ValueMultiplier float64 // of the values of the plan's requests

	// A request beyond the quota is admitted only if its value exceeds its cost; both are shares of its value.
	OverQuotaValue, OverQuotaCost float64

	// The hard limit is never exceeded, also while peers can't be reached: units a second, and units. A rate of 0 means
	// no hard limit. HardLimitSlack is the excess in units that the operator tolerates: a peer's grant of its part that
	// is so late that it could cause a greater excess is dropped.
	HardLimitRate, HardLimitBurst float64
	HardLimitSlack                float64
}

// Settings are fixed while a Gateway lives.
type Settings struct {
	Self, Gateways, Zone int // this gateway's number, from 0; the number of gateways; this gateway's zone
	Classes              []Class
	Plans                []Plan
	Tick                 time.Duration // resolution of events and timers; deadlines are met two ticks early
	LoadReportFields     []string      // order of Outcome.LoadReport; "latency_ms" is the only one that is used
	Subscribe            bool          // server lists come only after Host.Watch

	// What the site permits: second attempts beside the first, messages to peers, health checks (which are not made
	// here), and cancelling attempts.
	Hedging, Peers, Probes, Cancel bool

	MaxAttempts     int           // of one request, hedged ones included; at least one is made
	MaxRetryAfter   time.Duration // longest wait that a refusal names; 0 means that it names none
	PeerMessageRate float64       // messages a second that a gateway takes in from its peers; 0 means no limit
	CrossZoneCost   float64       // cost of an attempt that crosses zones; not used here
	MaxUnits        float64       // most units that an answer may say a request drew

	DrainGrace        time.Duration // how long a draining server may still be sent requests; not used here
	WarmupTime        time.Duration // how long after its start a server may be slow; 0 means no warm-up
	SlowStartWindow   time.Duration // over which the budget of a server that warms up is counted
	ListRefreshWithin time.Duration // bounds the backoff after a failed watch of the server list: a quarter of it here
	InitialWarmth     float64       // share of its full capacity that a server has right after its start
	SlowStartMultiple float64       // a server that warms up is sent at most this multiple of what it can do
}

// Request is one request of a client.
type Request struct {
	ID           RequestID
	Class        int // index in Settings.Classes
	Plan         int // index in Settings.Plans
	Customer     CustomerID
	Deadline     Time    // when the client stops waiting
	Units        float64 // what it draws from the quota; an estimate, which Outcome.Units corrects
	SetSize      int     // how many gateways serve the customer
	FirstGateway int     // number of the first of them; the others follow it
	ClientRetry  bool    // the client says that it repeats an earlier request; not used here

	// BodyPending means that the body is still being received: until BodySent neither the deadline nor latency counts,
	// and the request can't be hedged.
	BodyPending bool
}

// ServerState is a server's state by discovery.
type ServerState uint8

// The states of a server. Only Ready ones are sent requests.
const (
	Ready ServerState = iota
	Departed
	Draining
)

// ServerInfo is an entry of a server list.
type ServerInfo struct {
	ID               ServerID
	Zone, Kind, Cell int
	State            ServerState
	Weight           float64 // not used here
	StartedAt        Time    // of the server's process; another value means another process. 0 means long ago
}

// ListKind says how to read a server list.
type ListKind uint8

// The kinds of list.
const (
	ListChanges ListKind = iota // entries that were added or changed
	ListFull                    // all servers; those that are missing are no longer listed
	ListCached                  // as ListFull, from a cache of an earlier process
	ListFailed                  // no list: the watch failed
)

// Ending says how an attempt ended. Rejected, NotConnected and NeverSent mean that the request has not run there.
type Ending uint8

// The endings of an attempt.
const (
	Served         Ending = iota + 1 // answered with success
	Errored                          // answered with an error
	Rejected                         // the server refused it
	TimedOut                         // no answer at the deadline
	NotConnected                     // there was no connection, or it broke before the request was written
	ConnectionLost                   // the connection broke after the request was written
	Cancelled                        // by Host.Cancel, or by the client
	NeverSent                        // nothing was written, for a reason on this side
)

// Prior is an estimate of a server that stands in until this gateway has seen it answer. It changes no decision on
// whether a server is usable.
type Prior struct {
	ID                   ServerID
	StartedAt            Time    // the server process that the estimate is of
	RelativeLatency      float64 // latency over the typical one of its class: 1 is like the others
	Weight               float64 // in attempts: how many observed ones the estimate counts for
	Capacity             float64 // in attempts of this gateway; 0 means unknown
	SlowStartBudgetTaken bool    // other gateways are using the server's warm-up budget
}

// Load is the load that other gateways are assumed to put on a server.
type Load struct {
	ID       ServerID
	Attempts float64 // in flight, with a penalty for poor servers added
}

// OwnLoad is the load that this gateway puts on a server, and how its latest attempts there ended.
type OwnLoad struct {
	InFlight           int     // attempts
	Failures, Attempts float64 // decaying counts of the attempts that may have run: those that failed, and all
}

// Observation is what this gateway has measured at a listed server.
type Observation struct {
	ID              ServerID
	StartedAt       Time
	LatencySamples  float64       // decaying count of the attempts behind RelativeLatency
	RelativeLatency float64       // latency over the typical one of its class; 0 where there are no samples
	LastServed      Time          // when the last attempt was served; 0 means never
	ServedTotal     int           // attempts served since the server's process started
	InFlight        int           // attempts
	Overdue         int           // of these, the ones that take much longer than is typical
	NoResponseFor   time.Duration // age of the oldest overdue attempt since which nothing was served; 0: none
	EjectedFor      time.Duration // how long it stays ejected
	Capacity        float64       // in attempts of this gateway; 0 means unknown
	Warmth          float64       // least share of its full capacity that it has, by the time since its start
	SlowStartSends  int           // attempts sent in the last SlowStartWindow while it warmed up
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int // number of the attempt, from 0
	Server       ServerID
	Elapsed      time.Duration
	Ending       Ending
	Answered     bool      // the request has its final answer
	BodyConsumed bool      // the request's body can't be sent again
	Units        float64   // the units that it drew, by the server; 0 where the server didn't say
	LoadReport   []float32 // of the server, by Settings.LoadReportFields; nil where it sent none
}

// Host carries out a gateway's decisions. Its methods are called within the Gateway's and must not call back.
type Host interface {
	Send(id RequestID, to ServerID, until Time) // start an attempt, which ends at until
	Refuse(id RequestID, wait time.Duration)    // final answer: it hasn't run or may run again; wait before a repeat
	Fail(id RequestID)                          // final answer: it may have run
	Cancel(id RequestID, attempt int)           // stop waiting for an attempt; its Outcome follows
	Timer(tag uint64, after time.Duration)      // call Gateway.Timer with this tag, later
	SendToPeer(peer int, message []byte)        // send a message to one peer, or to all where peer is negative
	Watch()                                     // ask for server lists from now on
	Log(text string)                            // write a log line
}

// TimerRequest gives the request that a timer is for, 0 where it is for none. Once the request has its final answer
// the timer has no effect and need not be delivered.
func TimerRequest(tag uint64) RequestID { return RequestID(tag >> tagBits) }
