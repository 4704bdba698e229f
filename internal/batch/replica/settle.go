package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what follows a change of the view: inventories, and who owns what.

const (
	inventoryRetry = 250 * time.Millisecond
)

// View takes a newer agreed set of stores.
func (m *StateMachine) InstallView(view protocol.StoreView) {
	if !view.Newer(m.view) || m.viewHasEnded(view) {
		return
	}
	m.checkView(view)
	if view.Epoch == m.view.Epoch {
		m.noteAllReconciled(view)
		return
	}
	m.enterEpoch(view)
}

// hasEnded tells whether this store acted in a later view, as its disk tells after a start. A process of control that knows less than
// others may still hand the earlier one out.
func (m *StateMachine) viewHasEnded(view protocol.StoreView) bool {
	return view.Epoch < m.departures.actedEpoch
}

// takeSettled takes in that all members stood whole in the present epoch, so that nobody who left before is missed.
func (m *StateMachine) noteAllReconciled(view protocol.StoreView) {
	tooMany := m.tooManyDeparted()
	m.view = view
	m.departures.update(view, m.env.Now())
	if tooMany && m.reconciled {
		m.restartReconciliation()
	}
}

// change goes on in the view of another epoch.
func (m *StateMachine) enterEpoch(view protocol.StoreView) {
	last, wasPresent := m.view, m.isMember
	m.view = view
	member, present := placement.MemberOf(view, m.self)
	m.departures.enterEpoch(view.Epoch, present)
	m.departures.update(view, m.env.Now())
	m.writeViewRecord()
	m.isMember = present
	m.retiring = present && member.State != protocol.StoreActive
	next := wasPresent && present && view.Epoch == last.Epoch+1
	for _, j := range m.order {
		j.handedOver, j.releasable = false, false
		if j.owned && !(next && m.hasActiveReplicas(j)) {
			m.disown(j)
		}
		if !present {
			m.failPendingCalls(j)
		}
	}
	for id, owner := range m.owners {
		if _, present := placement.MemberOf(view, owner); !present {
			delete(m.owners, id)
		}
	}
	m.resetClaims()
	clear(m.reservations)
	clear(m.lookups)
	clear(m.transfers)
	for _, a := range m.acceptances {
		a.requestedAt = 0
		clear(a.votes)
	}
	if present {
		m.restartReconciliation()
	}
}

// stands tells whether a replica set is good in the present view as it is.
func (m *StateMachine) hasActiveReplicas(j *storedJob) bool {
	if len(j.replicas) < m.options.ReplicationFactor || len(j.handoverReplicas) > 0 {
		return false
	}
	return m.allActive(j.replicas)
}

func (m *StateMachine) allActive(stores []protocol.Process) bool {
	for _, store := range stores {
		member, present := placement.MemberOf(m.view, placement.KeyOf(store))
		if !present || member.State != protocol.StoreActive {
			return false
		}
	}
	return true
}

// disown gives up a batch job until it is known who owns it. What runs may end, and is taken if this store owns it again.
func (m *StateMachine) disown(j *storedJob) {
	j.owned, j.replicated = false, false
	j.handoverReplicas = nil
	j.peers = nil
	j.replaceReplicasAt = 0
}

// leave stops what this store does for a batch job: it is out of the view.
func (m *StateMachine) failPendingCalls(j *storedJob) {
	m.env.Stop(j.id)
	for _, token := range append(j.pendingSubmissions, j.pendingEnds...) {
		m.answer(token, outcomeUnknown())
	}
	j.pendingSubmissions, j.pendingEnds = nil, nil
}

// restart asks all other members for their inventories.
func (m *StateMachine) restartReconciliation() {
	m.inventoryRound++
	m.reconciled = false
	clear(m.inventories)
	m.requestInventories()
	m.reconcile()
}

func (m *StateMachine) requestInventories() {
	m.inventoriesRequestedAt = m.env.Now()
	m.eachOtherMember(func(other protocol.Process) {
		if _, here := m.inventories[placement.KeyOf(other)]; !here {
			m.env.Send(other, InventoryRequest{Stamp: m.stamp(), Round: m.inventoryRound})
		}
	})
}

func (m *StateMachine) inventory(round uint64) InventoryResponse {
	entries := make([]InventoryEntry, 0, len(m.jobs))
	for _, j := range m.order {
		entries = append(entries, InventoryEntry{
			Job: j.id, Version: j.version, Replicas: j.replicas, Count: j.durableResults, Ended: j.endedDurable, Damaged: j.corrupt,
		})
	}
	return InventoryResponse{Stamp: m.stamp(), Round: round, Settled: m.reconciledEpoch, Entries: entries, Obscured: m.incompleteLog}
}

