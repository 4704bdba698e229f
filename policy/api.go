// Package policy decides for one gateway of a quota-keeping set: admit or refuse, which server, when to try
// again. It does no input or output: events come in as method calls that carry the time, actions go out
// through a Host. This file is the whole interface; every decision is in policy.go.
package policy

import "time"

// Time is a clock reading: the distance from an origin that never moves within a gateway's life.
type Time = time.Duration

// RequestID names one client try. It is never used twice within a gateway's life.
type RequestID uint64

// ServerID names a server. It tells nothing of zone, kind or age.
type ServerID uint64

// CustomerID names the account a request belongs to.
type CustomerID uint64

// Effect tells what running a request twice would do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repeats are dropped by the servers of a group, for a while
	NotIdempotent                      // must not run twice
)

// Scope tells which servers drop each other's repeats of a keyed request.
type DedupScope uint8

// The scopes of keyed classes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer inside it earns the full worth
	Deadline      time.Duration // how long a client waits over all its tries
	Idempotency   Idempotency
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long repeats of a keyed request are dropped
	Value         float64
	LateValue     float64 // share of the worth that a late answer earns
	Streaming     bool
}

// Plan is a quota that holds for each of its customers over all gateways together.
type Plan struct {
	Name                          string
	Rate, Burst                   float64 // units a second and the most units stored; rate 0: no such quota
	MaxInFlight                   int     // most attempts out at once; 0: no such quota
	ValueMultiplier               float64 // multiplies the worth
	OverQuotaValue, OverQuotaCost float64 // what a try beyond the quota earns and costs, as shares of its worth
	HardLimitRate, HardLimitBurst float64 // the hard ceiling; rate 0: none
	HardLimitSlack                float64
}

// Settings is what a gateway is told at its start.
type Settings struct {
	Self, Gateways, Zone int
	Classes              []Class
	Plans                []Plan
	Tick                 time.Duration // events come in no more often than this
	LoadReportFields     []string      // what load reports hold, in order: "inflight", "queue", "util", "latency_ms"
	Subscribe            bool          // server lists come only after Watch

	MaxAttempts                    int
	Hedging, Peers, Probes, Cancel bool          // what the site allows
	MaxRetryAfter                  time.Duration // longest wait that a refusal may name; 0: none
	PeerMessageRate                float64       // messages a second that a gateway takes in
	CrossZoneCost                  float64       // cost of an attempt that crosses zones
	MaxUnits                       float64

	DrainGrace, WarmupTime, ColdWindow, ListRefreshWithin time.Duration
	InitialWarmth, ColdMultiple                           float64
}

// Request is one client try.
type Request struct {
	ID           RequestID
	Class        int
	Plan         int
	Customer     CustomerID
	Deadline     Time    // when the client gives this try up
	Units        float64 // what it draws from the quota, a guess where the answer tells more
	SetSize      int     // how many gateways serve the customer
	FirstGateway int     // the first of them
	ClientRetry  bool
	BodyPending  bool // its body is still coming: until Came no time runs, and no second copy can be made
}

// ServerState is what discovery knows of a server.
type ServerState uint8

// The states of a server.
const (
	Ready ServerState = iota
	Departed
	Draining
)

// ServerInfo is one entry of a server list.
type ServerInfo struct {
	ID               ServerID
	Zone, Kind, Cell int
	State            ServerState
	Weight           float64
	StartedAt        Time // when it last started; 0: long ago
}

// ListKind tells how to read a server list.
type ListKind uint8

// The kinds of list.
const (
	ListChanges ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Ending tells how an attempt ended.
type Ending uint8

// The endings of an attempt.
const (
	Served Ending = iota + 1
	Errored
	Rejected
	TimedOut
	NotConnected
	ConnectionLost
	Cancelled
	NeverSent
)

// Prior is what is guessed of a server before this gateway has seen it answer. It never makes a server usable.
type Prior struct {
	ID              ServerID
	StartedAt       Time    // the life it is for
	RelativeLatency float64 // latency over the typical one of each class: 1 is like the others
	Weight          float64 // in attempts: how many of them the guess counts for
	Capacity        float64 // attempts of ours that the server may hold; 0: not known
	ColdBudgetTaken bool    // others are at work on its cold budget
}

// Load is what other gateways are taken to have out at a server, in attempts, and what it is worse than that.
type Load struct {
	ID       ServerID
	Attempts float64
}

// Own is what this gateway has at a server: attempts out, and of the latest ones that may have run, fading, how many
// failed and were tried.
type OwnLoad struct {
	InFlight           int
	Failures, Attempts float64
}

// Observation is what this gateway has itself seen of a listed server.
type Observation struct {
	ID              ServerID
	StartedAt       Time
	LatencySamples  float64       // that count for the pace, fading
	RelativeLatency float64       // latency over the typical one of each class; 0 where nothing counts
	LastServed      Time          // when it last answered with a 200; 0: never
	ServedTotal     int           // how often it did
	InFlight        int           // attempts out
	Overdue         int           // of them such as take much longer than is typical
	NoResponseFor   time.Duration // how long the oldest of these has been out, where nothing came since; 0: not silent
	EjectedFor      time.Duration // how long it stays ejected
	Capacity        float64       // attempts that it may hold; 0: not known
	Warmth          float64       // least share of its capacity that it has
	ColdSends       int           // attempts sent in the last window of the cold rule
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Server       ServerID
	Elapsed      time.Duration
	Ending       Ending
	Answered     bool    // the request has its final answer
	BodyConsumed bool    // what is sent can't be sent again
	Units        float64 // true units, 0 where not told
	LoadReport   []float32
}

// Host carries out a gateway's decisions.
type Host interface {
	Send(id RequestID, to ServerID, until Time) // start an attempt
	Refuse(id RequestID, wait time.Duration)    // final answer: trying again is harmless
	Fail(id RequestID)                          // final answer: nothing is promised
	Cancel(id RequestID, attempt int)           // stop waiting for an attempt
	Timer(tag uint64, after time.Duration)      // call Gateway.Timer later
	Tell(peer int, message []byte)              // message one peer, or all where peer < 0
	Watch()                                     // ask for server lists from now on
	Log(text string)                            // a line for the people on call
}

// TimerOf gives the request that a timer is for, 0 where it is for none. Once that has its final answer the timer
// does nothing any more and need not come.
func TimerRequest(tag uint64) RequestID { return RequestID(tag >> tagBits) }
