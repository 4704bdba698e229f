package replica

import (
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the messages that stores send to each other.
//
// The gob encoding matches fields by name, and running processes of earlier versions send the present names: the
// fields of all types here keep them (testdata/golden). The types' own names on the wire are in wireTypes.

// Stamp is the header of every message between stores. A message whose epoch differs from the receiver's is
// dropped; messages that matter are sent again.
type Stamp struct {
	Epoch uint64 // epoch of the sender's view
	Life  uint64 // the sender's Options.ProcessIncarnation
}

// header returns the message's stamp. All message types embed Stamp and so have this method.
func (s Stamp) header() Stamp { return s }

// stamped is a message between stores.
type stamped interface{ header() Stamp }

// InventoryRequest asks a store for a list of all batch jobs that it holds.
type InventoryRequest struct {
	Stamp
	Round uint64 // the requester's inventoryRound; the response returns it
}

// InventoryResponse lists all batch jobs that a store held when it received the request.
type InventoryResponse struct {
	Stamp
	Round   uint64
	Settled uint64 // newest epoch in which the sender had reconciled
	Entries []InventoryEntry
	// Obscured is set if the sender's log is incomplete: the log may have held batch jobs, or higher versions of
	// batch jobs, that the sender can't name.
	Obscured bool
}

// InventoryEntry is one batch job of an inventory.
type InventoryEntry struct {
	Job      string
	Version  Version
	Replicas []protocol.Process
	Count    int // number of durable results
	Ended    bool
	Damaged  bool // the copy is corrupt: its results are a sound prefix
}

// OwnershipTransfer makes a store with a better copy of a version the owner of the batch job. The sender is the
// designated owner of the batch job in this epoch. The receiver answers with a ReplicationResponse or an
// OwnerNotice.
type OwnershipTransfer struct {
	Stamp
	Job     string
	Version Version
}

// ReservationRequest asks an arbiter of a batch job's id for its vote that the sender may accept it.
type ReservationRequest struct {
	Stamp
	Job    string
	Number uint64 // number of the sender's attempt, which rises from attempt to attempt
}

// ReservationResponse names the store that has the arbiter's vote, or that holds the batch job.
type ReservationResponse struct {
	Stamp
	Job    string
	Number uint64 // of the request
	Owner  placement.Key
	Held   bool // Owner holds the batch job itself, not only the vote
}

// ReservationRelease returns a vote to the arbiter: the sender has accepted the batch job neither in that attempt
// nor in an earlier one.
type ReservationRelease struct {
	Stamp
	Job    string
	Number uint64
}

// LookupRequest asks an arbiter of a batch job's id which store holds the batch job.
type LookupRequest struct {
	Stamp
	Job    string
	Number uint64 // number of the sender's lookup; the response returns it
}

// LookupResponse names the store that holds a batch job. Owner is empty if the arbiter knows of none.
type LookupResponse struct {
	Stamp
	Job    string
	Number uint64
	Owner  placement.Key
}

// OwnerNotice names the owner of a batch job, so that the receiver needn't look it up.
type OwnerNotice struct {
	Stamp
	Job   string
	Owner placement.Key
}

// ReplicationRequest brings a replica up to the owner's state.
//
// Without Content, Results and Ended it asks for the receiver's state. The owner sends such a request to its
// replicas; with Replicas set it also informs a store that left the replica set of the newer version. A store that
// wants to release its copy sends such a request, without Replicas, to the owner.
type ReplicationRequest struct {
	Stamp
	Job      string
	Version  Version
	Replicas []protocol.Process // set with Content, and if the receiver has left the replica set
	Content  []byte             // encoded content; nil if the replica has it
	Start    int                // position of the first element of Results; 0 with Content
	Results  []Result
	Ended    bool
	Failures []ItemFailures // of unfinished items; earlier versions of the software send none
}

// ItemFailures counts how often servers failed an item.
type ItemFailures struct {
	Item int // index in the batch job
	Failures
}

// Result is the result of one item.
type Result struct {
	Item  int // index in the batch job
	State byte
	Text  []byte
}

// ReplicationResponse reports which parts of a batch job are durable at the sender.
type ReplicationResponse struct {
	Stamp
	Job     string
	Held    bool // the sender has a durable copy of Version
	Version Version
	Count   int // number of durable results
	Ended   bool
	None    bool // the sender has reconciled, has no copy and knows of no owner
	Stands  bool // the sender owns the batch job, and the batch job is fully replicated
	Whole   bool // Stands is set, and the receiver isn't one of the replicas
	// Failures has the failure counts of unfinished items that the sender knows; earlier versions of the software
	// send none.
	Failures []ItemFailures
}

// ReconciledNotice reports the newest epoch in which the sender had reconciled.
type ReconciledNotice struct {
	Stamp
	Settled uint64
	Ask     bool // the receiver should answer with a ReconciledNotice of its own
}

// Claim reports to the counter of some accounts how many tokens the sender uses of them, and requests more.
type Claim struct {
	Stamp
	queuedtokens.Claim
}

// ClaimResponse confirms a claim and answers the requests for tokens in it.
type ClaimResponse struct {
	Stamp
	Number   uint64 // of the claim
	Verdicts []queuedtokens.Decision
	Over     []queuedtokens.Account // accounts of the claim that are over their limits, or not yet known to be within them
}

// ClaimPoll asks a store for its claim: the sender counts accounts and has not received a claim of the receiver in
// this epoch.
type ClaimPoll struct{ Stamp }

// wireTypes lists all message types with their names on the wire. These names don't change when a type is renamed
// or moved.
func wireTypes() []transport.NamedType {
	const prefix = "sprucelane.example/sprucelane/internal/batch/replica."
	return []transport.NamedType{
		{Name: prefix + "InventoryRequest", Sample: InventoryRequest{}},
		{Name: prefix + "Inventory", Sample: InventoryResponse{}},
		{Name: prefix + "Reserve", Sample: ReservationRequest{}},
		{Name: prefix + "Reserved", Sample: ReservationResponse{}},
		{Name: prefix + "Release", Sample: ReservationRelease{}},
		{Name: prefix + "Lookup", Sample: LookupRequest{}},
		{Name: prefix + "Found", Sample: LookupResponse{}},
		{Name: prefix + "Notice", Sample: OwnerNotice{}},
		{Name: prefix + "Replicate", Sample: ReplicationRequest{}},
		{Name: prefix + "Replicated", Sample: ReplicationResponse{}},
		{Name: prefix + "SettledNotice", Sample: ReconciledNotice{}},
		{Name: prefix + "Concede", Sample: OwnershipTransfer{}},
		{Name: prefix + "Claim", Sample: Claim{}},
		{Name: prefix + "Claimed", Sample: ClaimResponse{}},
		{Name: prefix + "ClaimRequest", Sample: ClaimPoll{}},
	}
}

func init() { transport.RegisterNamed(wireTypes()...) }
