package scrub

import "time"

// answer compares another replica's range with this one.
func (n *Node) handleCompare(from string, message Compare) {
	entries, until, _, err := n.readRange(message.From, message.To, message.StableVersion)
	if err != nil {
		n.reportStoreError(message.From, err)
		return
	}
	reply := Summaries{Sequence: message.Sequence, Until: until}
	reply.Same = until == message.To && digestOf(entries) == message.Digest && !message.Corrupt && !hasCorrupt(entries)
	if !reply.Same {
		reply.Entries = entries
	}
	n.send(from, reply)
}

// compared takes in another replica's answer.
func (n *Node) handleSummaries(now time.Time, from string, message Summaries) {
	pending := n.pending
	if pending == nil || pending.peer != from || pending.Sequence != message.Sequence {
		return
	}
	if !message.Same {
		n.reconcile(from, entriesBefore(pending.entries, message.Until), message.Entries, pending.stable)
	}
	n.finishRange(now, message.Until)
}

// cut returns the entries before a key, which is empty for the end of all keys.
func entriesBefore(entries []Summary, until string) []Summary {
	for i, entry := range entries {
		if until != "" && entry.Key >= until {
			return entries[:i]
		}
	}
	return entries
}

// settle fetches what is better on the other replica and sends what is better here. Both lists are in the order of
// their keys.
func (n *Node) reconcile(peer string, mine, theirs []Summary, stable uint64) {
	var wanted, offered []string
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
		want, offer := n.resolve(own, other, stable)
		if want {
			wanted = append(wanted, other.Key)
		}
		if offer {
			offered = append(offered, own.Key)
		}
	}
	if len(wanted) > 0 {
		n.send(peer, Pull{Keys: wanted})
	}
	n.push(peer, offered)
}

// judge tells whether the other replica's copy of a key is wanted, and whether the own one is to be sent. Either may
// be nil for a key that a replica lacks.
func (n *Node) resolve(own, other *Summary, stable uint64) (want, offer bool) {
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

// wantMissing tells whether an entry that this replica didn't count is to be fetched: it may be here by now, in a
// version that isn't settled.
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

// isSettled tells whether the present entry of a key is still the one that was compared.
func (n *Node) isStable(key string, stable uint64) bool {
	entry, found, err := n.store.Get(key)
	if err != nil {
		n.reportStoreError(key, err)
		return false
	}
	return found && entry.Version <= stable
}

// deliver sends the good entries of some keys, in parts.
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

// accept mends the own entry by another replica's, if that is good and the own one is missing, bad or older.
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

// problemOf returns what is wrong with the own entry by a good one of another replica, or 0.
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
