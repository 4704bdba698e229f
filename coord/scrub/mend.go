package scrub

import "time"

// answer compares another replica's range with this one.
func (n *Node) answer(from string, message Compare) {
	entries, until, _, err := n.read(message.From, message.To, message.Settled)
	if err != nil {
		n.failed(message.From, err)
		return
	}
	reply := Summaries{Sequence: message.Sequence, Until: until}
	reply.Same = until == message.To && digestOf(entries) == message.Digest && !message.Bad && !hasBad(entries)
	if !reply.Same {
		reply.Entries = entries
	}
	n.send(from, reply)
}

// compared takes in another replica's answer.
func (n *Node) compared(now time.Time, from string, message Summaries) {
	waiting := n.waiting
	if waiting == nil || waiting.peer != from || waiting.Sequence != message.Sequence {
		return
	}
	if !message.Same {
		n.settle(from, cut(waiting.entries, message.Until), message.Entries, waiting.settled)
	}
	n.rangeDone(now, message.Until)
}

// cut returns the entries before a key, which is empty for the end of all keys.
func cut(entries []Summary, until string) []Summary {
	for i, entry := range entries {
		if until != "" && entry.Key >= until {
			return entries[:i]
		}
	}
	return entries
}

// settle fetches what is better on the other replica and sends what is better here. Both lists are in the order of
// their keys.
func (n *Node) settle(peer string, mine, theirs []Summary, settled uint64) {
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
		want, offer := n.judge(own, other, settled)
		if want {
			wanted = append(wanted, other.Key)
		}
		if offer {
			offered = append(offered, own.Key)
		}
	}
	if len(wanted) > 0 {
		n.send(peer, Fetch{Keys: wanted})
	}
	n.deliver(peer, offered)
}

// judge tells whether the other replica's copy of a key is wanted, and whether the own one is to be sent. Either may
// be nil for a key that a replica lacks.
func (n *Node) judge(own, other *Summary, settled uint64) (want, offer bool) {
	switch {
	case own == nil:
		return n.wantMissing(other), false
	case other == nil:
		if own.Bad {
			n.find(own.Key, Lost)
		}
		return false, !own.Bad && n.isSettled(own.Key, settled)
	case own.Bad && other.Bad:
		n.find(own.Key, Lost)
		return false, false
	case own.Bad:
		n.find(own.Key, Corrupt)
		return other.Version >= own.Version, false
	case other.Bad:
		return false, own.Version >= other.Version
	case own.Version != other.Version:
		if own.Version < other.Version {
			n.find(own.Key, Stale)
		}
		return own.Version < other.Version, own.Version > other.Version
	case own.Checksum != other.Checksum:
		n.find(own.Key, Conflict)
	}
	return false, false
}

// wantMissing tells whether an entry that this replica didn't count is to be fetched: it may be here by now, in a
// version that isn't settled.
func (n *Node) wantMissing(other *Summary) bool {
	entry, found, err := n.store.Get(other.Key)
	if err != nil {
		n.failed(other.Key, err)
		return false
	}
	if found && entry.Version >= other.Version {
		return false
	}
	if other.Bad {
		n.find(other.Key, Lost)
		return false
	}
	n.find(other.Key, Missing)
	return true
}

// isSettled tells whether the present entry of a key is still the one that was compared.
func (n *Node) isSettled(key string, settled uint64) bool {
	entry, found, err := n.store.Get(key)
	if err != nil {
		n.failed(key, err)
		return false
	}
	return found && entry.Version <= settled
}

// deliver sends the good entries of some keys, in parts.
func (n *Node) deliver(peer string, keys []string) {
	var entries []Entry
	bytes := 0
	for _, key := range keys {
		entry, found, err := n.store.Get(key)
		if err != nil {
			n.failed(key, err)
			continue
		}
		if !found || !entry.Good() {
			continue
		}
		if len(entries) > 0 && bytes+len(entry.Value) > deliverBytes {
			n.send(peer, Deliver{Entries: entries})
			entries, bytes = nil, 0
		}
		entries = append(entries, entry)
		bytes += len(entry.Value) + entryOverhead
	}
	if len(entries) > 0 {
		n.send(peer, Deliver{Entries: entries})
	}
}

// accept mends the own entry by another replica's, if that is good and the own one is missing, bad or older.
func (n *Node) accept(entry Entry) {
	if !entry.Good() {
		return
	}
	own, found, err := n.store.Get(entry.Key)
	if err != nil {
		n.failed(entry.Key, err)
		return
	}
	problem := problemOf(own, found, entry)
	if problem == 0 {
		return
	}
	if err := n.store.Repair(entry); err != nil {
		n.failed(entry.Key, err)
		return
	}
	n.output.Findings = append(n.output.Findings, Finding{Key: entry.Key, Problem: problem, Mended: true})
}

// problemOf returns what is wrong with the own entry by a good one of another replica, or 0.
func problemOf(own Entry, found bool, entry Entry) Problem {
	switch {
	case !found:
		return Missing
	case !own.Good() && own.Version <= entry.Version:
		return Corrupt
	case own.Good() && own.Version < entry.Version:
		return Stale
	default:
		return 0
	}
}
