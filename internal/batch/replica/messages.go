package replica

import (
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/batch/queuedtokens"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What do stores send to each other?

// The gob encoding matches fields by name: the fields of all types here keep their names (testdata/golden),
// as running processes of earlier versions send them. The types' own names on the wire are in wireTypes.

// Stamp heads every message between stores. A message of another epoch than the receiver's is dropped: what
// matters is sent again.
type Stamp struct {
	Epoch uint64 // of the sender's view
	Life  uint64 // the sender's Options.ProcessIncarnation
}

// header returns the message's stamp. All types of messages embed it.
func (s Stamp) header() Stamp { return s }

// stamped is a message between stores.
type stamped interface{ header() Stamp }

// InventoryRequest asks a store for a list of all that it holds.
type InventoryRequest struct {
	Stamp
	Round uint64 // the asker's inventoryRound; the response returns it
}

// InventoryResponse lists all that a store holds, as of when the request came.
type InventoryResponse struct {
	Stamp
	Round   uint64
	Settled uint64 // newest epoch in which the sender had reconciled
	Entries []InventoryEntry
	// Obscured: the sender's log is incomplete. It may have held batch jobs, or higher versions of some, that it
	// can't name.
	Obscured bool
}

// InventoryEntry is one batch job of an inventory.
type InventoryEntry struct {
	Job      string
	Version  Version
	Replicas []protocol.Process
	Count    int // durable results
	Ended    bool
	Damaged  bool // the copy is corrupt: its results are a sound prefix
}

// OwnershipTransfer makes a store with a better copy of a version own the batch job. The sender is its
// designated owner in this epoch. A ReplicationResponse or an OwnerNotice answers it.
type OwnershipTransfer struct {
	Stamp
	Job     string
	Version Version
}

// ReservationRequest asks an arbiter of a batch job's id for its vote that the sender may accept it.
type ReservationRequest struct {
	Stamp
	Job    string
	Number uint64 // of the sender's attempt; it rises
}

// ReservationResponse names the store that has the arbiter's vote, or that holds the batch job.
type ReservationResponse struct {
	Stamp
	Job    string
	Number uint64 // of the attempt that is answered
	Owner  placement.Key
	Held   bool // Owner holds the batch job, as opposed to the vote
}

// ReservationRelease gives a vote back: the sender has not accepted the batch job in that attempt nor in an
// earlier one.
type ReservationRelease struct {
	Stamp
	Job    string
	Number uint64
}

// LookupRequest asks an arbiter of a batch job's id who holds it.
type LookupRequest struct {
	Stamp
	Job    string
	Number uint64 // of the sender's lookup; the response returns it
}

// LookupResponse names the holder. Owner is empty where the arbiter knows of none.
type LookupResponse struct {
	Stamp
	Job    string
	Number uint64
	Owner  placement.Key
}

// OwnerNotice tells another store who owns a batch job, so that it needn't ask.
type OwnerNotice struct {
	Stamp
	Job   string
	Owner placement.Key
}

// ReplicationRequest brings a replica up to the owner's state. Without Content, Results and Ended it asks for the
// replica's state; with Replicas it tells a store that left the set of the newer version. A store that is to release
// a copy sends such a question to the owner, too.
type ReplicationRequest struct {
	Stamp
	Job      string
	Version  Version
	Replicas []protocol.Process // with Content, and where the receiver has left the set
	Content  []byte             // encoded; nil where the replica has it
	Start    int                // position of the first of Results; 0 with Content
	Results  []Result
	Ended    bool
	Failures []ItemFailures // of unfinished items; earlier versions send none
}

// ItemFailures is how often servers failed an item.
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

// ReplicationResponse says what is durable at the sender.
type ReplicationResponse struct {
	Stamp
	Job     string
	Held    bool // the sender has a durable copy of Version
	Version Version
	Count   int // durable results
	Ended   bool
	None    bool // the sender has no copy and, as far as it is reconciled, knows of no owner
	Stands  bool // the sender owns the batch job, and it is fully replicated
	Whole   bool // Stands, and the receiver isn't one of the replicas
	// Failures is what the sender knows of unfinished items; earlier versions send none.
	Failures []ItemFailures
}

// ReconciledNotice reports the newest epoch in which the sender had reconciled.
type ReconciledNotice struct {
	Stamp
	Settled uint64
	Ask     bool // the receiver should answer with its own
}

// Claim states, to the store that counts some accounts, what the sender uses of them and wants besides.
type Claim struct {
	Stamp
	queuedtokens.Claim
}

// ClaimResponse confirms a claim and answers its wants.
type ClaimResponse struct {
	Stamp
	Number   uint64 // of the claim
	Verdicts []queuedtokens.Decision
	Over     []queuedtokens.Account // of the claim's accounts, those over their limits, or not yet known to be within
}

// ClaimPoll asks a store for its claim: the sender counts accounts and has no claim of it in this epoch.
type ClaimPoll struct{ Stamp }

// wireTypes lists all types of messages with their names on the wire, which stay when a type is renamed or
// moved.
func wireTypes() []transport.NamedType {
	const here = "sprucelane.example/sprucelane/internal/batch/replica."
	return []transport.NamedType{
		{Name: here + "InventoryRequest", Sample: InventoryRequest{}},
		{Name: here + "Inventory", Sample: InventoryResponse{}},
		{Name: here + "Reserve", Sample: ReservationRequest{}},
		{Name: here + "Reserved", Sample: ReservationResponse{}},
		{Name: here + "Release", Sample: ReservationRelease{}},
		{Name: here + "Lookup", Sample: LookupRequest{}},
		{Name: here + "Found", Sample: LookupResponse{}},
		{Name: here + "Notice", Sample: OwnerNotice{}},
		{Name: here + "Replicate", Sample: ReplicationRequest{}},
		{Name: here + "Replicated", Sample: ReplicationResponse{}},
		{Name: here + "SettledNotice", Sample: ReconciledNotice{}},
		{Name: here + "Concede", Sample: OwnershipTransfer{}},
		{Name: here + "Claim", Sample: Claim{}},
		{Name: here + "Claimed", Sample: ClaimResponse{}},
		{Name: here + "ClaimRequest", Sample: ClaimPoll{}},
	}
}

func init() { transport.RegisterNamed(wireTypes()...) }
