// Package policy decides, for one gateway among several that share customers' quotas, which requests are admitted,
// which server each attempt goes to, and when an attempt is retried, hedged or cancelled.
//
// The package does no I/O and reads no clock: events are method calls on a Gateway that carry the time, and actions
// are calls on a Host. The same events with the same seed give the same actions; internal/emulator and the tests rely
// on this to replay a run by its seed. Methods must not be called concurrently; internal/core serialises them under
// its mutex.
//
// # Life of a request
//
// Request charges the customer's quota and either refuses the request (Host.Refuse), sends a first attempt
// (Host.Send) or queues it until a server may take it. Outcome handles the end of each attempt, which may lead to a
// further attempt. A request gets exactly one final answer: the answer of a server, Host.Refuse (the request has not
// run or may run again, so the client may repeat it) or Host.Fail (it may have run).
//
// # Invariants
//
//   - A request that is not idempotent gets no further attempt once an attempt may have run. A request that is
//     idempotent by key gets further attempts only at servers that drop each other's repeats, and only within the
//     deduplication window (Gateway.mayRunOn).
//   - Host.Refuse is called only where no attempt may have run, or where a repeat is harmless.
//   - In any Settings.SlowStartWindow, all gateways together send a server that has just started at most
//     Settings.SlowStartMultiple times what it can do (Gateway.withinSlowStartBudget, ratelimit.SlowStartBudget).
//   - All gateways together admit no more of a customer than its hard limit, whichever messages are lost and whichever
//     gateways restart (ratelimit.BucketShare). The quota below the hard limit is kept as closely as peers' updates
//     allow.
//
// # Quotas
//
// A customer's requests arrive at a set of gateways with consecutive numbers. If that set is small
// (Gateway.sharesBucket), its gateways draw on one token bucket: each keeps a copy and sends the others what it has
// drawn, up to 30 times a second. While a gateway doesn't receive messages from most of its nearby peers, it limits
// the customer to a part of the bucket (Gateway.drawsOnWholeBucket). A customer with a larger set has an owner among
// its gateways, which keeps the bucket and is queried about each request. Sums over all gateways, such as a customer's
// demand, are estimated by push-sum gossip: Kempe, Dobra and Gehrke, "Gossip-Based Computation of Aggregate
// Information", FOCS 2003.
//
// # Overload
//
// Each server has a capacity, in attempts of this gateway. It grows while the 90th percentile of the server's latency
// stays below a share of the target, and shrinks otherwise. While requests are late and the fleet is loaded, or while
// the capacity is used up, groups of requests (one for each class and plan) are shed in the order of their RUDA
// scores (internal/ruda), and groups with a high score may use less of the capacity. The RUDA paper leaves the
// definition of a group's resource to its users; here it is the latency of the group's attempts, summed over all
// gateways.
//
// # Servers
//
// An attempt goes to the server with the least expected wait. Servers are ejected after consecutive failures or by
// their share of failures, for a time that doubles with each ejection (outlier ejection, as in Envoy), unless more than
// half of the servers are ejected. Servers that have just started warm up under a budget (slow start). Retries and
// hedged requests (Dean and Barroso, "The Tail at Scale", CACM 2013) are bounded by budgets that fill with each
// request.
//
// # Files
//
// This file is the interface. The decisions are made in the following files, best read in this order:
//
//   - admission.go, quota.go, customers.go, bucket_sharing.go, owner.go: admission of requests, and quotas.
//   - overload.go, capacity.go: overload detection, load shedding, and the limit on attempts in flight.
//   - server_list.go, selection.go, ejection.go, slow_start.go: the choice of a server for an attempt.
//   - dispatch.go, outcomes.go, retries.go, answers.go: the course of a request up to its final answer.
//   - timers.go, peer_messages.go: the handling of timers and of messages from peers.
//
// The other files make no decisions: state.go and records.go hold the state, decay.go its decaying sums, attempts.go
// the accounting of attempts as they begin and end, estimates.go the estimates from servers' answers, reconcile.go the
// correction of estimated units, peers.go the updates between gateways, messages.go the format of their messages,
// state_transfer.go the export of state to a successor, balances.go the balances that outlast a process, report.go
// statistics, and settings.go the checks of settings.
//
// The constants that tune a decision are at the top of its file. None of them depends on a deployment. In their
// comments, "target" is the shortest latency target of all classes, unless a class is named.
package policy

