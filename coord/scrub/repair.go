package scrub

// maxPushBytes bounds the values in one Push in bytes, unless one alone is larger.
const maxPushBytes = 512 << 10

// reconcile pulls what is better at a peer and pushes what is better here. It merges the summaries of both,
// which are in the order of their keys.
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

// resolve decides by the rule of the package comment whether the peer's copy of a key is pulled and whether
// this replica's copy is pushed, and reports what is wrong with the latter. Either is nil if that replica
// lacks the key.
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

// pullsMissing reports whether to pull an entry that wasn't among this replica's summaries. It may
// nevertheless be here, in a version that isn't stable yet or that was written since.
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

// isStable reports whether the present entry of a key is stable still. If it was overwritten since it was
// compared, the peer gets the newer version by itself.
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

// applyPushed repairs this replica's entry by a peer's, if that is valid and the entry here is missing,
// corrupt or older.
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

// diagnose returns what is wrong with this replica's entry, compared with a valid one of a peer, or 0 if
// nothing is.
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
