package scrub

// Store provides access to the entries of a replica. A Node calls it only during Tick, Receive and ReadRepair.
type Store interface {
	// Scan calls visit for the entries with keys not less than from, in key order, until visit returns false. It
	// must read the values from the disk, not from a cache, because a scrub that reads a cache finds no
	// corruption on the disk.
	Scan(from string, visit func(Entry) bool) error
	// Get returns the entry of a key, and reports whether it exists.
	Get(key string) (Entry, bool, error)
	// Repair durably replaces a missing, corrupt or older entry by the given valid entry.
	Repair(entry Entry) error
}
