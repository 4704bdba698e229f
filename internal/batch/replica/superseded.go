package replica

import (
	"slices"

	"sprucelane.example/sprucelane/internal/batch/placement"
)

// When may a copy of an older version be dropped?

// queryOwners asks owners whether their sets are fully replicated, so that the copies here can be released:
// of all copies while this store retires, else of superseded ones.
func (m *StateMachine) queryOwners() {
	now := m.env.Now()
	for _, j := range m.jobsInOrder {
		releasing := j.awaitsRelease() || j.superseded && m.isExpired(j) || m.retiring && !j.handedOver
		if j.owned || !releasing || now-j.ownerQueriedAt < inventoryRetry {
			continue
		}
		j.ownerQueriedAt = now
		member, present := placement.MemberOf(m.view, m.owners[j.id])
		if present {
			m.env.Send(member.Process, ReplicationRequest{Stamp: m.stamp(), Job: j.id, Version: j.version})
		}
	}
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

// expiredAtOwner reports whether the owner of a batch job of which a superseded copy is here has dropped it,
// as it expired. The copy here may not know that the batch job was ended.
func (m *StateMachine) expiredAtOwner(j *storedJob, from placement.Key, message ReplicationResponse) bool {
	return j.superseded && !j.owned && from == m.owners[j.id] && message.None && m.isExpired(j)
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
