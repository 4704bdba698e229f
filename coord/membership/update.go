package membership

import "time"

// announce makes this machine known with its current incarnation.
func (n *Node) announce(now time.Time) {
	n.table.merge(n.Self(), now)
	n.broadcasts.add(n.Self())
}

// merge takes in an update, spreads it on and reports a change of state. incremental is false for an update
// that comes with a whole table (Sync): if it makes a machine known here for the first time it isn't spread
// on, as otherwise each receiver of a table would spread all of it.
func (n *Node) merge(update Update, now time.Time, incremental bool) {
	if update.State < Alive || update.State > Left {
		return // of a later version, or malformed
	}
	if update.Member.Name == n.config.Self.Name {
		n.refute(update, now)
		return
	}
	old, merged := n.table.merge(update, now)
	if !merged {
		return
	}
	if incremental || old != 0 {
		n.broadcasts.add(update)
	}
	if update.State == Alive {
		n.recordRefutation(update.Member.Name, now)
	}
	if old != update.State {
		n.output.Changes = append(n.output.Changes, Change{Update: update, Old: old})
	}
}

// refute answers an update of this machine itself that isn't true by a higher incarnation, which supersedes
// it everywhere. This is SWIM's refutation; as only this machine raises its incarnation, nobody else can undo
// it. An update with a higher incarnation than its own is left over from an earlier start of this machine,
// and must be surpassed as well.
func (n *Node) refute(update Update, now time.Time) {
	isOwn := update.Incarnation == n.incarnation && update.State == Alive
	if update.Incarnation < n.incarnation || isOwn {
		return
	}
	if update.State == Suspect {
		n.health.worsen() // others had no contact with this machine in time: perhaps it is slow
	}
	n.incarnation = update.Incarnation + 1
	n.announce(now)
}

// requestRefutation sends a machine that isn't known as Alive here, but sends messages, what is known of it,
// so that it refutes that. Replies and Sync aren't answered, so that two machines never answer each other
// without end.
func (n *Node) requestRefutation(address string, message Message) {
	known, ok := n.table.get(message.From)
	if !ok || known.State == Alive || message.Incarnation > known.Incarnation {
		return
	}
	if message.Kind == ProbeReply || message.Kind == IndirectProbeReply || message.Kind == Sync {
		return
	}
	n.sendTo(message.From, address, Message{Kind: ProbeReply, Digest: n.table.digest(), Updates: []Update{known}})
}
