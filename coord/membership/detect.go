package membership

import (
	"slices"
	"strconv"
	"time"
)

// watch is what a monitor knows of one predecessor. Any contact replaces it, so that the fields of an inquiry
// are those of the current one.
type watch struct {
	lastContact time.Time // of this machine, or of another one as that replied; or when watching began
	observed    bool      // there was such a contact, so that lastContact isn't a mere beginning
	queriedAt   time.Time // when others were first asked in this inquiry; zero if there is none
	confirmed   bool      // another machine has replied that its contact has timed out too
	replied     bool      // another machine has replied
}

// checkPredecessors checks the machines that this one is a monitor of. The watch of a new predecessor begins
// now.
func (n *Node) checkPredecessors(now time.Time) {
	predecessors := n.peers().predecessors
	watches := make(map[string]*watch, len(predecessors))
	for _, name := range predecessors {
		watched, ok := n.watches[name]
		if !ok {
			watched = &watch{lastContact: now}
		}
		watches[name] = watched
	}
	n.watches = watches
	for _, name := range predecessors {
		n.checkPredecessor(name, watches[name], now)
	}
}

// checkPredecessor asks others about a predecessor whose heartbeats have timed out, and suspects it once that
// is confirmed.
//
// An inquiry repeats its messages in each round, as any of them may be lost, and begins anew after
// UnconfirmedTimeout if it has led to nothing. Confirmation by a second machine keeps one faulty link, or one
// machine that receives nothing, from causing a suspicion. Lifeguard shortens suspicions by independent
// confirmations; here one is required before there is any.
func (n *Node) checkPredecessor(name string, watched *watch, now time.Time) {
	if n.table.entries[name].update.State != Alive {
		return
	}
	if now.Sub(watched.lastContact) <= n.scaleTimeout(n.config.HeartbeatTimeout) {
		watched.queriedAt = time.Time{}
		return
	}
	if watched.queriedAt.IsZero() {
		n.startInquiry(name, watched, now)
		return
	}
	waited := now.Sub(watched.queriedAt)
	confirmed := watched.confirmed && waited >= n.scaleTimeout(n.config.ConfirmationTimeout)
	timedOut := waited >= n.scaleTimeout(n.config.UnconfirmedTimeout)
	switch {
	case confirmed || timedOut && !watched.replied && n.maySuspectUnconfirmed(name, now):
		n.declareSuspect(name, now)
	case timedOut:
		n.startInquiry(name, watched, now)
	default:
		n.inquire(name)
	}
}

// startInquiry starts to ask about a machine, and forgets what was replied before.
func (n *Node) startInquiry(name string, watched *watch, now time.Time) {
	*watched = watch{lastContact: watched.lastContact, observed: watched.observed, queriedAt: now}
	n.inquire(name)
}

// inquire probes a machine directly, and indirectly through its other monitors and as many machines chosen at
// random: the monitors know most of it, and the others may have a link to it where the monitors' are
// partitioned.
func (n *Node) inquire(name string) {
	n.sequence++
	n.send(name, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest(), Updates: n.piggyback()})
	monitors := n.table.ring().Successors(name, n.config.Monitors)
	isFurther := func(other string) bool {
		return other != n.config.Self.Name && other != name && !slices.Contains(monitors, other)
	}
	key := strconv.FormatUint(n.random.Uint64(), 36)
	others := n.table.ring().OwnersFunc(key, n.config.Monitors, isFurther)
	for _, other := range append(monitors, others...) {
		if other != n.config.Self.Name {
			n.send(other, Message{Kind: IndirectProbe, Sequence: n.sequence, Target: name})
		}
	}
}

// maySuspectUnconfirmed reports whether this machine can rule out that it is itself the one that receives
// nothing: it has had contact with another machine lately, or knows of none beside the suspect.
func (n *Node) maySuspectUnconfirmed(name string, now time.Time) bool {
	if now.Sub(n.lastContact) <= n.config.HeartbeatTimeout {
		return true
	}
	for _, other := range n.table.ring().Names() {
		if other != name && other != n.config.Self.Name {
			return false
		}
	}
	return true
}

// declareSuspect starts the suspicion of a machine.
func (n *Node) declareSuspect(name string, now time.Time) {
	known := n.table.entries[name].update
	known.State = Suspect
	n.merge(known, now, true)
	// The machine itself learns of it at once, so that it can refute (Lifeguard's buddy system).
	n.send(name, Message{Kind: Heartbeat, Updates: []Update{known}})
}

// declareDead declares the suspects dead that haven't refuted in time. Every machine does so by its own
// clock.
func (n *Node) declareDead(now time.Time) {
	for _, name := range n.table.suspectNames() {
		suspect := n.table.entries[name]
		if now.Sub(suspect.since) < n.scaleTimeout(n.config.SuspicionTimeout) {
			continue
		}
		dead := suspect.update
		dead.State = Dead
		n.merge(dead, now, true)
	}
}

// recordContact notes a message of a machine, and replies to those on whose behalf it was probed.
func (n *Node) recordContact(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now, observed: true}
	}
	n.answerIndirectProbes(name, now)
}

// recordRefutation notes that a machine has raised its incarnation. It was alive a short while ago, though
// not as observed by this machine: the watch begins anew.
func (n *Node) recordRefutation(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now}
	}
}

// onIndirectProbeReply takes in another machine's reply about one that this machine inquires about.
func (n *Node) onIndirectProbeReply(now time.Time, message Message) {
	watched, ok := n.watches[message.Target]
	if !ok || watched.queriedAt.IsZero() || message.LastContactMillis < 0 {
		return
	}
	watched.replied = true
	ago := time.Duration(message.LastContactMillis) * time.Millisecond
	if ago > n.config.HeartbeatTimeout {
		watched.confirmed = true
		return
	}
	if contact := now.Add(-ago); contact.After(watched.lastContact) {
		*watched = watch{lastContact: contact, observed: true}
	}
}
