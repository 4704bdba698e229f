package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains reconciliation, which decides who owns each batch job in a new epoch. All members exchange
// inventories and reach the same decision from them.

// inventoryRetry is the time after which unanswered inventory requests, lookups, transfers and urgent queries to
// owners are sent again.
const inventoryRetry = 250 * time.Millisecond

// noticeInterval is the time between ReconciledNotices while something waits for all members to reconcile.
const noticeInterval = time.Second

// newestCopies lists the copies of a batch job that have the highest version in the inventories.
type newestCopies struct {
	version  Version
	replicas []protocol.Process
	holders  []placement.Key
	corrupt  map[placement.Key]int // number of sound results, for the holders whose copies are corrupt
}

// restartReconciliation starts a new round, in which all other members are asked for their inventories.
func (m *StateMachine) restartReconciliation() {
	m.inventoryRound++
	m.reconciled = false
	clear(m.inventories)
	m.requestInventories()
	m.reconcile()
}

// requestInventories requests the inventories that are missing in this round.
func (m *StateMachine) requestInventories() {
	m.inventoriesRequestedAt = m.env.Now()
	m.eachOtherMember(func(other protocol.Process) {
		if _, received := m.inventories[placement.KeyOf(other)]; !received {
			m.env.Send(other, InventoryRequest{Stamp: m.stamp(), Round: m.inventoryRound})
		}
	})
}

// inventory lists all batch jobs that this store holds.
func (m *StateMachine) inventory(round uint64) InventoryResponse {
	entries := make([]InventoryEntry, 0, len(m.jobs))
	for _, j := range m.jobsInOrder {
		entries = append(entries, InventoryEntry{
			Job: j.id, Version: j.version, Replicas: j.replicas,
			Count: j.durableResults, Ended: j.endedDurable, Damaged: j.corrupt,
		})
	}
	return InventoryResponse{
		Stamp: m.stamp(), Round: round, Settled: m.reconciledEpoch, Entries: entries, Obscured: m.incompleteLog,
	}
}

// handleInventoryResponse records an inventory of the present round. Inventories of earlier rounds are ignored.
func (m *StateMachine) handleInventoryResponse(from placement.Key, inventory InventoryResponse) {
	if inventory.Round != m.inventoryRound || m.reconciled {
		return
	}
	m.inventories[from] = inventory
	m.departures.reconciledEpochs[from] = inventory.Settled
	m.departures.noteIncompleteLog(from, inventory.Obscured, m.env.Now())
	m.reconcile()
}

// awaitedInventories returns the other members whose inventories are missing.
func (m *StateMachine) awaitedInventories() []placement.Key {
	var list []placement.Key
	m.eachOtherMember(func(other protocol.Process) {
		key := placement.KeyOf(other)
		if _, received := m.inventories[key]; !received {
			list = append(list, key)
		}
	})
	return list
}

