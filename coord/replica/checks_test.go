package replica

import (
	"fmt"
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// acknowledgement is an order whose caller was told that it holds.
type acknowledgement struct {
	at    time.Duration
	index uint64 // highest index acknowledged so far
}

// callers tells what the callers of one order know of it.
type callers struct {
	calls    int           // made
	unsent   int           // that were told that theirs never left its node
	open     int           // that wait
	lastGone time.Duration // when the last one gave up
}

// lastAcked returns the highest index acknowledged so far.
func (w *world) lastAcked() uint64 {
	if len(w.ackLine) == 0 {
		return 0
	}
	return w.ackLine[len(w.ackLine)-1].index
}

// ackedBefore returns the highest index acknowledged before a moment.
func (w *world) ackedBefore(moment time.Duration) uint64 {
	position := sort.Search(len(w.ackLine), func(i int) bool { return w.ackLine[i].at >= moment })
	if position == 0 {
		return 0
	}
	return w.ackLine[position-1].index
}

// applied checks that no two different orders stand at one index, and that none was ordered in a view from after its last caller gave up.
func (n *simulatedNode) applied(entry chain.Entry, _ chain.Outcome, _ bool) {
	w := n.world
	command := entry.ID + "=" + string(entry.Order)
	if earlier, known := w.applied[entry.Index]; known {
		if earlier != command {
			w.failf("%s applies %q at %d, another node %q", n.name, command, entry.Index, earlier)
		}
		return
	}
	w.applied[entry.Index] = command
	w.checkDisks(entry)
	w.checkHeldUp(entry)
}

// heldLimit is how long after its last caller gave up an order may be taken into a newer view: the head holds orders that came in the
// midst of a change.
const heldLimit = retransmitInterval + 50*time.Millisecond

// checkHeldUp checks that an order wasn't held somewhere until a view from after its last caller gave up.
func (w *world) checkHeldUp(entry chain.Entry) {
	of := w.callers[entry.ID]
	decided, known := w.decidedAt[entry.Epoch]
	if of == nil || of.open > 0 || !known || w.unordered {
		return
	}
	if decided > of.lastGone+heldLimit {
		w.failf("order %s, whose last caller gave up at %v, was ordered in epoch %d, decided at %v", entry.ID, of.lastGone, entry.Epoch, decided)
	}
}

// adopted checks that there is one view an epoch, and that its source holds all that was acknowledged.
func (n *simulatedNode) adopted(v view.View) {
	w := n.world
	text := fmt.Sprintf("%v source %s at %d", v.Chain, v.Source.ID(), v.SourceEpoch)
	if earlier, known := w.views[v.Epoch]; known {
		if earlier != text {
			w.failf("%s adopts in epoch %d %s, another node %s", n.name, v.Epoch, text, earlier)
		}
		return
	}
	w.views[v.Epoch] = text
	w.decidedAt[v.Epoch] = w.now
	source := w.holder(v.Source)
	if source == nil || v.Epoch == view.GenesisEpoch {
		return
	}
	if end := source.disk.shadow.log.LastIndex(); end < w.lastAcked() {
		w.failf("epoch %d starts from %s, which holds %d of %d acknowledged orders", v.Epoch, source.name, end, w.lastAcked())
	}
}

// checkLeads checks that at most one member holds the singleton roles, that it holds all that was acknowledged before its proof, and
// that none does that is cut off for longer than a term.
func (w *world) checkLeads() {
	var leader *simulatedNode
	for _, n := range w.nodes {
		if !n.up || n.frozen || n.core == nil || !n.leadsAt(w.now) {
			continue
		}
		if leader != nil {
			w.failf("%s and %s lead", leader.name, n.name)
		}
		leader = n
		if end, least := n.core.log.LastIndex(), w.ackedBefore(n.core.staleness.epochConfirmedAt); end < least {
			w.failf("%s leads with %d of %d acknowledged orders", n.name, end, least)
		}
		if n.cutOff && w.now > n.cutOffSince+leaderLeaseDuration {
			w.failf("%s leads, cut off since %v", n.name, n.cutOffSince)
		}
	}
}

func (n *simulatedNode) leadsAt(now time.Duration) bool {
	until, ok := n.core.leaderLease()
	return ok && until > now
}

// acknowledge notes that a caller was told that its order holds.
func (w *world) acknowledge(n *simulatedNode, id string, started time.Duration, outcome chain.Outcome) {
	if n.cutOff && started >= n.cutOffSince && w.callersOf(id).calls == 1 {
		w.failf("%s, cut off since %v, confirms order %s, which only it was given", n.name, n.cutOffSince, id)
	}
	if index, known := w.acked[id]; known {
		if index != outcome.Index {
			w.failf("order %s is acknowledged at %d and again at %d", id, index, outcome.Index)
		}
		return
	}
	w.acked[id] = outcome.Index
	w.ackLine = append(w.ackLine, acknowledgement{at: w.now, index: max(outcome.Index, w.lastAcked())})
	if w.onAck != nil {
		w.onAck(n, id)
	}
}

// lostDisk is a disk that was lost, with what it held.
type lostDisk struct {
	at    time.Duration
	state *recoveredState
}

// lossWindow is how long a loss may lie back of a member that held an order and handed it on, when the last member syncs it: a frozen
// one takes as long.
const lossWindow = 4 * longestLoss

// checkDisks checks that an order that the first node applies is on enough disks, or was until a moment ago.
func (w *world) checkDisks(entry chain.Entry) {
	copies := 0
	for _, n := range w.nodes {
		if n.disk != nil && n.disk.shadow.holds(entry) {
			copies++
		}
	}
	for _, lost := range w.lostDisks {
		if w.now-lost.at <= lossWindow && lost.state.holds(entry) {
			copies++
		}
	}
	if copies < w.tolerance+1 {
		w.failf("order %s at %d is applied and on %d disks", entry.ID, entry.Index, copies)
	}
}

// holds reports whether an entry is on a disk.
func (s *recoveredState) holds(entry chain.Entry) bool {
	if s == nil {
		return false
	}
	base, _ := s.log.Base()
	return entry.Index <= base || entry.Index <= s.log.LastIndex() && s.log.Entry(entry.Index).ID == entry.ID
}

// read does a linearizable read through a node and checks it.
func (n *simulatedNode) read() {
	w := n.world
	start := w.now
	life := n.life
	n.handle(func() {
		n.core.read(w.now, func(index uint64) {
			if n.life != life {
				return
			}
			if least := w.ackedBefore(start); index < least {
				w.failf("%s reads at %d what was acknowledged to %d before", n.name, index, least)
			}
			if n.cutOff && start >= n.cutOffSince {
				w.failf("%s serves a read, cut off since %v", n.name, n.cutOffSince)
			}
		})
	})
}

// checkFresh checks what all nodes claim of their freshness.
func (w *world) checkFresh() {
	for _, n := range w.nodes {
		if !n.up || n.core == nil {
			continue
		}
		since, proven := n.core.currentAsOf()
		if !proven {
			continue
		}
		applied, _ := n.core.state.Applied()
		if least := w.ackedBefore(since); applied < least {
			w.failf("%s claims freshness since %v with %d applied, %d was acknowledged", n.name, since, applied, least)
		}
		if n.cutOff && since > n.cutOffSince {
			w.failf("%s claims freshness since %v, cut off since %v", n.name, since, n.cutOffSince)
		}
	}
}

// mostCopies is how often the prefix is sent to one member in one view.
const mostCopies = 8

// checkCopies checks that a member is not sent the prefix again and again.
func (w *world) checkCopies(to *simulatedNode, epoch uint64) {
	if w.unordered {
		return
	}
	key := fmt.Sprint(to.address, " ", to.life, " ", epoch)
	w.copies[key]++
	if w.copies[key] > mostCopies {
		w.failf("%s is sent %d copies in epoch %d", to.name, w.copies[key], epoch)
	}
}
