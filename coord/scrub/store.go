package scrub

// Store is the copy of a replica. A Node calls it from within Tick, Receive and ReadRepair only.
type Store interface {
	// Scan calls visit for the entries from a key on, in the order of the keys, until visit returns false. It
	// must read the values from the disk, not from a cache: a scrub that reads a cache finds no corruption.
	Scan(from string, visit func(Entry) bool) error
	// Get returns the entry of a key, and whether there is one.
	Get(key string) (Entry, bool, error)
	// Repair puts a valid entry in place of a missing, corrupt or older one, durably.
	Repair(entry Entry) error
}