func (m *StateMachine) handleInventoryResponse(from placement.Key, inventory InventoryResponse) {
	if inventory.Round != m.inventoryRound || m.reconciled {
		return
	}
	m.inventories[from] = inventory
	m.departures.reconciledEpochs[from] = inventory.Settled
	m.departures.noteLog(from, inventory.Obscured, m.env.Now())
	m.reconcile()
}

// copies is what is known of a batch job's copies of the highest version.
type newestCopies struct {
	version  Version
	replicas []protocol.Process
	holders  []placement.Key
	corrupt  map[placement.Key]int // those of them whose copies are not whole, with their sound results
}

// settle decides who owns what, once all inventories are here.
func (m *StateMachine) reconcile() {
	if m.reconciled || !m.isMember {
		return
	}
	if len(m.awaited()) > 0 {
		return
	}
	m.reconciled = true
	m.departures.noteLog(m.self, m.incompleteLog, m.env.Now())
	all := m.mergeInventories()
	clear(m.inventories)
	m.pruneOwners(all)
	m.unowned = 0
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if j := m.jobs[id]; j != nil {
			j.superseded = j.version < all[id].version
		}
		if !m.isNewestVersion(all[id]) {
			m.unowned++
			continue // until those that left are back
		}
		owner := m.designatedOwner(all[id])
		if owner == m.self {
			m.ownOrTransfer(id, all[id])
			continue
		}
		m.owners[id] = owner
		if j := m.jobs[id]; j != nil {
			m.followOwner(j)
		}
	}
	m.retryParkedCalls()
	m.checkReconciled()
}

// gather joins the inventories with what is held here.
func (m *StateMachine) mergeInventories() map[string]*newestCopies {
	all := make(map[string]*newestCopies, len(m.jobs))
	for _, entry := range m.inventory(0).Entries {
		mergeEntry(all, m.self, entry)
	}
	for key, inventory := range m.inventories {
		for _, entry := range inventory.Entries {
			mergeEntry(all, key, entry)
		}
	}
	return all
}

func mergeEntry(all map[string]*newestCopies, holder placement.Key, entry InventoryEntry) {
	found := all[entry.Job]
	if found == nil || found.version < entry.Version {
		found = &newestCopies{version: entry.Version, replicas: entry.Replicas, corrupt: map[placement.Key]int{}}
		all[entry.Job] = found
	}
	if found.version != entry.Version {
		return
	}
	found.holders = append(found.holders, holder)
	if entry.Damaged {
		found.corrupt[holder] = entry.Count
	}
}

// forgetDirectory drops what was told of batch jobs that nobody holds, reservations of this epoch apart.
func (m *StateMachine) pruneOwners(all map[string]*newestCopies) {
	for id := range m.owners {
		if _, reserved := m.reservations[id]; all[id] == nil && !reserved {
			delete(m.owners, id)
		}
	}
}

// ownerOf gives the owner of the highest version: the first of its replica set where that is still there, as it had its
// copy on its disk before it sent one; else the first that is there and listed a copy. All stores of an epoch come to the
// same answer, though their inventories are not of one moment: what changes within the epoch is only that the owner raises
// the version, and the new set begins with it.
func (m *StateMachine) designatedOwner(found *newestCopies) placement.Key {
	for i, replica := range found.replicas {
		key := placement.KeyOf(replica)
		_, present := placement.MemberOf(m.view, key)
		if present && (i == 0 || slices.Contains(found.holders, key)) {
			return key
		}
	}
	return slices.Min(found.holders)
}

// take owns a batch job, with a replica set that is good in the present view.
func (m *StateMachine) takeOwnership(j *storedJob) {
	if j.owned {
		for i := range j.peers {
			j.peers[i].awaitsResponse = false
		}
		m.replicateJob(j)
		return
	}
	delete(m.owners, j.id)
	delete(m.transfers, j.id) // what was given away falls to this store again
	j.owned = true
	m.noteInheritedTokens(j)
	m.revokeReconciled() // its set has to be made whole first
	switch {
	case m.retiring:
		m.startHandover(j)
	case m.hasActiveReplicas(j) && placement.KeyOf(j.replicas[0]) == m.self && !j.corrupt && m.soleOwnerSince(j.version):
		j.setReplicas(j.version, j.replicas, m.self)
	default:
		m.reconfigure(j)
	}
	m.announceOwner(j.id, m.self)
	m.replicateJob(j)
	m.maybeCommit(j)
}

