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
type Inventory struct {
	Stamp
	Round   uint64
	Settled uint64 // highest epoch in which all that the sender owns stood whole
	Entries []Entry
	// Obscured tells that the sender may have held batch jobs, or newer versions of some, that it can't name any more.
	Obscured bool
}

// Entry is one batch job of an inventory.
type Entry struct {
	Job      string
	Version  Version
	Replicas []protocol.Process
	Count    int // results
	Ended    bool
	Damaged  bool // the results are a sound prefix, but this is no whole copy of the version
}

// Concede gives a batch job to a store that holds a better copy of the version. The sender would own it in this epoch.
type Concede struct {
	Stamp
	Job     string
	Version Version
}

// Reserve asks an arbiter of a batch job's id for its vote that the sender may accept it.
type Reserve struct {
	Stamp
	Job    string
	Number uint64 // of the sender's attempt; it rises
}

// Reserved names the store that an arbiter's vote went to, or that holds the batch job.
type Reserved struct {
	Stamp
	Job    string
	Number uint64 // of the attempt that is answered
	Owner  placement.Key
	Held   bool // Owner holds it
}

// Release gives a vote back: the sender has not accepted the batch job in that attempt nor in an earlier one.
type Release struct {
	Stamp
	Job    string
	Number uint64
}

// Lookup asks an arbiter of a batch job's id who holds it.
type Lookup struct {
	Stamp
	Job    string
	Number uint64 // the asker's; comes back
}

// Found answers a Lookup. Owner is empty where the arbiter knows of nobody.
type Found struct {
	Stamp
	Job    string
	Number uint64
	Owner  placement.Key
}

// Notice tells other stores who owns a batch job, so that they need not ask.
type Notice struct {
	Stamp
	Job   string
	Owner placement.Key
}

// Replicate brings a replica up to the owner's state, or asks for the replica's where nothing is in it.
type Replicate struct {
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
type Replicated struct {
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
type SettledNotice struct {
	Stamp
	Settled uint64
	Ask     bool // the receiver is to tell, too
}

// wireTypes lists all types of messages between stores with their names on the wire, which stay when a type is renamed or moved.
func wireTypes() []transport.NamedType {
	const here = "sprucelane.example/sprucelane/internal/batch/replica."
	return []transport.NamedType{
		{Name: here + "InventoryRequest", Sample: InventoryRequest{}},
		{Name: here + "Inventory", Sample: Inventory{}},
		{Name: here + "Reserve", Sample: Reserve{}},
		{Name: here + "Reserved", Sample: Reserved{}},
		{Name: here + "Release", Sample: Release{}},
		{Name: here + "Lookup", Sample: Lookup{}},
		{Name: here + "Found", Sample: Found{}},
		{Name: here + "Notice", Sample: Notice{}},
		{Name: here + "Replicate", Sample: Replicate{}},
		{Name: here + "Replicated", Sample: Replicated{}},
		{Name: here + "SettledNotice", Sample: SettledNotice{}},
		{Name: here + "Concede", Sample: Concede{}},
		{Name: here + "Claim", Sample: Claim{}},
		{Name: here + "Claimed", Sample: Claimed{}},
		{Name: here + "ClaimRequest", Sample: ClaimRequest{}},
	}
}

func init() { transport.RegisterNamed(wireTypes()...) }

func stampOf(message any) (Stamp, bool) {
	switch m := message.(type) {
	case InventoryRequest:
		return m.Stamp, true
	case Inventory:
		return m.Stamp, true
	case Reserve:
		return m.Stamp, true
	case Reserved:
		return m.Stamp, true
	case Release:
		return m.Stamp, true
	case Lookup:
		return m.Stamp, true
	case Found:
		return m.Stamp, true
	case Notice:
		return m.Stamp, true
	case Replicate:
		return m.Stamp, true
	case Replicated:
		return m.Stamp, true
	case SettledNotice:
		return m.Stamp, true
	case Concede:
		return m.Stamp, true
	case Claim:
		return m.Stamp, true
	case Claimed:
		return m.Stamp, true
	case ClaimRequest:
		return m.Stamp, true
	default:
		return Stamp{}, false
	}
}
