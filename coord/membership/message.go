package membership

// Kind tells what a message is for.
type MessageKind uint8

// Kinds of messages.
const (
	// Heartbeat goes to the monitors of the sender.
	Heartbeat MessageKind = iota + 1
	// Probe asks for a ProbeReply.
	Probe
	// ProbeReply carries the digest of the table of who replies.
	ProbeReply
	// Query asks another monitor of Message.Target when it last heard of it.
	IndirectProbe
	// QueryReply says so in Message.HeardAgo.
	IndirectProbeReply
	// Join asks for the whole table and makes the sender known.
	Join
	// Sync carries a part of the whole table.
	Sync
	// SyncRequest asks for the parts of the table whose digests differ from Message.Digests.
	SyncRequest
)

// Message is what machines send each other.
type Message struct {
	Kind MessageKind
	// From is the sender's name, with its incarnation.
	From        string
	Incarnation uint64
	// Sequence ties a reply to its question.
	Sequence uint64
	// Target is the machine that a Query or its reply is about.
	Target string
	// HeardAgo is how many milliseconds ago the target was heard, or -1 for not at all.
	LastContactMillis int64
	// Digest is the digest of the sender's table.
	Digest uint64
	// Digests are those of the parts of the sender's table.
	Digests []uint64
	// Updates is news.
	Updates []Update
}

// Envelope is a message with where it goes. Name is empty where only an address is known.
type Envelope struct {
	Name    string
	Address string
	Message Message
}

// Output is what a step leads to.
type Output struct {
	Messages []Envelope
	Changes  []Change
}
