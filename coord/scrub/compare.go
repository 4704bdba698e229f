package scrub

import (
	"slices"
	"time"
)

// entryOverhead is what an entry counts in bytes besides its key and value, so that empty ones are bounded
// too.
const entryOverhead = 64

// keyRange is a part of the store that was read.
type keyRange struct {
	entries []Summary
	until   string // the first key after the range, empty for the end of all keys
	bytes   int    // that were read
}

// readRange reads and checks the entries from one key up to another, or up to the bounds of one range if
// these come first. An empty upper key is the end of all keys. Entries above the stable version are read and
// left out.
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

// handleCompare compares a peer's range with the same range here. If it holds more entries here than fit one
// range, the answer covers its first part only, and the peer continues from there.
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

// handleSummaries handles the answer to the pending Compare. Any other answer is late or repeated, and
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

// finishRange continues after a range that ended before a key, or starts the next pass if that key is empty.
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

// entriesBefore returns the entries before a key, which is empty for the end of all keys.
func entriesBefore(entries []Summary, until string) []Summary {
	for i, entry := range entries {
		if until != "" && entry.Key >= until {
			return entries[:i]
		}
	}
	return entries
}

// hasCorrupt reports whether one of the entries is corrupt.
func hasCorrupt(entries []Summary) bool {
	return slices.ContainsFunc(entries, func(entry Summary) bool { return entry.Corrupt })
}

// latest returns the later of two times.
func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
