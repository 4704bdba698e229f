package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the transfer of ownership from a designated owner whose copy is corrupt or missing to a store
// with a better copy.

// ownershipTransfer is the transfer of a batch job from this store, its designated owner, to another store.
type ownershipTransfer struct {
	to      placement.Key
	version Version
	sentAt  time.Duration
}

// ownOrTransfer makes this store the owner of a batch job, or transfers the batch job to a store with a better copy of
// the newest version. Only the designated owner calls it, so that one store decides in each epoch.
func (m *StateMachine) ownOrTransfer(id string, newest *newestCopies) {
	j := m.jobs[id]
	hasNewest := j != nil && j.version == newest.version
	if hasNewest && !j.corrupt {
		m.takeOwnership(j)
		return
	}
	soundResults := -1
	if hasNewest {
		soundResults = len(j.results)
	}
	if better := newest.betterHolder(m.self, soundResults); better != "" {
		m.transferOwnership(id, ownershipTransfer{to: better, version: newest.version})
		return
	}
	if hasNewest {
		m.takeOwnership(j)
	}
}

// betterHolder returns another store with a sound copy, the first of the replica set if there are several. If there is
// none, it returns the store with the longest sound prefix that is longer than count results, or an empty key.
func (c *newestCopies) betterHolder(self placement.Key, count int) placement.Key {
	candidates := slices.Sorted(slices.Values(c.holders))
	for _, replica := range slices.Backward(c.replicas) {
		if key := placement.KeyOf(replica); slices.Contains(candidates, key) {
			candidates = slices.Insert(slices.DeleteFunc(candidates, func(k placement.Key) bool { return k == key }), 0, key)
		}
	}
	var longest placement.Key
	for _, key := range candidates {
		prefix, corrupt := c.corrupt[key]
		switch {
		case key == self:
		case !corrupt:
			return key
		case prefix > count:
			longest, count = key, prefix
		}
	}
	return longest
}

// transferOwnership transfers the ownership of a batch job to another store. resendTransfers repeats it until that
// store has fully replicated the batch job.
func (m *StateMachine) transferOwnership(id string, transfer ownershipTransfer) {
	member, present := placement.MemberOf(m.view, transfer.to)
	if !present {
		return
	}
	transfer.sentAt = m.env.Now()
	m.transfers[id] = transfer
	m.owners[id] = transfer.to
	if j := m.jobs[id]; j != nil {
		m.followOwner(j)
	}
	m.env.Send(member.Process, OwnershipTransfer{Stamp: m.stamp(), Job: id, Version: transfer.version})
}

// resendTransfers sends transfers again that may have been lost. A store that has already taken over answers whether
// the batch job is fully replicated.
func (m *StateMachine) resendTransfers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.transfers)) {
		transfer := m.transfers[id]
		if now-transfer.sentAt >= inventoryRetry {
			m.transferOwnership(id, transfer)
		}
	}
}

// handleOwnershipTransfer makes this store the owner of a batch job whose designated owner has no sound copy.
func (m *StateMachine) handleOwnershipTransfer(from protocol.Process, message OwnershipTransfer) {
	if !m.reconciled {
		return
	}
	j := m.jobs[message.Job]
	if j != nil && j.handedOver && m.owners[j.id] == placement.KeyOf(from) {
		j = m.reclaimCopy(j)
	}
	if j == nil || !j.owned && j.version != message.Version { // the copy that the inventory listed was dropped or replaced
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version})
		return
	}
	if j.owned {
		m.env.Send(from, OwnerNotice{Stamp: m.stamp(), Job: j.id, Owner: m.self})
		m.sendReplicationResponse(j, from)
		return
	}
	if j.handedOver { // it has another owner now
		m.sendOwnerNotice(from, j.id)
		return
	}
	m.revokeReconciled() // the batch job has to be fully replicated first
	m.takeOwnership(j)
	m.retryParkedCalls()
}

// reclaimCopy decides about a copy that was handed over to a store which has no copy any more. If the batch job has
// expired, the other store has dropped it, and reclaimCopy drops this copy as well and returns nil. Otherwise the other
// store has lost its copy, and this one is needed again.
func (m *StateMachine) reclaimCopy(j *storedJob) *storedJob {
	if m.isExpired(j) {
		m.discard(j)
		return nil
	}
	j.handedOver = false
	return j
}

// checkTransferRejected restarts the reconciliation if the store that a batch job was transferred to doesn't hold the
// transferred version any more. A response with a newer version isn't a rejection: a store that has taken over may
// have yet to write that version.
func (m *StateMachine) checkTransferRejected(from placement.Key, message ReplicationResponse) {
	transfer, pending := m.transfers[message.Job]
	if pending && transfer.to == from && !message.Held && message.Version == transfer.version {
		delete(m.transfers, message.Job)
		delete(m.owners, message.Job)
		m.restartReconciliation()
	}
}
