package membership

// MessageKind is the purpose of a message. The numbers are sent in messages: add a new kind at the end.
type MessageKind uint8

// Kinds of messages.
const (
	// Heartbeat shows that the sender is alive. It goes to the sender's monitors; heartbeats to other machines
	// only carry updates.
	Heartbeat MessageKind = iota + 1
	// Probe asks for a ProbeReply (SWIM's ping).
	Probe
	// ProbeReply answers a Probe (SWIM's ack). With a Sequence of 0 it informs its receiver that the sender
	// doesn't have it as Alive.
	ProbeReply
	// IndirectProbe asks the receiver to probe Message.Target on the sender's behalf (SWIM's ping-req).
	IndirectProbe
	// IndirectProbeReply reports in Message.LastContactMillis the time since the sender's last contact with
	// Message.Target.
	IndirectProbeReply
	// Join announces the sender and asks for the whole table.
	Join
	// Sync carries a part of the sender's table.
	Sync
	// SyncRequest asks for the parts of the table whose digests differ from Message.Digests.
	SyncRequest
)

// Message is a message between two machines. Transports may encode fields by position: add a new field at the
// end.
type Message struct {
	Kind MessageKind
	// From is the sender's name, and Incarnation its incarnation.
	From        string
	Incarnation uint64
	// Sequence is the number of a probe, repeated in the replies to it.
	Sequence uint64
	// Target is the machine that an IndirectProbe or its reply is about.
	Target string
	// LastContactMillis is the time since the last contact with Target in milliseconds, or -1 if there was
	// none.
	LastContactMillis int64
	// Digest is the digest of the sender's table, in Probe and ProbeReply.
	Digest uint64
	// Digests are the digests of the buckets of the sender's table, in SyncRequest and in the last Sync that
	// answers it.
	Digests []uint64
	// Updates are piggybacked updates or, in Sync, a part of the sender's table.
	Updates []Update
}

// Envelope is a message with its destination. Name is empty where only the address is known.
type Envelope struct {
	Name    string
	Address string
	Message Message
}

// Output is the result of a step of a Node: messages to send and changes to act on, both in order.
type Output struct {
	Messages []Envelope
	Changes  []Change
}
