package membership

import (
	"slices"
	"strconv"
	"time"
)

// watch is a monitor's state for one predecessor. Any contact replaces it, so that queriedAt, confirmed and
// replied always belong to the current inquiry.
type watch struct {
	lastContact time.Time // by this machine or by another machine that reported it, or else the time when watching began
	observed    bool      // lastContact is the time of an actual contact and not that when watching began
	queriedAt   time.Time // when other machines were first asked in this inquiry; zero if there is no inquiry
	confirmed   bool      // another machine has replied that its last contact has timed out too
	replied     bool      // another machine has replied
}

// checkPredecessors checks the predecessors, which are the machines that this machine monitors. It starts
// watching new predecessors at now.
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

// checkPredecessor asks other machines about a predecessor whose heartbeats have timed out, and suspects the
// predecessor once another machine confirms the time-out.
//
// An inquiry repeats its messages in each round, as any of them may be lost, and restarts after
// UnconfirmedTimeout if it has had no result. Confirmation by a second machine keeps one faulty link, or one
// machine that receives nothing, from causing a suspicion. Lifeguard shortens the suspicion timeout with each
// independent confirmation; this package requires a confirmation before it starts a suspicion.
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

// startInquiry starts an inquiry about a machine and discards the replies to an earlier inquiry.
func (n *Node) startInquiry(name string, watched *watch, now time.Time) {
	*watched = watch{lastContact: watched.lastContact, observed: watched.observed, queriedAt: now}
	n.inquire(name)
}

// inquire probes a machine directly, and indirectly through its other monitors and Config.Monitors machines
// chosen at random. The monitors know most about it, and the random machines may still reach it if the
// monitors are partitioned from it.
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

// maySuspectUnconfirmed reports whether this machine may suspect another one without confirmation. It must be
// able to rule out that it receives nothing itself: it received a message within HeartbeatTimeout, or there is
// no other machine than the suspect on the ring.
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

// declareSuspect sets a machine to Suspect and starts to disseminate that.
func (n *Node) declareSuspect(name string, now time.Time) {
	known := n.table.entries[name].update
	known.State = Suspect
	n.merge(known, now, true)
	// Inform the suspect at once, so that it can refute the suspicion (Lifeguard's buddy system).
	n.send(name, Message{Kind: Heartbeat, Updates: []Update{known}})
}

// declareDead declares those suspects dead that haven't refuted the suspicion within SuspicionTimeout. Each
// machine measures that timeout by its own clock.
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

// recordContact records that a machine sent a message, and answers the indirect probes of that machine.
func (n *Node) recordContact(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now, observed: true}
	}
	n.answerIndirectProbes(name, now)
}

// recordRefutation records that a machine has raised its incarnation. The machine was alive a short while ago,
// but this machine didn't observe that itself, so that the watch restarts.
func (n *Node) recordRefutation(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now}
	}
}

// onIndirectProbeReply handles another machine's reply about the target of an inquiry.
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
