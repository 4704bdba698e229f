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
type callerRecord struct {
	calls         int           // made
	unsent        int           // that were told that theirs never left its node
	open          int           // that wait
	lastWithdrawn time.Duration // when the last one gave up
}

// lastAcked returns the highest index acknowledged so far.
func (sim *simulatedCluster) lastAcked() uint64 {
	if len(sim.ackHistory) == 0 {
		return 0
	}
	return sim.ackHistory[len(sim.ackHistory)-1].index
}

// ackedBefore returns the highest index acknowledged before a moment.
func (sim *simulatedCluster) ackedBefore(moment time.Duration) uint64 {
	position := sort.Search(len(sim.ackHistory), func(i int) bool { return sim.ackHistory[i].at >= moment })
	if position == 0 {
		return 0
	}
	return sim.ackHistory[position-1].index
}

// applied checks that no two different orders stand at one index, and that none was ordered in a view from after its last caller gave up.
func (n *simulatedNode) onApplied(entry chain.Entry, _ chain.Outcome, _ bool) {
	sim := n.sim
	command := entry.ID + "=" + string(entry.Order)
	if earlier, known := sim.applied[entry.Index]; known {
		if earlier != command {
			sim.failf("%s applies %q at %d, another node %q", n.name, command, entry.Index, earlier)
		}
		return
	}
	sim.applied[entry.Index] = command
	sim.checkDurability(entry)
	sim.checkDeferred(entry)
}

// heldLimit is how long after its last caller gave up an order may be taken into a newer view: the head holds orders that came in the
// midst of a change.
const deferredLimit = retransmitInterval + 50*time.Millisecond

// checkHeldUp checks that an order wasn't held somewhere until a view from after its last caller gave up.
func (sim *simulatedCluster) checkDeferred(entry chain.Entry) {
	of := sim.callers[entry.ID]
	decided, known := sim.decidedAt[entry.Epoch]
	if of == nil || of.open > 0 || !known || sim.unordered {
		return
	}
	if decided > of.lastWithdrawn+deferredLimit {
		sim.failf("order %s, whose last caller gave up at %v, was ordered in epoch %d, decided at %v", entry.ID, of.lastWithdrawn, entry.Epoch, decided)
	}
}

// adopted checks that there is one view an epoch, and that its source holds all that was acknowledged.
func (n *simulatedNode) onViewAdopted(v view.View) {
	sim := n.sim
	text := fmt.Sprintf("%v source %s at %d", v.Chain, v.Source.ID(), v.SourceEpoch)
	if earlier, known := sim.views[v.Epoch]; known {
		if earlier != text {
			sim.failf("%s adopts in epoch %d %s, another node %s", n.name, v.Epoch, text, earlier)
		}
		return
	}
	sim.views[v.Epoch] = text
	sim.decidedAt[v.Epoch] = sim.now
	source := sim.ownerOf(v.Source)
	if source == nil || v.Epoch == view.GenesisEpoch {
		return
	}
	if end := source.disk.shadow.log.LastIndex(); end < sim.lastAcked() {
		sim.failf("epoch %d starts from %s, which holds %d of %d acknowledged orders", v.Epoch, source.name, end, sim.lastAcked())
	}
}

// checkLeads checks that at most one member holds the singleton roles, that it holds all that was acknowledged before its proof, and
// that none does that is cut off for longer than a term.
func (sim *simulatedCluster) checkLeaderLeases() {
	var leader *simulatedNode
	for _, n := range sim.nodes {
		if !n.up || n.paused || n.core == nil || !n.holdsLeaseAt(sim.now) {
			continue
		}
		if leader != nil {
			sim.failf("%s and %s lead", leader.name, n.name)
		}
		leader = n
		if end, least := n.core.log.LastIndex(), sim.ackedBefore(n.core.epochConfirmedAt); end < least {
			sim.failf("%s leads with %d of %d acknowledged orders", n.name, end, least)
		}
		if n.partitioned && sim.now > n.partitionedSince+leaderLeaseDuration {
			sim.failf("%s leads, cut off since %v", n.name, n.partitionedSince)
		}
	}
}

