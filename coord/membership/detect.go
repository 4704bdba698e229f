package membership

import (
	"slices"
	"strconv"
	"time"
)

// watch is what a monitor knows of one predecessor.
type watch struct {
	lastContact time.Time // when it was last heard by this machine or by another; or when watching began
	observed    bool      // it was heard indeed
	queriedAt   time.Time // when others were asked about its silence; zero while it isn't silent
	confirmed   bool      // another monitor has said that it is silent too
	replied     bool      // another monitor has answered at all
}

// watchPredecessors looks for predecessors that are silent.
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

// judge asks around about a silent predecessor, and suspects it once that is agreed on.
func (n *Node) checkPredecessor(name string, watched *watch, now time.Time) {
	if n.table.entries[name].update.State != Alive {
		return
	}
	if now.Sub(watched.lastContact) <= n.scaleTimeout(n.config.HeartbeatTimeout) {
		watched.queriedAt = time.Time{}
		return
	}
	if watched.queriedAt.IsZero() {
		n.startIndirectProbe(name, watched, now)
		return
	}
	waited := now.Sub(watched.queriedAt)
	agreed := watched.confirmed && waited >= n.scaleTimeout(n.config.ConfirmationTimeout)
	waitedAlone := waited >= n.scaleTimeout(n.config.UnconfirmedTimeout)
	switch {
	case agreed || waitedAlone && !watched.replied && n.maySuspectUnconfirmed(name, now):
		n.declareSuspect(name, now)
	case waitedAlone:
		n.startIndirectProbe(name, watched, now)
	default:
		n.indirectProbe(name)
	}
}

// askAnew starts to ask around about a silent machine.
func (n *Node) startIndirectProbe(name string, watched *watch, now time.Time) {
	*watched = watch{lastContact: watched.lastContact, observed: watched.observed, queriedAt: now}
	n.indirectProbe(name)
}

// ask asks a silent machine itself, its other monitors, and as many machines at random for signs of it.
func (n *Node) indirectProbe(name string) {
	n.sequence++
	n.send(name, Message{Kind: Probe, Sequence: n.sequence, Digest: n.table.digest(), Updates: n.piggyback()})
	monitors := n.table.ring().Successors(name, n.config.Monitors)
	isAsked := func(other string) bool {
		return other != n.config.Self.Name && other != name && !slices.Contains(monitors, other)
	}
	key := strconv.FormatUint(n.random.Uint64(), 36)
	others := n.table.ring().OwnersFunc(key, n.config.Monitors, isAsked)
	for _, other := range append(monitors, others...) {
		if other != n.config.Self.Name {
			n.send(other, Message{Kind: IndirectProbe, Sequence: n.sequence, Target: name})
		}
	}
}

// mayAccuseAlone tells whether this machine can take it that the silence of another isn't its own deafness: it still
// hears somebody, or nobody else is there to be heard.
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

// suspect starts the suspicion of a machine.
func (n *Node) declareSuspect(name string, now time.Time) {
	known := n.table.entries[name].update
	known.State = Suspect
	n.merge(known, now, true)
	// The machine itself is told, so that it can refute it at once.
	n.send(name, Message{Kind: Heartbeat, Updates: []Update{known}})
}

// bury declares machines dead that have been suspected for long enough.
func (n *Node) declareDead(now time.Time) {
	for _, name := range n.table.suspectNames() {
		suspected := n.table.entries[name]
		if now.Sub(suspected.since) < n.scaleTimeout(n.config.SuspicionTimeout) {
			continue
		}
		dead := suspected.update
		dead.State = Dead
		n.merge(dead, now, true)
	}
}

// heard notes that a machine has been heard, and tells those who asked.
func (n *Node) recordContact(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now, observed: true}
	}
	n.answerIndirectProbes(name, now)
}

// refuted notes that a machine has raised its incarnation, so that it was alive a short while ago.
func (n *Node) recordRefutation(name string, now time.Time) {
	if watched, ok := n.watches[name]; ok {
		*watched = watch{lastContact: now}
	}
}

// queryAnswered takes in what another machine said of a silent one.
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
	if heard := now.Add(-ago); heard.After(watched.lastContact) {
		*watched = watch{lastContact: heard, observed: true}
	}
}
