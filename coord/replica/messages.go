package replica

import (
	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
)

// Hello asks for the newest view.
type ViewQuery struct {
	Epoch uint64 // newest one that the asker knows
}

// Heartbeat tells a core member that its sender lives, and echoes what it heard last from the
// addressee, which confirms the epoch without a message of its own.
type Heartbeat struct {
	Life      uint64 // drawn at each start of the sender's process
	Seq       uint64
	EchoLife  uint64
	Echo      uint64 // highest Seq heard from the addressee's life EchoLife
	Epoch     uint64
	Whole     bool // the sender's log has the prefix of Epoch
	Wedged    bool
	Leaving   bool
	Candidate bool     // has a disk and isn't a voter
	Urgent    bool     // answer at once
	Heard     []string // IDs of core members that the sender is in touch with, both ways
}

// Append carries orders down the chain. It is sent only by a member whose own copy, and whose
// predecessors' copies, are whole in Epoch; an empty one says just that.
type Append struct {
	Epoch     uint64
	Prev      uint64
	PrevEpoch uint64
	Entries   []chain.Entry
}

// Ack travels up the chain.
type Ack struct {
	Epoch  uint64
	End    uint64 // last order on the sender's disk
	Commit uint64 // last order known to be on all disks of the chain
	Whole  bool   // the sender has heard from its predecessor in this epoch
	Gap    bool   // the sender needs what follows End
}

// Resume asks the successor for an Ack: the one that it sent at the start of the epoch came too early.
type AckRequest struct {
	Epoch uint64
}

// Fetch asks the source of a view for the prefix.
type PrefixRequest struct {
	Epoch uint64
	Runs  []chain.EpochRun
}

// Copy carries the source's prefix: the entries after Common, or after an image.
type PrefixTransfer struct {
	Epoch   uint64
	Common  uint64
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// Forward carries an order towards the head. A head takes it only in the epoch in which it was sent, and only while an earlier
// application of the order would still be remembered.
type Forward struct {
	ID    string
	Order []byte
	Hops  int
	Epoch uint64 // the one that the node knew at which the order was proposed
	Since uint64 // the order wasn't applied at or below this index
}

// Poll asks for committed orders and for a proof of freshness.
type LearnerPoll struct {
	Life    uint64
	Seq     uint64
	Epoch   uint64
	Applied uint64
}

// Feed carries committed orders to a node outside of the chain.
type LearnerUpdate struct {
	Life    uint64 // of the poll that is answered; 0 for a push
	Seq     uint64
	Fresh   bool
	AgeNano int64 // age of the sender's own freshness, in nanoseconds
	Prev    uint64
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// ReadRequest asks a chain member to do a linearizable read.
type ReadIndexRequest struct {
	Life uint64
	Seq  uint64
}

// ReadReply tells up to where the asker must have applied.
type ReadIndexReply struct {
	Life  uint64
	Seq   uint64
	Index uint64
}

// wireTypes lists all types of messages with their names on the wire, which stay when a type is renamed or moved.
func wireTypes() []transport.NamedType {
	const (
		here   = "sprucelane.example/sprucelane/coord/replica."
		inView = "sprucelane.example/sprucelane/coord/view."
	)
	return []transport.NamedType{
		{Name: here + "Hello", Sample: ViewQuery{}},
		{Name: here + "Heartbeat", Sample: Heartbeat{}},
		{Name: here + "Append", Sample: Append{}},
		{Name: here + "Ack", Sample: Ack{}},
		{Name: here + "Resume", Sample: AckRequest{}},
		{Name: here + "Fetch", Sample: PrefixRequest{}},
		{Name: here + "Copy", Sample: PrefixTransfer{}},
		{Name: here + "Forward", Sample: Forward{}},
		{Name: here + "Poll", Sample: LearnerPoll{}},
		{Name: here + "Feed", Sample: LearnerUpdate{}},
		{Name: here + "ReadRequest", Sample: ReadIndexRequest{}},
		{Name: here + "ReadReply", Sample: ReadIndexReply{}},
		{Name: inView + "Prepare", Sample: view.Prepare{}},
		{Name: inView + "Promise", Sample: view.PrepareResponse{}},
		{Name: inView + "Accept", Sample: view.Accept{}},
		{Name: inView + "Accepted", Sample: view.AcceptResponse{}},
		{Name: inView + "Refused", Sample: view.Reject{}},
		{Name: inView + "Decided", Sample: view.Decided{}},
	}
}