import "time"

// Time is a clock reading: the time since an origin that stays the same while a gateway lives.
type Time = time.Duration

// RequestID identifies one request of a client. It is never reused while a gateway lives.
type RequestID uint64

// ServerID identifies a server. It implies nothing about the server's zone, kind or age.
type ServerID uint64

// CustomerID identifies the customer whose quota a request is charged to.
type CustomerID uint64

// Idempotency is the effect of running a request more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // servers within a DedupScope drop repeats for the class's DedupWindow
	NotIdempotent                      // must not run twice
)

// DedupScope is the set of servers that drop each other's repeats of a request that is idempotent by key.
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
	LatencyTarget time.Duration // an answer within it earns the full value; overload is detected by it
	Deadline      time.Duration // how long a client waits, over all attempts
	Idempotency   Idempotency
	DedupScope    DedupScope    // for IdempotentByKey
	DedupWindow   time.Duration // for IdempotentByKey: how long repeats are dropped
	Value         float64       // value of an answer in time; the weight of the class's groups when load is shed
	LateValue     float64       // share of the value that a late answer earns; not used in this package
	Streaming     bool          // the answer is a stream, which is never hedged or cancelled for being slow
}

// Plan is a quota. It applies to each customer of the plan separately, over all gateways together.
type Plan struct {
	Name            string
	Rate, Burst     float64 // of the token bucket: units a second, and units; a rate of 0 means no quota
	MaxInFlight     int     // limit on attempts in flight at once; 0 means no limit
	ValueMultiplier float64 // multiplies Class.Value for the plan's requests

	// A request beyond the quota is admitted only if its value exceeds its cost; both are shares of its value.
	OverQuotaValue, OverQuotaCost float64

	// The hard limit, in units a second and units, is never exceeded, not even while peers can't be reached. A rate of 0
	// means no hard limit. HardLimitSlack is the excess in units that the operator tolerates: if a peer's grant from its
	// share arrives so late that it could cause a greater excess, it is dropped.
	HardLimitRate, HardLimitBurst float64
	HardLimitSlack                float64
}

// Settings are fixed while a Gateway lives.
type Settings struct {
	Self, Gateways, Zone int // this gateway's number, from 0; the number of gateways; this gateway's zone
	Classes              []Class
	Plans                []Plan
	Tick                 time.Duration // resolution of events and timers; deadlines are met two ticks early
	LoadReportFields     []string      // the fields of Outcome.LoadReport, in order; only "latency_ms" is used
	Subscribe            bool          // server lists arrive only after Host.Watch

	// What the site permits: a second attempt while the first is in flight, messages to peers, health checks (this package
	// makes none), and cancelling attempts.
	Hedging, Peers, Probes, Cancel bool

	MaxAttempts     int           // of one request, including hedged ones; at least one is made
	MaxRetryAfter   time.Duration // the longest wait that a refusal asks for; 0 means that it asks for none
	PeerMessageRate float64       // messages a second that a gateway accepts from its peers; 0 means no limit
	CrossZoneCost   float64       // cost of an attempt that crosses zones; not used in this package
	MaxUnits        float64       // the most units that an answer may report as drawn by its request

	DrainGrace        time.Duration // how long a draining server may still be sent requests; not used in this package
	WarmupTime        time.Duration // how long after its start a server may be slow; 0 means no warm-up
	SlowStartWindow   time.Duration // the window over which a warming server's budget is counted
	ListRefreshWithin time.Duration // a quarter of it bounds the backoff after a failed watch of the server list
	InitialWarmth     float64       // share of its full capacity that a server has right after its start
	SlowStartMultiple float64       // a warming server is sent at most this multiple of what it can do
}

