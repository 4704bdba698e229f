package scrub

// maxPushBytes bounds the total size of the values in one Push, in bytes. A single larger value is sent alone.
const maxPushBytes = 512 << 10

// reconcile pulls the entries of which the peer has the better copy and pushes the entries of which this replica has
// the better copy. It merges the summaries of both replicas, which are in key order.
func (n *Node) reconcile(peer string, mine, theirs []Summary, stable uint64) {
	var pulled, pushed []string
	for len(mine) > 0 || len(theirs) > 0 {
		var own, other *Summary
		if len(theirs) == 0 || len(mine) > 0 && mine[0].Key <= theirs[0].Key {
			own = &mine[0]
		}
		if len(mine) == 0 || len(theirs) > 0 && theirs[0].Key <= mine[0].Key {
			other = &theirs[0]
		}
		if own != nil {
			mine = mine[1:]
		}
		if other != nil {
			theirs = theirs[1:]
		}
		pull, push := n.resolve(own, other, stable)
		if pull {
			pulled = append(pulled, other.Key)
		}
		if push {
			pushed = append(pushed, own.Key)
		}
	}
	if len(pulled) > 0 {
		n.send(peer, Pull{Keys: pulled})
	}
	n.push(peer, pushed)
}

// resolve decides by the rule in the package documentation whether to pull the peer's copy of a key and whether to
// push this replica's copy. It reports problems of this replica's copy. own or other is nil if that replica lacks
// the key.
func (n *Node) resolve(own, other *Summary, stable uint64) (pull, push bool) {
	switch {
	case own == nil:
		return n.pullsMissing(other), false
	case other == nil:
		if own.Corrupt {
			n.report(own.Key, Lost)
		}
		return false, !own.Corrupt && n.isStable(own.Key, stable)
	case own.Corrupt && other.Corrupt:
		n.report(own.Key, Lost)
		return false, false
	case own.Corrupt:
		n.report(own.Key, Corrupt)
		return other.Version >= own.Version, false
	case other.Corrupt:
		return false, own.Version >= other.Version
	case own.Version != other.Version:
		if own.Version < other.Version {
			n.report(own.Key, Stale)
		}
		return own.Version < other.Version, own.Version > other.Version
	case own.Checksum != other.Checksum:
		n.report(own.Key, Conflict)
	}
	return false, false
}

// pullsMissing reports whether to pull an entry that wasn't among this replica's summaries. This replica may have the
// key nevertheless, in a version that isn't stable yet or that was written since the range was read.
func (n *Node) pullsMissing(other *Summary) bool {
	entry, found, err := n.store.Get(other.Key)
	if err != nil {
		n.reportStoreError(other.Key, err)
		return false
	}
	if found && entry.Version >= other.Version {
		return false
	}
	if other.Corrupt {
		n.report(other.Key, Lost)
		return false
	}
	n.report(other.Key, Missing)
	return true
}

// isStable reports whether the current entry of a key is still stable. If the entry was overwritten since it was
// compared, the peer receives the newer version without this push.
func (n *Node) isStable(key string, stable uint64) bool {
	entry, found, err := n.store.Get(key)
	if err != nil {
		n.reportStoreError(key, err)
		return false
	}
	return found && entry.Version <= stable
}

// push sends the valid entries of some keys to a peer, in messages of bounded size.
func (n *Node) push(peer string, keys []string) {
	var entries []Entry
	bytes := 0
	for _, key := range keys {
		entry, found, err := n.store.Get(key)
		if err != nil {
			n.reportStoreError(key, err)
			continue
		}
		if !found || !entry.Valid() {
			continue
		}
		if len(entries) > 0 && bytes+len(entry.Value) > maxPushBytes {
			n.send(peer, Push{Entries: entries})
			entries, bytes = nil, 0
		}
		entries = append(entries, entry)
		bytes += len(entry.Value) + entryOverhead
	}
	if len(entries) > 0 {
		n.send(peer, Push{Entries: entries})
	}
}

// applyPushed repairs this replica's entry with a peer's, if the peer's entry is valid and this replica's entry is
// missing, corrupt or older.
func (n *Node) applyPushed(entry Entry) {
	if !entry.Valid() {
		return
	}
	own, found, err := n.store.Get(entry.Key)
	if err != nil {
		n.reportStoreError(entry.Key, err)
		return
	}
	problem := diagnose(own, found, entry)
	if problem == 0 {
		return
	}
	if err := n.store.Repair(entry); err != nil {
		n.reportStoreError(entry.Key, err)
		return
	}
	n.output.Findings = append(n.output.Findings, Finding{Key: entry.Key, Problem: problem, Repaired: true})
}

// diagnose returns the problem of this replica's entry, compared with a valid entry of a peer, or 0 if there is no
// problem that the peer's entry can repair.
func diagnose(own Entry, found bool, entry Entry) Problem {
	switch {
	case !found:
		return Missing
	case !own.Valid() && own.Version <= entry.Version:
		return Corrupt
	case own.Valid() && own.Version < entry.Version:
		return Stale
	default:
		return 0
	}
}
