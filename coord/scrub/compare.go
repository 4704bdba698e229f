package scrub

import (
	"slices"
	"time"
)

// entryOverhead is the number of bytes that an entry counts in addition to its key and value, so that the number of
// empty entries is bounded too.
const entryOverhead = 64

// keyRange is the result of reading a range of the store.
type keyRange struct {
	entries []Summary
	until   string // first key after the range, empty at the end of all keys
	bytes   int    // number of bytes read, with entryOverhead for each entry
}

// readRange reads and checks the entries with keys in [from, to), or fewer if the bounds of one range
// (Config.RangeEntries, Config.RangeBytes) are reached first. An empty to means the end of all keys. Entries above
// the stable version are read, but left out of the result.
func (n *Node) readRange(from, to string, stable uint64) (keyRange, error) {
	read := keyRange{until: to}
	err := n.store.Scan(from, func(entry Entry) bool {
		if to != "" && entry.Key >= to {
			return false
		}
		if len(read.entries) >= n.config.RangeEntries || read.bytes >= n.config.RangeBytes {
			read.until = entry.Key
			return false
		}
		read.bytes += len(entry.Key) + len(entry.Value) + entryOverhead
		if entry.Version <= stable {
			read.entries = append(read.entries, summarize(entry))
		}
		return true
	})
	return read, err
}

// compareNext reads the next range and sends its digest to a peer.
func (n *Node) compareNext(now time.Time) {
	if len(n.peers) == 0 {
		n.nextRead = now.Add(n.config.Timeout)
		return
	}
	stable := n.config.StableVersion()
	read, err := n.readRange(n.cursor, "", stable)
	n.nextRead = now.Add(time.Duration(read.bytes) * time.Second / time.Duration(n.config.BytesPerSecond))
	if err != nil {
		n.reportStoreError(n.cursor, err)
		n.nextRead = now.Add(n.config.Timeout)
		return
	}
	n.sequence++
	n.pending = &comparison{
		Compare: Compare{
			Sequence:      n.sequence,
			From:          n.cursor,
			To:            read.until,
			StableVersion: stable,
			Digest:        digestOf(read.entries),
			Corrupt:       hasCorrupt(read.entries),
		},
		peer:     n.peers[n.nextPeer%len(n.peers)],
		entries:  read.entries,
		deadline: now.Add(n.config.Timeout),
	}
	n.send(n.pending.peer, n.pending.Compare)
}

// handleCompare compares a peer's range with the same range of this replica and answers the peer. If this replica
// has more entries in it than fit into one range, the answer covers only the first part, and the peer continues
// from there.
func (n *Node) handleCompare(from string, message Compare) {
	read, err := n.readRange(message.From, message.To, message.StableVersion)
	if err != nil {
		n.reportStoreError(message.From, err)
		return
	}
	same := read.until == message.To && digestOf(read.entries) == message.Digest
	reply := Summaries{Sequence: message.Sequence, Until: read.until}
	reply.Same = same && !message.Corrupt && !hasCorrupt(read.entries)
	if !reply.Same {
		reply.Entries = read.entries
	}
	n.send(from, reply)
}

// handleSummaries handles the answer to the pending Compare. Any other answer is late or repeated, and is
// ignored.
func (n *Node) handleSummaries(now time.Time, from string, message Summaries) {
	pending := n.pending
	if pending == nil || pending.peer != from || pending.Sequence != message.Sequence {
		return
	}
	if !message.Same {
		own := entriesBefore(pending.entries, message.Until)
		n.reconcile(from, own, message.Entries, pending.StableVersion)
	}
	n.finishRange(now, message.Until)
}

// finishRange ends the comparison of a range. It moves the cursor to until, the first key after the range, or starts
// the next pass if until is empty.
func (n *Node) finishRange(now time.Time, until string) {
	n.pending = nil
	n.cursor = until
	if until != "" {
		return
	}
	n.passes++
	n.nextPeer++ // so that each range is compared with each peer in turn
	if next := n.passStart.Add(n.config.PassInterval); next.After(n.nextRead) {
		n.nextRead = next
	}
	n.passStart = latest(now, n.nextRead)
}

// entriesBefore returns the entries with keys before until. An empty until means the end of all keys.
func entriesBefore(entries []Summary, until string) []Summary {
	for i, entry := range entries {
		if until != "" && entry.Key >= until {
			return entries[:i]
		}
	}
	return entries
}

// hasCorrupt reports whether any of the entries is corrupt.
func hasCorrupt(entries []Summary) bool {
	return slices.ContainsFunc(entries, func(entry Summary) bool { return entry.Corrupt })
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
