package replica

import (
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Stamp heads every message between stores. A message of another epoch than the receiver's is dropped: what matters is
// sent again.
type Stamp struct {
	Epoch uint64 // of the sender's view
	Life  uint64 // differs for each start of the sender's process
}

// InventoryRequest asks a store for all that it holds.
type InventoryRequest struct {
	Stamp
	Round uint64 // the asker's; comes back
}

// Inventory is all that a store holds, as of when the request came.
type InventoryResponse struct {
	Stamp
	Round   uint64
	Settled uint64 // highest epoch in which all that the sender owns stood whole
	Entries []InventoryEntry
	// Obscured tells that the sender may have held batch jobs, or newer versions of some, that it can't name any more.
	Obscured bool
}

// Entry is one batch job of an inventory.
type InventoryEntry struct {
	Job      string
	Version  Version
	Replicas []protocol.Process
	Count    int // results
	Ended    bool
	Damaged  bool // the results are a sound prefix, but this is no whole copy of the version
}

// Concede gives a batch job to a store that holds a better copy of the version. The sender would own it in this epoch.
type OwnershipTransfer struct {
	Stamp
	Job     string
	Version Version
}

// Reserve asks an arbiter of a batch job's id for its vote that the sender may accept it.
type ReservationRequest struct {
	Stamp
	Job    string
	Number uint64 // of the sender's attempt; it rises
}

// Reserved names the store that an arbiter's vote went to, or that holds the batch job.
type ReservationResponse struct {
	Stamp
	Job    string
	Number uint64 // of the attempt that is answered
	Owner  placement.Key
	Held   bool // Owner holds it
}

// Release gives a vote back: the sender has not accepted the batch job in that attempt nor in an earlier one.
type ReservationRelease struct {
	Stamp
	Job    string
	Number uint64
}

// Lookup asks an arbiter of a batch job's id who holds it.
type LookupRequest struct {
	Stamp
	Job    string
	Number uint64 // the asker's; comes back
}

// Found answers a Lookup. Owner is empty where the arbiter knows of nobody.
type LookupResponse struct {
	Stamp
	Job    string
	Number uint64
	Owner  placement.Key
}

// Notice tells other stores who owns a batch job, so that they need not ask.
type OwnerNotice struct {
	Stamp
	Job   string
	Owner placement.Key
}

// Replicate brings a replica up to the owner's state, or asks for the replica's where nothing is in it.
type ReplicationRequest struct {
	Stamp
	Job      string
	Version  Version
	Replicas []protocol.Process // with Content
	Content  []byte             // encoded; nil: the replica has it
	Start    int                // position of the first of Results; 0 with Content
	Results  []Result
	Ended    bool
}

// Result is one listed item.
type Result struct {
	Item  int // index in the batch job
	State byte
	Text  []byte
}

// Replicated tells what the replica holds on its disk.
type ReplicationResponse struct {
	Stamp
	Job     string
	Held    bool
	Version Version
	Count   int
	Ended   bool
	None    bool // the sender has no copy and, as far as it is settled, knows of nobody who has
	Stands  bool // the sender owns the batch job, and all of its replicas hold it
	Whole   bool // Stands, and the receiver is none of them
}

// SettledNotice tells the highest epoch in which all that the sender owns stood whole.
type ReconciledNotice struct {
	Stamp
	Settled uint64
	Ask     bool // the receiver is to tell, too
}

// wireTypes lists all types of messages between stores with their names on the wire, which stay when a type is renamed or moved.
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

func stampOf(message any) (Stamp, bool) {
	switch m := message.(type) {
	case InventoryRequest:
		return m.Stamp, true
	case InventoryResponse:
		return m.Stamp, true
	case ReservationRequest:
		return m.Stamp, true
	case ReservationResponse:
		return m.Stamp, true
	case ReservationRelease:
		return m.Stamp, true
	case LookupRequest:
		return m.Stamp, true
	case LookupResponse:
		return m.Stamp, true
	case OwnerNotice:
		return m.Stamp, true
	case ReplicationRequest:
		return m.Stamp, true
	case ReplicationResponse:
		return m.Stamp, true
	case ReconciledNotice:
		return m.Stamp, true
	case OwnershipTransfer:
		return m.Stamp, true
	case Claim:
		return m.Stamp, true
	case ClaimResponse:
		return m.Stamp, true
	case ClaimPoll:
		return m.Stamp, true
	default:
		return Stamp{}, false
	}
}
