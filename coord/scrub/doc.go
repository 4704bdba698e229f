// Package scrub implements anti-entropy for the replicas of a keyed store. It finds entries that are corrupt,
// missing, stale or in conflict, and repairs them from another replica, except for conflicts. It follows Dynamo
// (DeCandia et al., SOSP 2007), which repairs in the background and on reads, and uses the terms of Demers et
// al. (PODC 1987): a replica pulls entries of which a peer has the better copy, and pushes entries of which it
// has the better copy itself.
//
// A [Node] is a state machine for one replica. Its inputs are the time and messages, and its outputs are
// messages and findings. It starts no goroutine, reads no clock and sends nothing itself. It reads and repairs
// the store through the interface [Store].
//
// # Use
//
//	node := scrub.New(scrub.Config{}, store, time.Now())
//	node.SetPeers(others)
//	// at node.NextTick():            output := node.Tick(now)
//	// when a message arrives:        output := node.Receive(now, from, message)
//	// when a reader finds corruption: output := node.ReadRepair(key)
//	// then send output.Messages, and report output.Findings
//
// # Background scrub
//
// A node reads its store in key order, one range at a time, at no more than [Config.BytesPerSecond]. It reads
// every value and checks it against the checksum that was computed when the value was written, which also finds
// corruption in values that no client reads. It sends the digest of the range to one peer ([Compare]); each
// pass uses the next peer in turn. If the peer's digest is the same and neither side found a corrupt value, the
// range is done. Otherwise the peer answers with a summary of each entry ([Summaries]): its key, version and
// checksum, and whether it is corrupt.
//
// Dynamo keeps Merkle trees, which find the differing ranges of a large store with few comparisons but must be
// updated with each write. This package reads all values anyway to check them, so one digest per range, which
// is a tree of two levels, is enough.
//
// # Repair
//
// For each key the valid copy with the higher version wins: it is pulled ([Pull]) or pushed ([Push]). The
// receiver checks its checksum again. If both copies are corrupt, the key is reported as [Lost], although
// another peer may still have a valid copy. Two valid copies of the same version with different checksums are a
// [Conflict], which is reported and not repaired: it is a fault of the replication, not of a disk, and this
// package can't determine which copy is right.
//
// # Read repair
//
// A reader that finds a corrupt value calls [Node.ReadRepair], which pulls that key from all peers at once.
//
// # What the caller has to provide
//
// Versions must order the writes of a key in the same way on all replicas. Entries above [Config.StableVersion]
// may still be in flight between the replicas, and are not compared. A deletion must be kept as an entry, a
// tombstone ([Entry.Deleted]), until all replicas have it, because a key that is simply absent counts as
// missing and is restored. Messages must be exchanged only between replicas of the current view; they may be
// lost, repeated or reordered.
package scrub
