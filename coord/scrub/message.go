package scrub

// Compare asks a peer whether its entries of a range are the same. The peer answers with Summaries.
type Compare struct {
	// Sequence numbers the comparisons of a sender; the answer repeats it.
	Sequence uint64
	// From is the first key of the range, To is the first key after it, empty for the end of all keys.
	From, To string
	// StableVersion is the version up to which entries are compared.
	StableVersion uint64
	// Digest is that of the sender's entries: keys, versions and checksums.
	Digest uint64
	// Corrupt is true if the sender found a corrupt value in the range. The digest doesn't show it, since the
	// stored checksum may be intact.
	Corrupt bool
}

// Summaries answers a Compare.
type Summaries struct {
	Sequence uint64
	// Same is true if there is no difference and neither side found a corrupt value.
	Same bool
	// Entries are those of the range up to Until, in the order of their keys; none if Same.
	Entries []Summary
	// Until is the first key that the answer doesn't cover, empty for the end of all keys.
	Until string
}

// Pull asks a peer to push its entries of some keys.
type Pull struct {
	Keys []string
}

// Push brings entries to a peer that lacks them, or pulled them.
type Push struct {
	Entries []Entry
}

// Envelope is a message with its receiver.
type Envelope struct {
	// To is the name of a peer, as SetPeers or Receive got it.
	To string
	// Message is a Compare, Summaries, Pull or Push.
	Message any
}

// Problem is what is wrong with an entry.
type Problem uint8

// Problems.
const (
	// Corrupt is a value that doesn't match its checksum.
	Corrupt Problem = iota + 1
	// Missing is a key that a peer has and this replica lacks.
	Missing
	// Stale is a version older than a peer's.
	Stale
	// Conflict is a version that a peer has with another checksum, both valid. It is not repaired.
	Conflict
	// Lost is a key whose copies are corrupt on both replicas that were compared.
	Lost
	// StoreFailed is an error of the store.
	StoreFailed
)

// problemNames are the names of the problems, by number.
var problemNames = [...]string{
	Corrupt:     "corrupt",
	Missing:     "missing",
	Stale:       "stale",
	Conflict:    "conflict",
	Lost:        "lost",
	StoreFailed: "failed",
}

// String returns the name of the problem.
func (p Problem) String() string {
	if int(p) < len(problemNames) {
		return problemNames[p]
	}
	return "unknown"
}

// Finding is a problem of an entry of this replica.
type Finding struct {
	Key     string
	Problem Problem
	// Repaired is true if this replica's entry is valid again.
	Repaired bool
	// Err is the error of the store, for StoreFailed.
	Err error
}

// Output is what a step of a Node leads to. The caller sends the messages and reports the findings.
type Output struct {
	Messages []Envelope
	Findings []Finding
}
