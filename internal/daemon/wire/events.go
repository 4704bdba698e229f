package wire

import "sprucelane.example/sprucelane/policy"

// EventCode says what an event is, and which fields of Event it has.
type EventCode byte

// The codes of events.
const (
	// GatewayStarted: a gateway starts; Seed, Settings.
	GatewayStarted EventCode = 10
	// ListReceived: a gateway receives a server list; ListKind, ListNumber.
	ListReceived EventCode = 20
	// RequestReceived: a client's request arrives; Request.
	RequestReceived EventCode = 30
	// ResponseStarted: the first byte of a response has arrived; Outcome's ID, Attempt, Server and Elapsed.
	ResponseStarted EventCode = 40
	// AttemptEnded: an attempt has ended; Outcome.
	AttemptEnded EventCode = 50
	// ClientGone: a client has left; Tag is the request's ID.
	ClientGone EventCode = 60
	// TimerFired: a timer of action Timer fires; Tag.
	TimerFired EventCode = 70
	// HealthChecked: a health check has ended; Outcome's Ending, Elapsed, Server and LoadReport. The policy has no use
	// for it.
	HealthChecked EventCode = 80
	// PeerMessage: a message of another gateway arrives; From, Message.
	PeerMessage EventCode = 90
	// GatewayStopped: a gateway has ended.
	GatewayStopped EventCode = 100
	// Summary: how a request ended, for a log; skipped.
	Summary EventCode = 110
	// ListDefined: a server list that ListReceived events refer to; ListNumber, Entries. It has no gateway.
	ListDefined EventCode = 120
)

// Event is one event of a batch. Code says which fields it has.
type Event struct {
	Code       EventCode
	Instance   uint16 // the gateway's number
	Seed       uint64
	Settings   []byte // JSON, for config.ParseSettings
	ListNumber uint32
	ListKind   byte // a policy.ListKind, unchecked
	Entries    []policy.ServerInfo
	Request    policy.Request
	Outcome    policy.Outcome
	Tag        uint64
	From       int
	Message    []byte
}

// Batch is what happens at one moment of virtual time.
type Batch struct {
	Now    policy.Time
	Events []Event
}
