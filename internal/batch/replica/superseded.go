package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// When may a copy of an older version be dropped?

// expiredQueryInterval is the time between questions about an expired copy. Nothing waits for the answer but its
// bytes, and a batch job whose items may run for ever can be open for long after it has expired.
const expiredQueryInterval = 5 * time.Second

// queryOwners asks owners whether their sets are fully replicated, so that the copies here can be released:
// of all copies while this store retires, else of superseded and of expired ones: an expired one may lack the end.
func (m *StateMachine) queryOwners() {
	now := m.env.Now()
	for _, j := range m.jobsInOrder {
		interval, due := m.ownerQueryInterval(j)
		if j.owned || !due || now-j.ownerQueriedAt < interval {
			continue
		}
		j.ownerQueriedAt = now
		member, present := placement.MemberOf(m.view, m.owners[j.id])
		if present {
			m.env.Send(member.Process, ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version})
		}
	}
}

// ownerQueryInterval returns how often the owner is asked about a copy; due is false if there is nothing to ask.
func (m *StateMachine) ownerQueryInterval(j *storedJob) (interval time.Duration, due bool) {
	expired := m.isExpired(j)
	if j.awaitsRelease() || j.superseded && expired || m.retiring && !j.handedOver {
		return inventoryRetry, true
	}
	return expiredQueryInterval, expired
}

// noteReplicatedElsewhere takes the owner's confirmation that a batch job is on all of its replicas: nothing
// of it depends on this store any more. It must be the owner's own, of this epoch. The ReconciledNotices of
// all stores aren't of one moment: an owner that has just taken over may have reported before that it had
// reconciled.
func (m *StateMachine) noteReplicatedElsewhere(from placement.Key, id string) {
	if transfer, pending := m.transfers[id]; pending && transfer.to == from {
		delete(m.transfers, id)
	}
	if j := m.jobs[id]; j != nil && !j.owned && j.superseded {
		j.releasable = true
	}
	m.checkReconciled()
	m.checkAllReconciled()
}

// notifyReplaced tells the stores that left the replica set in this epoch of the newer version, until they have no
// copy. A view that changes tells them by its inventories; within an epoch nobody else does, and a copy that isn't
// known to be superseded stays behind and may be the last one.
func (m *StateMachine) notifyReplaced(j *storedJob) {
	now := m.env.Now()
	if now < j.notifyReplacedAt || !m.awaitsReplaced(j) {
		return
	}
	j.notifyReplacedAt = now + replicationRetry
	for _, replaced := range j.replaced {
		m.env.Send(replaced, ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version, Replicas: j.replicas})
	}
}

// awaitsReplaced reports whether a member of the view that left the replica set in this epoch may still have a copy.
func (m *StateMachine) awaitsReplaced(j *storedJob) bool {
	return slices.ContainsFunc(j.replaced, func(replaced protocol.Process) bool {
		_, present := placement.MemberOf(m.view, placement.KeyOf(replaced))
		return present
	})
}

// noteSuperseded takes the owner's notice of a newer version than the copy here, which isn't a replica any more. It
// isn't answered: the owner keeps the batch job until this copy has been released.
func (m *StateMachine) noteSuperseded(j *storedJob, owner placement.Key) {
	if _, present := placement.MemberOf(m.view, owner); present && owner != m.self {
		m.owners[j.id] = owner
	}
	j.superseded = true
}

// expiredAtOwner reports whether the owner of a batch job of which a copy is here has dropped it, as it expired. The
// copy here may not know that the batch job was ended. An owner that has nothing of it had it in this epoch, as it
// listed it or was designated by the inventory of this store.
func (m *StateMachine) expiredAtOwner(j *storedJob, from placement.Key, message ReplicationResponse) bool {
	return !j.owned && from == m.owners[j.id] && message.None && m.isExpired(j)
}

// dropSuperseded drops releasable copies. One that is kept for longer than the newer ones could be taken for
// the newest later, though the batch job was ended.
func (m *StateMachine) dropSuperseded() {
	for _, j := range slices.Clone(m.jobsInOrder) {
		if j.superseded && !j.owned && j.releasable {
			m.discard(j)
		}
	}
}
