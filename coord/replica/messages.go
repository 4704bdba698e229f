package replica

import (
	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/coord/view"
)

// The messages between nodes. gob matches fields by name, so the fields keep their names even where the literature
// uses other terms. Life is the incarnation of a process, a random number drawn at its start.

// ViewQuery asks for the newest view.
type ViewQuery struct {
	Epoch uint64 // epoch of the newest view that the sender knows
}

// Heartbeat shows that its sender is alive, and echoes the newest heartbeat received from the addressee. The
// echo shows that the link works both ways, and confirms the epoch without a separate message.
type Heartbeat struct {
	Life      uint64 // incarnation of the sender's process
	Seq       uint64 // round of heartbeats of that incarnation
	EchoLife  uint64
	Echo      uint64 // highest Seq received from the addressee's incarnation EchoLife; 0: none
	Epoch     uint64
	Whole     bool     // the sender's log has the complete prefix of Epoch
	Wedged    bool     // the sender has answered a prepare in Epoch
	Leaving   bool     // the sender is in a planned departure
	Candidate bool     // the sender has a disk but no vote, and asks for a vote
	Urgent    bool     // the receiver answers at once, because a read is waiting
	Heard     []string // IDs of the voters to which the sender's link works both ways
}

// Append carries commands down the chain. A member sends it only while it and all its predecessors have the
// complete prefix of Epoch. An Append without entries only reports this.
type Append struct {
	Epoch     uint64
	Prev      uint64 // index of the command before Entries
	PrevEpoch uint64 // epoch of the command at Prev
	Entries   []chain.Entry
}

// Ack carries progress up the chain.
type Ack struct {
	Epoch  uint64
	End    uint64 // last command on the sender's disk
	Commit uint64 // last command known to be on all disks of the chain
	Whole  bool   // the sender and all its predecessors have the complete prefix
	Gap    bool   // the sender has received an Append whose Prev is beyond its log
}

// AckRequest asks the successor for an Ack, because the Ack that the successor sends at the start of an epoch is
// lost if its predecessor hasn't adopted the view yet.
type AckRequest struct {
	Epoch uint64
}

// PrefixRequest asks the source of a view for the prefix: all commands before Epoch.
type PrefixRequest struct {
	Epoch uint64
	Runs  []chain.EpochRun // describe the sender's log
}

// PrefixTransfer carries the source's prefix: the entries after Common, or a snapshot and the entries after it.
type PrefixTransfer struct {
	Epoch   uint64
	Common  uint64 // last index at which both logs agree, or the index of the snapshot
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// Forward carries a command towards the head.
type Forward struct {
	ID    string
	Order []byte // the command
	Hops  int    // number of times that the command was forwarded before
	Epoch uint64 // newest epoch known to the node at which the command was proposed
	Since uint64 // the command wasn't applied at or below this index
}

// LearnerPoll asks a chain member for committed commands and a proof of staleness.
type LearnerPoll struct {
	Life    uint64 // incarnation of the learner's process
	Seq     uint64 // number of the poll
	Epoch   uint64
	Applied uint64 // last index that the learner has applied
}

// LearnerUpdate carries committed commands to a learner, as the answer to a poll or as a push.
type LearnerUpdate struct {
	Life    uint64 // Life of the answered poll; 0: a push
	Seq     uint64 // Seq of the answered poll
	Fresh   bool   // AgeNano is valid
	AgeNano int64  // ns: all commands acknowledged longer ago than this are in the update or precede it
	Prev    uint64 // index before Entries, or the index of the snapshot
	Image   *chain.Snapshot
	Entries []chain.Entry
}

// lastIndex returns the last index that the update covers.
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

// ReadIndexReply carries the index that the learner must have applied before the read completes.
type ReadIndexReply struct {
	Life  uint64
	Seq   uint64
	Index uint64
}

// wireTypes returns the message types with their names on the wire. The names on the wire don't change when a
// type is renamed or moved.
func wireTypes() []transport.NamedType {
	const (
		replicaPackage = "sprucelane.example/sprucelane/coord/replica."
		viewPackage    = "sprucelane.example/sprucelane/coord/view."
	)
	return []transport.NamedType{
		{Name: replicaPackage + "Hello", Sample: ViewQuery{}},
		{Name: replicaPackage + "Heartbeat", Sample: Heartbeat{}},
		{Name: replicaPackage + "Append", Sample: Append{}},
		{Name: replicaPackage + "Ack", Sample: Ack{}},
		{Name: replicaPackage + "Resume", Sample: AckRequest{}},
		{Name: replicaPackage + "Fetch", Sample: PrefixRequest{}},
		{Name: replicaPackage + "Copy", Sample: PrefixTransfer{}},
		{Name: replicaPackage + "Forward", Sample: Forward{}},
		{Name: replicaPackage + "Poll", Sample: LearnerPoll{}},
		{Name: replicaPackage + "Feed", Sample: LearnerUpdate{}},
		{Name: replicaPackage + "ReadRequest", Sample: ReadIndexRequest{}},
		{Name: replicaPackage + "ReadReply", Sample: ReadIndexReply{}},
		{Name: viewPackage + "Prepare", Sample: view.Prepare{}},
		{Name: viewPackage + "Promise", Sample: view.PrepareResponse{}},
		{Name: viewPackage + "Accept", Sample: view.Accept{}},
		{Name: viewPackage + "Accepted", Sample: view.AcceptResponse{}},
		{Name: viewPackage + "Refused", Sample: view.Reject{}},
		{Name: viewPackage + "Decided", Sample: view.Decided{}},
	}
}
