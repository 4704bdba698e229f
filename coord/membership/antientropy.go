package membership

import "slices"

const (
	// maxSyncUpdates bounds the updates in one Sync message.
	maxSyncUpdates = 64
	// heavyBacklog is the number of pending updates above which dissemination takes several rounds, so that
	// tables are exchanged although updates are pending.
	heavyBacklog = 2 * maxPiggyback
	// mismatchesBeforeSync is the number of mismatches during a heavy backlog after which tables are
	// exchanged.
	mismatchesBeforeSync = 4
	// maxMismatches bounds the number of machines whose last mismatch is kept.
	maxMismatches = 16
)

// digestMismatch is a pair of table digests that differed.
type digestMismatch struct{ own, other uint64 }

// compareDigests compares the digest of another machine's table with that of this table, and requests the
// buckets that differ.
//
// Digests differ regularly while updates are in transit. It therefore sends a request only if no update is
// pending here and the same two digests differ for the second time in a row. In a system with many changes
// updates may always be pending; during a heavy backlog it therefore also sends a request after every
// mismatchesBeforeSync mismatches.
func (n *Node) compareDigests(address string, message Message) {
	seen := digestMismatch{own: n.table.digest(), other: message.Digest}
	if seen.own == seen.other {
		delete(n.mismatches, message.From)
		return
	}
	pending := n.broadcasts.pending()
	if pending > heavyBacklog {
		n.mismatchesUnderLoad++
	}
	isStable := pending == 0 && n.mismatches[message.From] == seen
	if !isStable && n.mismatchesUnderLoad < mismatchesBeforeSync {
		n.recordMismatch(message.From, seen)
		return
	}
	n.mismatchesUnderLoad = 0
	delete(n.mismatches, message.From)
	n.sendTo(message.From, address, Message{Kind: SyncRequest, Digests: slices.Clone(n.table.digests[:])})
}

// recordMismatch stores the mismatch with another machine.
func (n *Node) recordMismatch(name string, seen digestMismatch) {
	if len(n.mismatches) >= maxMismatches {
		clear(n.mismatches)
	}
	n.mismatches[name] = seen
}

// sendTable answers a Join with the whole table, and a SyncRequest with the buckets that differ. The last Sync
// of the answer to a SyncRequest carries this table's digests, so that the other machine returns the buckets in
// which it differs.
func (n *Node) sendTable(address string, message Message) {
	updates := n.table.differingFrom(message.Digests)
	parts := slices.Collect(slices.Chunk(updates, maxSyncUpdates))
	for i, part := range parts {
		reply := Message{Kind: Sync, Updates: part}
		if i == len(parts)-1 && message.Kind == SyncRequest {
			reply.Digests = slices.Clone(n.table.digests[:])
		}
		n.sendTo(message.From, address, reply)
	}
}

// onSync handles a Sync, whose updates have already been merged. If it carries digests, it is the last part of
// another machine's table, and onSync answers with the buckets that still differ.
func (n *Node) onSync(address string, message Message) {
	n.hasSynced = true
	if len(message.Digests) != digestBuckets {
		return
	}
	for part := range slices.Chunk(n.table.differingFrom(message.Digests), maxSyncUpdates) {
		n.sendTo(message.From, address, Message{Kind: Sync, Updates: part})
	}
}
