package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// peerReport is a report of a control process to another one. Ages in it are relative to the time of sending.
// Reports over one connection build on each other: a gateway that was listed once polls the sender until a
// report lists it in Gone, and a server list may be a delta to the previous one.
type peerReport struct {
	Presence bool               // Gateways, Gone and Batch are set; if false, the report has only Servers
	All      bool               // Gateways is complete and replaces the gateways of all earlier reports
	Gateways []protocol.Process // gateways that poll the sender, new or changed since the previous report
	Gone     []string           // nodes of gateways that no longer poll the sender
	Batch    []peerBatch        // all batch processes that poll the sender; sent only to the head of the chain
	Servers  *peerServers
}

// peerBatch is a batch process that polls the sender of a report.
type peerBatch struct {
	Process protocol.Process
	Ready   bool
	Report  *protocol.BatchReport
	Ago     time.Duration // time since its newest poll
}

// peerServers is the platform's server list as the sender has read it.
type peerServers struct {
	Digest uint64
	Ago    time.Duration        // time since the read of the list began
	Took   time.Duration        // duration of the read
	Rank   int                  // the sender's reader rank
	List   *protocol.ServerList // nil: the list with this digest was already sent
}

// The registered name of peerReport is part of the wire format. It must not change when the type is renamed or
// moved.
func init() {
	transport.RegisterNamed(
		transport.NamedType{Name: "sprucelane.example/sprucelane/internal/control.peerReport", Sample: peerReport{}},
	)
}
