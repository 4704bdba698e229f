package membership

// MessageKind says what a message is for. The numbers are sent: a new kind goes to the end.
type MessageKind uint8

// Kinds of messages.
const (
	// Heartbeat shows the sender to be alive. It goes to the sender's monitors; extra ones only carry
	// updates.
	Heartbeat MessageKind = iota + 1
	// Probe asks for a ProbeReply (SWIM's ping).
	Probe
	// ProbeReply answers a Probe (SWIM's ack). Without a Sequence it tells its receiver that it isn't known
	// as Alive.
	ProbeReply
	// IndirectProbe asks for contact with Message.Target on the sender's behalf (SWIM's ping-req).
	IndirectProbe
	// IndirectProbeReply says in Message.LastContactMillis when the sender last had contact with
	// Message.Target.
	IndirectProbeReply
	// Join asks for the whole table, and makes the sender known.
	Join
	// Sync carries a part of the sender's table.
	Sync
	// SyncRequest asks for the parts of the table whose digests differ from Message.Digests.
	SyncRequest
)

// Message is what machines send each other. Transports may encode fields by position: a new field goes to the
// end.
type Message struct {
	Kind MessageKind
	// From is the sender's name, and Incarnation its incarnation.
	From        string
	Incarnation uint64
	// Sequence ties a reply to its probe.
	Sequence uint64
	// Target is the machine that an IndirectProbe or its reply is about.
	Target string
	// LastContactMillis is the time since the last contact with Target in milliseconds, or -1 if there was
	// none.
	LastContactMillis int64
	// Digest is the digest of the sender's table, in Probe and ProbeReply.
	Digest uint64
	// Digests are those of the buckets of the sender's table, in SyncRequest and in the last Sync that
	// answers it.
	Digests []uint64
	// Updates are piggybacked updates, or part of the table in Sync.
	Updates []Update
}

// Envelope is a message with its destination. Name is empty where only the address is known.
type Envelope struct {
	Name    string
	Address string
	Message Message
}

// Output is what a step of a Node leads to: messages to be sent, and changes to be acted on, in order.
type Output struct {
	Messages []Envelope
	Changes  []Change
}
