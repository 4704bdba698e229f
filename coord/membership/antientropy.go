package membership

import "slices"

const (
	// maxSyncUpdates bounds the updates in one Sync message.
	maxSyncUpdates = 64
	// heavyBacklog is the number of pending updates from which on dissemination takes several rounds, so that
	// tables are exchanged although updates are pending.
	heavyBacklog = 2 * maxPiggyback
	// mismatchesBeforeSync is the number of mismatches during a heavy backlog after which tables are
	// exchanged.
	mismatchesBeforeSync = 4
	// maxMismatches bounds the machines whose last mismatch is remembered.
	maxMismatches = 16
)

// digestMismatch is a pair of table digests that were seen to differ.
type digestMismatch struct{ own, other uint64 }

// compareDigests compares the digest of another machine's table with this one's, and requests what differs.
//
// Digests differ all the time while updates are on their way. So it acts only if nothing is pending here and
// the same two digests differ for the second time; or, as there may always be something pending in a system
// with many changes, now and then during a heavy backlog.
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

// recordMismatch remembers the mismatch with another machine.
func (n *Node) recordMismatch(name string, seen digestMismatch) {
	if len(n.mismatches) >= maxMismatches {
		clear(n.mismatches)
	}
	n.mismatches[name] = seen
}

// sendTable answers a Join with the whole table, and a SyncRequest with the buckets that differ. The last
// part of the latter carries this table's digests, so that the other side returns what it has.
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

// onSync answers the last part of another machine's table with the buckets that still differ, now that its
// updates are merged.
func (n *Node) onSync(address string, message Message) {
	n.hasSynced = true
	if len(message.Digests) != digestBuckets {
		return
	}
	for part := range slices.Chunk(n.table.differingFrom(message.Digests), maxSyncUpdates) {
		n.sendTo(message.From, address, Message{Kind: Sync, Updates: part})
	}
}
