package replica

import (
	"fmt"
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// acknowledgement is a point in the history of the highest acknowledged index.
type acknowledgement struct {
	at    time.Duration
	index uint64 // highest index acknowledged so far
}

// callerRecord records the calls that proposed one command, and their results.
type callerRecord struct {
	calls         int           // number of calls
	unsent        int           // number of calls that were told that the command never left the node
	open          int           // number of calls that weren't withdrawn
	lastWithdrawn time.Duration // when the last call was withdrawn
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

// onApplied checks that all nodes apply the same command at an index, that the command is durable on enough disks, and
// that it wasn't appended in a view that was decided long after its last caller had given up.
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

// deferredLimit is the maximum time between the withdrawal of a command's last caller and the decision of a view in
// which the command is still appended. It isn't zero because the head defers commands during a change of the view.
const deferredLimit = retransmitInterval + 50*time.Millisecond

// checkDeferred checks that a command wasn't deferred until a view that was decided more than deferredLimit after its
// last caller had given up.
func (sim *simulatedCluster) checkDeferred(entry chain.Entry) {
	record := sim.callers[entry.ID]
	decided, known := sim.decidedAt[entry.Epoch]
	if record == nil || record.open > 0 || !known || sim.unordered {
		return
	}
	if decided > record.lastWithdrawn+deferredLimit {
		sim.failf("command %s, whose last caller gave up at %v, was appended in epoch %d, decided at %v",
			entry.ID, record.lastWithdrawn, entry.Epoch, decided)
	}
}

// onViewAdopted checks that there is only one view for each epoch, and that its source has all acknowledged commands.
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
		sim.failf("the source of epoch %d is %s, which holds %d of %d acknowledged commands",
			v.Epoch, source.name, end, sim.lastAcked())
	}
}

// checkLeaderLeases checks that at most one member holds the leader lease, that its log has all commands acknowledged
// before its epoch confirmation, and that it hasn't been partitioned for longer than leaderLeaseDuration.
func (sim *simulatedCluster) checkLeaderLeases() {
	var leader *simulatedNode
	for _, n := range sim.nodes {
		if !n.up || n.paused || n.core == nil || !n.holdsLeaseAt(sim.now) {
			continue
		}
		if leader != nil {
			sim.failf("%s and %s hold the leader lease at the same time", leader.name, n.name)
		}
		leader = n
		if end, least := n.core.log.LastIndex(), sim.ackedBefore(n.core.epochConfirmedAt); end < least {
			sim.failf("%s holds the leader lease with %d of %d acknowledged commands", n.name, end, least)
		}
		if n.partitioned && sim.now > n.partitionedSince+leaderLeaseDuration {
			sim.failf("%s holds the leader lease, partitioned since %v", n.name, n.partitionedSince)
		}
	}
}

// holdsLeaseAt reports whether a node holds the leader lease beyond the moment now.
func (n *simulatedNode) holdsLeaseAt(now time.Duration) bool {
	until, ok := n.core.leaderLease()
	return ok && until > now
}

// recordAck records the acknowledgement of a command. It checks that all callers of a command receive the same index,
// and that a partitioned node doesn't acknowledge a command that was proposed only through it during the partition.
func (sim *simulatedCluster) recordAck(n *simulatedNode, id string, started time.Duration, outcome chain.Outcome) {
	if n.partitioned && started >= n.partitionedSince && sim.callersOf(id).calls == 1 {
		sim.failf("%s, partitioned since %v, acknowledges command %s, which was proposed through no other node",
			n.name, n.partitionedSince, id)
	}
	if index, known := sim.acked[id]; known {
		if index != outcome.Index {
			sim.failf("command %s is acknowledged at %d and again at %d", id, index, outcome.Index)
		}
		return
	}
	sim.acked[id] = outcome.Index
	sim.ackHistory = append(sim.ackHistory, acknowledgement{at: sim.now, index: max(outcome.Index, sim.lastAcked())})
	if sim.onAck != nil {
		sim.onAck(n, id)
	}
}

// lostDisk is a disk that was lost, with its durable state at that time.
type lostDisk struct {
	at    time.Duration
	state *recoveredState
}

// lossWindow is the time for which a lost disk still counts as a copy of the commands that it held: a member that has
// sent a command to its successor may lose its disk while the successor is paused, so that the command is applied
// later.
const lossWindow = 4 * maxFaultDuration

// checkDurability checks that a command, when a node first applies it, is on more than tolerance disks, including disks
// that were lost within lossWindow.
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
		sim.failf("command %s at %d is applied but only on %d disks", entry.ID, entry.Index, copies)
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

// read starts a linearizable read through a node, and checks its index, and that a partitioned node doesn't serve it.
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
				sim.failf("%s reads at index %d, but %d was acknowledged before the read", n.name, index, least)
			}
			if n.partitioned && start >= n.partitionedSince {
				sim.failf("%s serves a read, partitioned since %v", n.name, n.partitionedSince)
			}
		})
	})
}

// checkStaleness checks the staleness bounds of all nodes.
func (sim *simulatedCluster) checkStaleness() {
	for _, n := range sim.nodes {
		if !n.up || n.core == nil {
			continue
		}
		asOf, proven := n.core.currentAsOf()
		if !proven {
			continue
		}
		applied, _ := n.core.state.Applied()
		if least := sim.ackedBefore(asOf); applied < least {
			sim.failf("%s claims to be current as of %v with %d applied, %d was acknowledged", n.name, asOf, applied, least)
		}
		if n.partitioned && asOf > n.partitionedSince {
			sim.failf("%s claims to be current as of %v, partitioned since %v", n.name, asOf, n.partitionedSince)
		}
	}
}

// maxTransfers is the maximum number of prefix transfers to one process in one view.
const maxTransfers = 8

// checkTransfers counts a prefix transfer, and checks that a process isn't sent more than maxTransfers in one view.
func (sim *simulatedCluster) checkTransfers(to *simulatedNode, epoch uint64) {
	if sim.unordered {
		return
	}
	key := fmt.Sprint(to.address, " ", to.incarnation, " ", epoch)
	sim.transfers[key]++
	if sim.transfers[key] > maxTransfers {
		sim.failf("%s is sent %d prefix transfers in epoch %d", to.name, sim.transfers[key], epoch)
	}
}