// reconcile decides who owns each batch job, once all inventories have been received.
func (m *StateMachine) reconcile() {
	if m.reconciled || !m.isMember {
		return
	}
	if len(m.awaitedInventories()) > 0 {
		return
	}
	m.reconciled = true
	m.departures.noteIncompleteLog(m.self, m.incompleteLog, m.env.Now())
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
			continue // until departed stores have returned
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

// mergeInventories merges the inventories of the other members with that of this store.
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

// mergeEntry adds a holder's copy if its version is the highest so far.
func mergeEntry(all map[string]*newestCopies, holder placement.Key, entry InventoryEntry) {
	newest := all[entry.Job]
	if newest == nil || newest.version < entry.Version {
		newest = &newestCopies{version: entry.Version, replicas: entry.Replicas, corrupt: map[placement.Key]int{}}
		all[entry.Job] = newest
	}
	if newest.version != entry.Version {
		return
	}
	newest.holders = append(newest.holders, holder)
	if entry.Damaged {
		newest.corrupt[holder] = entry.Count
	}
}

// pruneOwners removes the owners of batch jobs that no member holds, except for batch jobs for which this store has
// given its vote in this epoch.
func (m *StateMachine) pruneOwners(all map[string]*newestCopies) {
	for id := range m.owners {
		if _, reserved := m.reservations[id]; all[id] == nil && !reserved {
			delete(m.owners, id)
		}
	}
}

// isNewestVersion reports whether the highest version that members hold is certainly the highest that exists, even if
// too many stores have departed. An owner writes a new version to its own disk first, and the owner is a member of the
// preceding set: if that whole set is active and holds no higher version, none exists.
func (m *StateMachine) isNewestVersion(newest *newestCopies) bool {
	return !m.tooManyDeparted() || m.allActive(newest.replicas)
}

// designatedOwner returns the owner of the highest version. It is the first store of the replica set if that is a
// member, because it had its copy on disk before it sent one; otherwise the first store of the set that is a member and
// listed a copy, or if there is none the holder with the lowest key. All stores of an epoch reach the same result,
// although their inventories were not taken at the same time: within an epoch only the owner raises the version, and
// its new set begins with itself.
func (m *StateMachine) designatedOwner(newest *newestCopies) placement.Key {
	for i, replica := range newest.replicas {
		key := placement.KeyOf(replica)
		_, present := placement.MemberOf(m.view, key)
		if present && (i == 0 || slices.Contains(newest.holders, key)) {
			return key
		}
	}
	return slices.Min(newest.holders)
}

// checkReconciled records that this store has reconciled in the present epoch, once all batch jobs that it owns are
// fully replicated, none is unowned or being transferred, and no superseded copy awaits its release.
func (m *StateMachine) checkReconciled() {
	if !m.reconciled || !m.isMember || m.unowned > 0 || len(m.transfers) > 0 || m.reconciledEpoch == m.view.Epoch {
		return
	}
	for _, j := range m.jobsInOrder {
		if j.owned && !j.isFullyReplicated() || j.awaitsRelease() {
			return
		}
	}
	m.reconciledEpoch = m.view.Epoch
	m.sendReconciledNotice()
	m.checkAllReconciled()
}

// revokeReconciled resets the record that this store has reconciled in the present epoch.
func (m *StateMachine) revokeReconciled() {
	if m.reconciledEpoch > 0 && m.reconciledEpoch == m.view.Epoch {
		m.reconciledEpoch--
	}
}

// sendReconciledNotice sends the other members the newest epoch in which this store has reconciled. If something here
// waits for all members to reconcile, it asks them for theirs.
func (m *StateMachine) sendReconciledNotice() {
	m.departures.noticeSentAt = m.env.Now()
	notice := ReconciledNotice{Stamp: m.stamp(), Settled: m.reconciledEpoch, Ask: m.awaitsAllReconciled()}
	m.eachOtherMember(func(other protocol.Process) { m.env.Send(other, notice) })
}

// handleReconciledNotice records the newest epoch in which another member has reconciled.
func (m *StateMachine) handleReconciledNotice(from protocol.Process, notice ReconciledNotice) {
	m.departures.reconciledEpochs[placement.KeyOf(from)] = notice.Settled
	if notice.Ask {
		m.env.Send(from, ReconciledNotice{Stamp: m.stamp(), Settled: m.reconciledEpoch})
	}
	m.checkAllReconciled()
}

// awaitsAllReconciled reports whether something here waits for all members to reconcile: incomplete logs, the
// retirement of this store, or superseded copies.
func (m *StateMachine) awaitsAllReconciled() bool {
	return len(m.departures.incompleteLogs) > 0 || m.retiring ||
		slices.ContainsFunc(m.jobsInOrder, func(j *storedJob) bool { return j.superseded })
}

// checkAllReconciled drops superseded copies and stops counting incomplete logs, once all members have reconciled.
func (m *StateMachine) checkAllReconciled() {
	if m.tooManyDeparted() || m.reconciledEpoch != m.view.Epoch || !m.awaitsAllReconciled() {
		return
	}
	if !m.allReconciled() {
		return
	}
	m.dropSuperseded()
	if len(m.departures.incompleteLogs) > 0 {
		m.forgetIncompleteLogs()
	}
}

// allReconciled reports whether all members have reported that they reconciled in the present epoch.
func (m *StateMachine) allReconciled() bool {
	all := m.reconciledEpoch == m.view.Epoch
	m.eachOtherMember(func(other protocol.Process) {
		all = all && m.departures.reconciledEpochs[placement.KeyOf(other)] == m.view.Epoch
	})
	return all
}
