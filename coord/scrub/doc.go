// Package scrub finds and mends differences between the replicas of a keyed store. It is a pure state machine: time
// and messages go in, messages and findings come out, and the store is read and mended through an interface.
//
// # Background scrub
//
// A Node walks through its store in the order of the keys, a range at a time, at no more than Config.BytesPerSecond.
// It reads every value and checks it against the checksum that was made when it was written. The digest of the range
// goes to one other replica, each in turn. If the other's digest is the same, and neither found a bad value, the range
// is done. Otherwise the other replica answers with a summary of its entries: key, version, checksum, good or bad.
//
// # Mending
//
// For each key the good copy with the higher version wins: it is fetched, or sent. Two bad copies are reported as
// lost for now; another replica may still have a good one. Two good copies of one version with different checksums
// are a conflict, which is reported and left alone: it is a fault of the replication, not of a disk. Whoever takes a
// copy in checks it again.
//
// # Read repair
//
// A reader that meets a bad value calls Mend, which fetches that key from the other replicas at once.
//
// # What the caller sees to
//
// Versions order the writes of a key, the same on all replicas. Entries above Config.Settled are still on their way
// and are left out. A deletion is an entry of its own (Entry.Deleted) until all replicas have it: a key that is just
// gone counts as missing and comes back. Messages go between replicas of the present view only; they may be lost,
// repeated or reordered.
package scrub