func (n *simulatedNode) holdsLeaseAt(now time.Duration) bool {
	until, ok := n.core.leaderLease()
	return ok && until > now
}

// acknowledge notes that a caller was told that its order holds.
func (sim *simulatedCluster) recordAck(n *simulatedNode, id string, started time.Duration, outcome chain.Outcome) {
	if n.partitioned && started >= n.partitionedSince && sim.callersOf(id).calls == 1 {
		sim.failf("%s, cut off since %v, confirms order %s, which only it was given", n.name, n.partitionedSince, id)
	}
	if index, known := sim.acked[id]; known {
		if index != outcome.Index {
			sim.failf("order %s is acknowledged at %d and again at %d", id, index, outcome.Index)
		}
		return
	}
	sim.acked[id] = outcome.Index
	sim.ackHistory = append(sim.ackHistory, acknowledgement{at: sim.now, index: max(outcome.Index, sim.lastAcked())})
	if sim.onAck != nil {
		sim.onAck(n, id)
	}
}

// lostDisk is a disk that was lost, with what it held.
type lostDisk struct {
	at    time.Duration
	state *recoveredState
}

// lossWindow is how long a loss may lie back of a member that held an order and handed it on, when the last member syncs it: a frozen
// one takes as long.
const lossWindow = 4 * maxFaultDuration

// checkDisks checks that an order that the first node applies is on enough disks, or was until a moment ago.
func (sim *simulatedCluster) checkDurability(entry chain.Entry) {
	copies := 0
	for _, n := range sim.nodes {
		if n.disk != nil && n.disk.shadow.holds(entry) {
			copies++
		}
	}
	for _, lost := range sim.lostDisks {
		if sim.now-lost.at <= lossWindow && lost.state.holds(entry) {
			copies++
		}
	}
	if copies < sim.tolerance+1 {
		sim.failf("order %s at %d is applied and on %d disks", entry.ID, entry.Index, copies)
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
	sim := n.sim
	start := sim.now
	incarnation := n.incarnation
	n.handle(func() {
		n.core.read(sim.now, func(index uint64) {
			if n.incarnation != incarnation {
				return
			}
			if least := sim.ackedBefore(start); index < least {
				sim.failf("%s reads at %d what was acknowledged to %d before", n.name, index, least)
			}
			if n.partitioned && start >= n.partitionedSince {
				sim.failf("%s serves a read, cut off since %v", n.name, n.partitionedSince)
			}
		})
	})
}

// checkFresh checks what all nodes claim of their freshness.
func (sim *simulatedCluster) checkStaleness() {
	for _, n := range sim.nodes {
		if !n.up || n.core == nil {
			continue
		}
		since, proven := n.core.currentAsOf()
		if !proven {
			continue
		}
		applied, _ := n.core.state.Applied()
		if least := sim.ackedBefore(since); applied < least {
			sim.failf("%s claims freshness since %v with %d applied, %d was acknowledged", n.name, since, applied, least)
		}
		if n.partitioned && since > n.partitionedSince {
			sim.failf("%s claims freshness since %v, cut off since %v", n.name, since, n.partitionedSince)
		}
	}
}

// mostCopies is how often the prefix is sent to one member in one view.
const maxTransfers = 8

// checkCopies checks that a member is not sent the prefix again and again.
func (sim *simulatedCluster) checkTransfers(to *simulatedNode, epoch uint64) {
	if sim.unordered {
		return
	}
	key := fmt.Sprint(to.address, " ", to.incarnation, " ", epoch)
	sim.transfers[key]++
	if sim.transfers[key] > maxTransfers {
		sim.failf("%s is sent %d copies in epoch %d", to.name, sim.transfers[key], epoch)
	}
}
