package membership

import "time"

// announce adds this machine with its current incarnation to the table and queues it for dissemination.
func (n *Node) announce(now time.Time) {
	n.table.merge(n.Self(), now)
	n.broadcasts.add(n.Self())
}

// merge merges an update into the table, queues it for dissemination and reports a change of state.
// incremental is false for an update that comes with a table (Sync). Such an update of a machine that wasn't
// known isn't disseminated, as otherwise each receiver of a table would disseminate all of it.
func (n *Node) merge(update Update, now time.Time, incremental bool) {
	if update.State < Alive || update.State > Left {
		return // sent by a later version, or malformed
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

// refute answers a false update of this machine itself by announcing a higher incarnation, which supersedes
// the update everywhere. This is SWIM's refutation. Only this machine raises its incarnation, so that no other
// machine can override the refutation. An update with a higher incarnation than the current one stems from an
// earlier start of this machine and must be superseded as well.
func (n *Node) refute(update Update, now time.Time) {
	isOwn := update.Incarnation == n.incarnation && update.State == Alive
	if update.Incarnation < n.incarnation || isOwn {
		return
	}
	if update.State == Suspect {
		n.health.worsen() // the monitors had no contact with this machine in time; it may be slow
	}
	n.incarnation = update.Incarnation + 1
	n.announce(now)
}

// requestRefutation sends the sender of a message the update that this node has of it, if that isn't Alive,
// so that the sender refutes it. ProbeReply, IndirectProbeReply and Sync aren't answered, because otherwise two
// machines could answer each other endlessly.
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
