package replica

import (
	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
)

// The messages between nodes. gob matches fields by name: the fields keep their names, also those that the
// literature calls otherwise. Life is the incarnation of a process, drawn at its start.

// ViewQuery asks for the newest view.
type ViewQuery struct {
	Epoch uint64 // newest one that the sender knows
}

// Heartbeat shows that its sender is alive, and echoes the newest heartbeat received from the addressee. The
// echo shows that the link works both ways, and confirms the epoch without a message of its own.
type Heartbeat struct {
	Life      uint64 // incarnation of the sender's process
	Seq       uint64 // round of heartbeats of that incarnation
	EchoLife  uint64
	Echo      uint64 // highest Seq received from the addressee's incarnation EchoLife; 0: none
	Epoch     uint64
	Whole     bool     // the sender's log has the complete prefix of Epoch
	Wedged    bool     // the sender has answered a prepare in Epoch
	Leaving   bool     // the sender departs as planned
	Candidate bool     // the sender has a disk and no vote, and asks for one
	Urgent    bool     // answer at once: a read waits
	Heard     []string // IDs of the voters that the sender reaches, both ways
}

// Append carries commands down the chain. A member sends it only while it and all its predecessors have the
// complete prefix of Epoch; without entries, it says just that.
type Append struct {
	Epoch     uint64
	Prev      uint64 // index of the command before Entries
	PrevEpoch uint64 // and its epoch
	Entries   []chain.Entry
}

// Ack carries progress up the chain.
type Ack struct {
	Epoch  uint64
	End    uint64 // last command on the sender's disk
	Commit uint64 // last command known to be on all disks of the chain
	Whole  bool   // the sender and all its predecessors have the complete prefix
	Gap    bool   // the sender lacks what follows End
}

// AckRequest asks the successor for an Ack. The one that the successor sends at the start of an epoch is lost
// if its predecessor hasn't adopted the view yet.
type AckRequest struct {
	Epoch uint64
}

// PrefixRequest asks the source of a view for the prefix: all commands before Epoch.
type PrefixRequest struct {
	Epoch uint64
	Runs  []chain.EpochRun // of the sender's log
}

// PrefixTransfer carries the source's prefix: the entries after Common, or after a snapshot.
type PrefixTransfer struct {
	Epoch   uint64
	Common  uint64 // last index at which both logs agree, or that of the snapshot
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// Forward carries a command towards the head.
type Forward struct {
	ID    string
	Order []byte // the command
	Hops  int    // how often it was forwarded before
	Epoch uint64 // the newest that the node knew where the command was proposed
	Since uint64 // the command wasn't applied at or below this index
}

// LearnerPoll asks a chain member for committed commands and a proof of staleness.
type LearnerPoll struct {
	Life    uint64 // incarnation of the learner's process
	Seq     uint64 // number of the poll
	Epoch   uint64
	Applied uint64 // last index that the learner has applied
}

// LearnerUpdate carries committed commands to a learner: as the answer to a poll, or as a push.
type LearnerUpdate struct {
	Life    uint64 // of the poll that is answered; 0: a push
	Seq     uint64 // of the poll
	Fresh   bool   // AgeNano is valid
	AgeNano int64  // ns: all acknowledged longer ago than this is in the update or before it
	Prev    uint64 // index before Entries, or that of the snapshot
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// lastIndex returns the index up to which a learner has applied once it has applied the update.
func (u *LearnerUpdate) lastIndex() uint64 {
	if u.Image != nil {
		return u.Image.Index
	}
	return u.Prev + uint64(len(u.Entries))
}

// ReadIndexRequest asks a chain member for the read index of a linearizable read.
type ReadIndexRequest struct {
	Life uint64 // incarnation of the learner's process
	Seq  uint64 // number of the read
}

// ReadIndexReply carries the index up to which the learner must have applied.
type ReadIndexReply struct {
	Life  uint64
	Seq   uint64
	Index uint64
}

// wireTypes lists the types of messages with their names on the wire, which stay when a type is renamed or
// moved.
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