// ownedSince tells that nobody else can have owned a batch job since its version was made here. In a view without this store
// another one may have chosen a higher version, and left before it showed anything: to go on under this one would show what
// that one doesn't hold when it is back.
func (m *StateMachine) soleOwnerSince(version Version) bool {
	since := m.departures.memberSince
	return since > 0 && version >= versionOf(since, 0)
}

// renew gives a batch job a new replica set: this store, those left of the old one, and others up to the count.
func (m *StateMachine) reconfigure(j *storedJob) {
	kept := []protocol.Process{m.options.Self}
	for _, replica := range j.replicas {
		key := placement.KeyOf(replica)
		member, present := placement.MemberOf(m.view, key)
		if key != m.self && present && member.State == protocol.StoreActive && len(kept) < m.options.ReplicationFactor {
			kept = append(kept, replica)
		}
	}
	replicas := m.addRetiring(placement.Replicas(j.id, m.view, kept, m.options.ReplicationFactor))
	j.setReplicas(j.version.next(m.view.Epoch), replicas, m.self)
	m.writeReplicas(j)
}

// fillUp adds stores that are to be emptied to a set that too few active ones are left for: they go once others have come.
func (m *StateMachine) addRetiring(replicas []protocol.Process) []protocol.Process {
	for _, member := range m.view.Members {
		missing := len(replicas) < m.options.ReplicationFactor && member.State == protocol.StoreRetiring
		if missing && !placement.Contains(replicas, placement.KeyOf(member.Process)) {
			replicas = append(replicas, member.Process)
		}
	}
	return replicas
}

// pass leaves a batch job to its owner. What runs here is stopped.
func (m *StateMachine) followOwner(j *storedJob) {
	j.owned, j.replicated = false, false
	j.peers = nil
	j.content, j.uncommitted = nil, nil
	m.env.Stop(j.id)
	m.redirectPending(j)
}

// announce tells the others who owns a batch job.
func (m *StateMachine) announceOwner(id string, owner placement.Key) {
	m.eachOtherMember(func(other protocol.Process) {
		m.env.Send(other, OwnerNotice{Stamp: m.stamp(), Job: id, Owner: owner})
	})
}

// Report tells control how far this store is.
func (m *StateMachine) Report() protocol.BatchReport {
	return protocol.BatchReport{
		Epoch:       m.view.Epoch,
		ActedIn:     m.ActedIn(),
		Settled:     m.reconciledEpoch,
		Missing:     m.departures.countMissing(),
		BatchJobs:   len(m.jobs),
		FreeBytes:   m.env.FreeBytes(),
		DrainedDown: m.drained(),
	}
}

// checkSettled notes once all that this store owns stands whole in the present epoch.
func (m *StateMachine) checkReconciled() {
	if !m.reconciled || !m.isMember || m.unowned > 0 || len(m.transfers) > 0 || m.reconciledEpoch == m.view.Epoch {
		return
	}
	for _, j := range m.order {
		if j.owned && !j.isFullyReplicated() || j.awaitsRelease() {
			return
		}
	}
	m.reconciledEpoch = m.view.Epoch
	m.sendReconciledNotice()
	m.checkAllReconciled()
}

// drained tells whether a retiring store keeps nothing that isn't whole on other stores. It waits until all members stand
// whole, so that nobody has yet to choose sets in this epoch, and for one that stays.
func (m *StateMachine) drained() bool {
	if !m.retiring || !m.reconciled || len(m.acceptances) > 0 {
		return false
	}
	if !m.allReconciled() || len(placement.ActiveMembers(m.view)) == 0 {
		return false
	}
	for _, j := range m.order {
		if !j.handedOver {
			return false
		}
	}
	return true
}

// askOwners asks the owners of what this store lets go whether their sets are whole: of all that it holds while it retires, else of
// copies that were left behind.
func (m *StateMachine) queryOwners() {
	now := m.env.Now()
	for _, j := range m.order {
		lets := j.awaitsRelease() || j.superseded && m.isExpired(j) || m.retiring && !j.handedOver
		if j.owned || !lets || now-j.ownerQueriedAt < inventoryRetry {
			continue
		}
		j.ownerQueriedAt = now
		member, present := placement.MemberOf(m.view, m.owners[j.id])
		if present {
			m.env.Send(member.Process, ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version})
		}
	}
}
