package scrub

// Compare asks a replica whether its entries of a range are the same.
type Compare struct {
	Sequence uint64
	// From is the first key of the range, To is the first key after it, empty for the end of all keys.
	From, To string
	// Settled is the version up to which entries count.
	StableVersion uint64
	Digest        uint64
	// Bad tells that the sender found a bad value in the range.
	Corrupt bool
}

// Summaries answers Compare.
type Summaries struct {
	Sequence uint64
	// Same tells that there is no difference and no bad value.
	Same bool
	// Entries are those of the range up to Until, the first key that is not covered; empty for all keys.
	Entries []Summary
	Until   string
}

// Fetch asks a replica for its entries of some keys.
type Pull struct {
	Keys []string
}

// Deliver brings entries to a replica that lacks them, or asked for them.
type Push struct {
	Entries []Entry
}

// Envelope is a message with the replica that it goes to. Its message is a Compare, Summaries, Fetch or Deliver.
type Envelope struct {
	To      string
	Message any
}

// Problem is what was wrong with an entry.
type Problem uint8

// Problems.
const (
	// Corrupt is a value that doesn't match its checksum.
	Corrupt Problem = iota + 1
	// Missing is a key that another replica has.
	Missing
	// Stale is a version older than another replica's.
	Stale
	// Conflict is a version that another replica has with another checksum, both good. It is not mended.
	Conflict
	// Lost is a key whose copies are bad on both replicas that were compared.
	Lost
	// Failed is an error of the store.
	StoreFailed
)

// String returns the name of the problem.
func (p Problem) String() string {
	names := [...]string{"", "corrupt", "missing", "stale", "conflict", "lost", "failed"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Finding is a difference that was found, or mended, on this replica.
type Finding struct {
	Key     string
	Problem Problem
	// Mended tells that this replica's entry is good again.
	Repaired bool
	// Err is the error of the store, for Failed.
	Err error
}

// Output is what a step leads to.
type Output struct {
	Messages []Envelope
	Findings []Finding
}
