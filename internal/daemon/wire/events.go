package wire

import "sprucelane.example/sprucelane/policy"

// EventCode is the type of an event. It determines the fields of Event that are set.
type EventCode byte

// Codes of events, each with the fields of Event that it sets.
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
	// ClientGone: a client has disconnected; Tag is the request's ID.
	ClientGone EventCode = 60
	// TimerFired: a timer that was set with Host.Timer fires; Tag.
	TimerFired EventCode = 70
	// HealthChecked: a health check has ended; Outcome's Ending, Elapsed, Server and LoadReport. The policy doesn't use
	// it.
	HealthChecked EventCode = 80
	// PeerMessage: a message from another gateway arrives; From, Message.
	PeerMessage EventCode = 90
	// GatewayStopped: a gateway has stopped.
	GatewayStopped EventCode = 100
	// Summary: the result of a request, for a log; its content is skipped.
	Summary EventCode = 110
	// ListDefined: a server list to which ListReceived events refer; ListNumber, Entries. It has no gateway.
	ListDefined EventCode = 120
)

// Event is one event of a batch. Code determines the fields that are set.
type Event struct {
	Code       EventCode
	Instance   uint16 // the gateway's number
	Seed       uint64
	Settings   []byte // JSON, for config.ParseSettings
	ListNumber uint32
	ListKind   byte // a policy.ListKind, not validated
	Entries    []policy.ServerInfo
	Request    policy.Request
	Outcome    policy.Outcome
	Tag        uint64
	From       int
	Message    []byte
}

// Batch has the events of one moment in virtual time.
type Batch struct {
	Now    policy.Time
	Events []Event
}
