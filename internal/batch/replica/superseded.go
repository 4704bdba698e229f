package replica

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the release of copies: superseded copies, and copies at stores that aren't needed any more.

// expiredQueryInterval is the time between queries about an expired copy. The answer isn't urgent, as it only frees the
// bytes of the copy, and a batch job whose items may run for ever can be open for long after it has expired.
const expiredQueryInterval = 5 * time.Second

// queryOwners asks owners whether their sets are fully replicated, so that the copies here can be released. It asks
// about all copies while this store retires, otherwise about superseded and expired copies. An expired copy may lack
// the end.
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

// ownerQueryInterval returns the interval at which the owner is asked about a copy. due is false if it needn't be
// asked.
func (m *StateMachine) ownerQueryInterval(j *storedJob) (interval time.Duration, due bool) {
	expired := m.isExpired(j)
	if j.awaitsRelease() || j.superseded && expired || m.retiring && !j.handedOver {
		return inventoryRetry, true
	}
	return expiredQueryInterval, expired
}

// noteReplicatedElsewhere handles the owner's confirmation that a batch job is on all of its replicas, so that the copy
// here isn't needed any more. The confirmation must be the owner's own, of this epoch. ReconciledNotices of all stores
// don't suffice, because they are not sent at the same time: a store that has just become the owner may have reported
// earlier that it had reconciled.
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

// notifyReplaced notifies the stores that left the replica set in this epoch of the newer version, until they have no
// copy. After a change of the view these stores learn it from the inventories; within an epoch no other message tells
// them. A copy that isn't known to be superseded would be kept, and might be the last one.
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

// noteSuperseded handles the owner's notice that a newer version exists, whose set doesn't include this store. It sends
// no response, so that the owner keeps the batch job until this copy has been released.
func (m *StateMachine) noteSuperseded(j *storedJob, owner placement.Key) {
	if _, present := placement.MemberOf(m.view, owner); present && owner != m.self {
		m.owners[j.id] = owner
	}
	j.superseded = true
}

// expiredAtOwner reports whether the owner has dropped a batch job because it expired, while a copy is still here. The
// copy here may lack the end. An owner that has no copy now had one earlier in this epoch, as it listed one or
// was designated by the inventory of this store.
func (m *StateMachine) expiredAtOwner(j *storedJob, from placement.Key, message ReplicationResponse) bool {
	return !j.owned && from == m.owners[j.id] && message.None && m.isExpired(j)
}

// dropSuperseded drops releasable copies. A superseded copy that is kept for longer than the newer ones could later be
// taken for the newest, although the batch job was ended.
func (m *StateMachine) dropSuperseded() {
	for _, j := range slices.Clone(m.jobsInOrder) {
		if j.superseded && !j.owned && j.releasable {
			m.discard(j)
		}
	}
}
