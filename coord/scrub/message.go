package scrub

// Compare asks a peer whether it has the same entries in a range. The peer answers with Summaries.
type Compare struct {
	// Sequence numbers the comparisons of a sender; the answer repeats it.
	Sequence uint64
	// From is the first key of the range, To is the first key after it, empty for the end of all keys.
	From, To string
	// StableVersion is the version up to which entries are compared.
	StableVersion uint64
	// Digest is the digest of the keys, versions and checksums of the sender's entries.
	Digest uint64
	// Corrupt is true if the sender found a corrupt value in the range. The digest doesn't show it, since the
	// stored checksum may be intact.
	Corrupt bool
}

// Summaries answers a Compare.
type Summaries struct {
	Sequence uint64
	// Same is true if both sides have the same entries and neither side found a corrupt value.
	Same bool
	// Entries are the sender's entries in the range, up to Until, in key order. It is empty if Same is true.
	Entries []Summary
	// Until is the first key that the answer doesn't cover, empty at the end of all keys.
	Until string
}

// Pull asks a peer to push its entries of some keys.
type Pull struct {
	Keys []string
}

// Push sends entries to a peer that has no valid or current copy of them, or that asked for them by a Pull.
type Push struct {
	Entries []Entry
}

// Envelope is a message with its receiver.
type Envelope struct {
	// To is the name of a peer, as passed to SetPeers or Receive.
	To string
	// Message is a Compare, Summaries, Pull or Push.
	Message any
}

// Problem is a kind of fault of an entry.
type Problem uint8

// Problems.
const (
	// Corrupt means that the contents of the entry don't match its checksum.
	Corrupt Problem = iota + 1
	// Missing means that a peer has a key that this replica lacks.
	Missing
	// Stale means that this replica's version is older than a peer's.
	Stale
	// Conflict means that a peer has the same version with another checksum, and both copies are valid. It is not
	// repaired.
	Conflict
	// Lost means that neither of the two compared replicas has a valid copy of the key.
	Lost
	// StoreFailed means that the store returned an error.
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

// Finding reports a problem of an entry of this replica.
type Finding struct {
	Key     string
	Problem Problem
	// Repaired is true if this replica's entry has been repaired.
	Repaired bool
	// Err is the error of the store if Problem is StoreFailed.
	Err error
}

// Output is the result of a step of a Node. The caller must send the messages and report the findings.
type Output struct {
	Messages []Envelope
	Findings []Finding
}
