// Package scrub is anti-entropy for the replicas of a keyed store: it finds entries that are corrupt,
// missing, stale or in conflict, and repairs them from another replica. It follows Dynamo (DeCandia et al.,
// SOSP 2007), which repairs in the background and on reads, and uses the words of Demers et al. (PODC 1987):
// a replica pulls what is better elsewhere and pushes what is better here.
//
// A [Node] is a pure state machine for one replica: time and messages go in, messages and findings come out.
// It starts no goroutine, reads no clock and sends nothing itself; the store is read and repaired through the
// interface [Store].
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
// A node walks through its store in the order of the keys, a range at a time, at no more than
// [Config.BytesPerSecond]. It reads every value and checks it against the checksum that was made when it was
// written, which finds corruption that nobody reads otherwise. The digest of the range goes to one peer
// ([Compare]), each pass to the next one in turn. If the peer's digest is the same and neither side found a
// corrupt value, the range is done. Otherwise the peer answers with a summary of each entry ([Summaries]):
// key, version, checksum, corrupt or not.
//
// Dynamo keeps Merkle trees, which find the differing ranges of a large store with few comparisons but must
// be updated with each write. Here the values are read anyway, to check them: a digest a range, a tree of two
// levels, is enough.
//
// # Repair
//
// For each key the valid copy with the higher version wins: it is pulled ([Pull]) or pushed ([Push]). The
// receiver checks its checksum again. Two corrupt copies are reported as [Lost] for now; another peer may
// still have a valid one. Two valid copies of one version with different checksums are a [Conflict], which is
// reported and left alone: it is a fault of the replication, not of a disk, and no rule here could tell which
// is right.
//
// # Read repair
//
// A reader that finds a corrupt value calls [Node.ReadRepair], which pulls that key from all peers at once.
//
// # What the caller has to provide
//
// Versions order the writes of a key, the same on all replicas. Entries above [Config.StableVersion] may
// still be in flight between the replicas, and are left out. A deletion is an entry of its own, a tombstone
// ([Entry.Deleted]), until all replicas have it: a key that is just gone counts as missing and comes back.
// Messages go between replicas of the present view only; they may be lost, repeated or reordered.
package scrub
