package control

import (
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// peerReport is what a control process reports to another. Ages are as of when it was sent. Reports over one
// connection build on each other: a gateway that was named polls at the sender until a report names it in
// Gone, and a server list may be a delta to the one before.
type peerReport struct {
	Presence bool               // Gateways, Gone and Batch are set; else the report is of Servers only
	All      bool               // Gateways are all, whatever was reported before
	Gateways []protocol.Process // that poll at the sender, new since the report before
	Gone     []string           // nodes of gateways that don't poll there any longer
	Batch    []peerBatch        // all that poll there; to the head of the chain only
	Servers  *peerServers
}

// peerBatch is a batch process that polls the sender.
type peerBatch struct {
	Process protocol.Process
	Ready   bool
	Report  *protocol.BatchReport
	Ago     time.Duration // age of its newest poll
}

// peerServers is the platform's server list as the sender has read it.
type peerServers struct {
	Digest uint64
	Ago    time.Duration        // since the reading began
	Took   time.Duration        // length of the reading
	Rank   int                  // the sender's reader rank
	List   *protocol.ServerList // nil: the list with this digest was sent before
}

// The registered name of peerReport is a part of the wire format and stays when the type is renamed or moved.
func init() {
	transport.RegisterNamed(
		transport.NamedType{Name: "sprucelane.example/sprucelane/internal/control.peerReport", Sample: peerReport{}},
	)
}
