package replica

import (
	"fmt"
	"sort"
	"time"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/coord/view"
)

// acknowledgement is the progress of what callers know to be committed.
type acknowledgement struct {
	at    time.Duration
	index uint64 // highest index acknowledged so far
}

// callerRecord is what the callers of one command were told.
type callerRecord struct {
	calls         int           // number of calls
	unsent        int           // of them: told that the command never left the node
	open          int           // of them: waiting
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

// onApplied checks that all nodes apply the same command at an index, that it is durable on enough disks, and
// that it wasn't appended in a view from after its last caller gave up.
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

// deferredLimit is how long after its last caller gave up a command may be appended in a newer view: the head
// defers commands during a change of the view.
const deferredLimit = retransmitInterval + 50*time.Millisecond

// checkDeferred checks that a command wasn't deferred anywhere until a view from after its last caller gave
// up.
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

// onViewAdopted checks that there is one view for each epoch, and that its source has all acknowledged
// commands.
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
		sim.failf("epoch %d starts from %s, which holds %d of %d acknowledged commands",
			v.Epoch, source.name, end, sim.lastAcked())
	}
}

// checkLeaderLeases checks that at most one member holds the leader lease, that it has all that was
// acknowledged before its proof, and that no member holds it that was partitioned for longer than
// leaderLeaseDuration.
func (sim *simulatedCluster) checkLeaderLeases() {
	var leader *simulatedNode
	for _, n := range sim.nodes {
		if !n.up || n.paused || n.core == nil || !n.holdsLeaseAt(sim.now) {
			continue
		}
		if leader != nil {
			sim.failf("%s and %s hold the leader lease", leader.name, n.name)
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

// holdsLeaseAt reports whether a node holds the leader lease.
func (n *simulatedNode) holdsLeaseAt(now time.Duration) bool {
	until, ok := n.core.leaderLease()
	return ok && until > now
}

// recordAck notes that a caller was told that its command is committed, and checks that all callers of a
// command are told the same index.
func (sim *simulatedCluster) recordAck(n *simulatedNode, id string, started time.Duration, outcome chain.Outcome) {
	if n.partitioned && started >= n.partitionedSince && sim.callersOf(id).calls == 1 {
		sim.failf("%s, partitioned since %v, acknowledges command %s, which no other node was given",
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

// lostDisk is a disk that was lost, with what it held.
type lostDisk struct {
	at    time.Duration
	state *recoveredState
}

// lossWindow is how long before the last member's sync a disk may have been lost that held a command: a
// member that had passed it on may be lost while the next one is paused.
const lossWindow = 4 * maxFaultDuration

// checkDurability checks that a command, when a node first applies it, is on enough disks, or was until a
// moment ago.
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
		sim.failf("command %s at %d is applied and on %d disks", entry.ID, entry.Index, copies)
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
				sim.failf("%s reads at %d what was acknowledged up to %d before", n.name, index, least)
			}
			if n.partitioned && start >= n.partitionedSince {
				sim.failf("%s serves a read, partitioned since %v", n.name, n.partitionedSince)
			}
		})
	})
}

// checkStaleness checks the staleness bounds that all nodes claim.
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

// maxTransfers is how often the prefix may be sent to one process in one view.
const maxTransfers = 8

// checkTransfers checks that a member isn't sent the prefix again and again.
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