// Request is one request of a client.
type Request struct {
	ID           RequestID
	Class        int // index in Settings.Classes
	Plan         int // index in Settings.Plans
	Customer     CustomerID
	Deadline     Time    // when the client stops waiting
	Units        float64 // the units that it draws from the quota; an estimate, which Outcome.Units corrects
	SetSize      int     // the number of gateways that serve the customer
	FirstGateway int     // number of the first of these gateways; the others have the numbers that follow
	ClientRetry  bool    // the client says that it repeats an earlier request; not used in this package

	// BodyPending means that the body is still being received. Until Gateway.BodySent is called, neither the deadline nor
	// the latency counts, and the request can't be hedged.
	BodyPending bool
}

// ServerState is a server's state as reported by discovery.
type ServerState uint8

// The states of a server. Only servers in state Ready are sent requests.
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
	Weight           float64 // not used in this package
	StartedAt        Time    // start of the server's process; another value means another process, 0 means long ago
}

// ListKind is how a server list is to be interpreted.
type ListKind uint8

// The kinds of list.
const (
	ListChanges ListKind = iota // the entries that were added or changed
	ListFull                    // all servers; those that are missing are no longer listed
	ListCached                  // like ListFull, from the cache of an earlier process
	ListFailed                  // no list: the watch failed
)

// Ending is how an attempt ended. Rejected, NotConnected and NeverSent mean that the request has not run at its server.
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
	NeverSent                        // nothing was written, for a reason at this gateway
)

// Prior is an estimate of a server that is used until this gateway has measured the server's answers itself. It doesn't
// affect whether a server is considered usable.
type Prior struct {
	ID                   ServerID
	StartedAt            Time    // identifies the server process that the estimate is for
	RelativeLatency      float64 // latency divided by the typical latency of the class: 1 is like the other servers
	Weight               float64 // the number of observed attempts that the estimate counts as
	Capacity             float64 // in attempts of this gateway; 0 means unknown
	SlowStartBudgetTaken bool    // other gateways are using the server's warm-up budget
}

// Load is the load that other gateways are assumed to put on a server.
type Load struct {
	ID       ServerID
	Attempts float64 // attempts in flight, plus a penalty for poor servers
}

// OwnLoad is the load that this gateway puts on a server, and how its latest attempts there ended.
type OwnLoad struct {
	InFlight           int     // attempts
	Failures, Attempts float64 // decaying counts of the attempts that may have run: the failed ones, and all
}

// Observation is what this gateway has measured at a listed server.
type Observation struct {
	ID              ServerID
	StartedAt       Time
	LatencySamples  float64       // decaying count of the attempts that RelativeLatency is the mean of
	RelativeLatency float64       // latency divided by the typical latency of such requests; 0 without samples
	LastServed      Time          // when the last attempt was served; 0 means never
	ServedTotal     int           // attempts served since the server's process started
	InFlight        int           // attempts in flight
	Overdue         int           // attempts in flight for much longer than is typical
	NoResponseFor   time.Duration // age of the oldest overdue attempt since which nothing was served; 0: none
	EjectedFor      time.Duration // how much longer the server stays ejected
	Capacity        float64       // in attempts of this gateway; 0 means unknown
	Warmth          float64       // least share of its full capacity that it has, by the time since its start
	SlowStartSends  int           // attempts sent in the last SlowStartWindow, while the server warmed up
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
	Units        float64   // the units that the request drew, as reported by the server; 0 if it reported none
	LoadReport   []float32 // the server's values for Settings.LoadReportFields; nil if it sent none
}

// Host carries out a gateway's decisions. Its methods are called within the Gateway's and must not call back.
type Host interface {
	Send(id RequestID, to ServerID, until Time) // start an attempt, which ends at until
	Refuse(id RequestID, wait time.Duration)    // final answer: it hasn't run or may run again; wait before a repeat
	Fail(id RequestID)                          // final answer: it may have run
	Cancel(id RequestID, attempt int)           // stop waiting for an attempt; its Outcome follows
	Timer(tag uint64, after time.Duration)      // call Gateway.Timer with this tag when the time has passed
	SendToPeer(peer int, message []byte)        // send a message to one peer, or to all if peer is negative
	Watch()                                     // subscribe to server lists
	Log(text string)                            // write a log line
}

// TimerRequest returns the request that a timer is for, or 0 if it is for none. Once the request has its final answer,
// the timer has no effect and need not be delivered.
func TimerRequest(tag uint64) RequestID { return RequestID(tag >> tagBits) }
