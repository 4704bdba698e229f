package replica

import (
	"maps"
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Who owns a batch job instead of a store whose copy is corrupt or missing?

// ownershipTransfer is a batch job that this store would own, transferred to another one.
type ownershipTransfer struct {
	to      placement.Key
	version Version
	sentAt  time.Duration
}

// ownOrTransfer owns a batch job that falls to this store, or transfers it to a store with a better copy of
// the newest version. Only the designated owner calls it, so there is one decision in an epoch.
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

// betterHolder returns the store with a sound copy, the first of the replica set if there are several; else
// the one with the longest sound prefix that is longer than count results.
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

// transferOwnership sends a batch job's ownership to another store, and keeps sending until the batch job is
// fully replicated there.
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

// resendTransfers sends transfers again that may have been lost. To one that has taken over it is a question
// whether the batch job is fully replicated there.
func (m *StateMachine) resendTransfers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.transfers)) {
		transfer := m.transfers[id]
		if now-transfer.sentAt >= inventoryRetry {
			m.transferOwnership(id, transfer)
		}
	}
}

// handleOwnershipTransfer owns a batch job whose designated owner has no sound copy.
func (m *StateMachine) handleOwnershipTransfer(from protocol.Process, message OwnershipTransfer) {
	if !m.reconciled {
		return
	}
	j := m.jobs[message.Job]
	if j != nil && j.handedOver && m.owners[j.id] == placement.KeyOf(from) {
		j = m.takeBack(j)
	}
	if j == nil || !j.owned && j.version != message.Version { // what the inventory listed was dropped or replaced
		m.env.Send(from, ReplicationResponse{Stamp: m.stamp(), Job: message.Job, Version: message.Version})
		return
	}
	if j.owned {
		m.env.Send(from, OwnerNotice{Stamp: m.stamp(), Job: j.id, Owner: m.self})
		m.sendReplicationResponse(j, from)
		return
	}
	if j.handedOver { // and has another owner now
		m.sendOwnerNotice(from, j.id)
		return
	}
	m.revokeReconciled() // it has to be fully replicated first
	m.takeOwnership(j)
	m.retryParkedCalls()
}

// takeBack decides about a copy that was handed over to a store which has none any more: it dropped the batch job,
// if that has expired, and so is this copy, or else its copy is gone and this one is needed again. The result is nil
// if the copy was dropped.
func (m *StateMachine) takeBack(j *storedJob) *storedJob {
	if m.isExpired(j) {
		m.discard(j)
		return nil
	}
	j.handedOver = false
	return j
}

// checkTransferRejected matches inventories anew if the store that a batch job was transferred to doesn't
// hold the version any more. One that has taken over may have yet to write a newer version.
func (m *StateMachine) checkTransferRejected(from placement.Key, message ReplicationResponse) {
	transfer, pending := m.transfers[message.Job]
	if pending && transfer.to == from && !message.Held && message.Version == transfer.version {
		delete(m.transfers, message.Job)
		delete(m.owners, message.Job)
		m.restartReconciliation()
	}
}
