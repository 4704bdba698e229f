package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file installs the views on which the control processes have agreed.

// InstallView enters a newer view, or records that all members have reconciled in the present one. Older views are
// ignored.
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

// viewHasEnded reports whether this store has acted in a later view than the given one, possibly before a restart. A
// control process that lags behind may still send the earlier view.
func (m *StateMachine) viewHasEnded(view protocol.StoreView) bool {
	return view.Epoch < m.departures.actedEpoch
}

// noteAllReconciled records that all members have reconciled in the present epoch, so that stores that departed before
// don't count any more.
func (m *StateMachine) noteAllReconciled(view protocol.StoreView) {
	tooMany := m.tooManyDeparted()
	m.view = view
	m.departures.update(view, m.env.Now())
	if tooMany && m.reconciled {
		m.restartReconciliation()
	}
}

// enterEpoch installs the view of a later epoch. Ownership of a batch job carries over only from the immediately
// preceding epoch, and only if all replicas are still active members; all other batch jobs wait for reconciliation.
func (m *StateMachine) enterEpoch(view protocol.StoreView) {
	last, wasPresent := m.view, m.isMember
	m.view = view
	member, present := placement.MemberOf(view, m.self)
	m.departures.enterEpoch(view.Epoch, present)
	m.departures.update(view, m.env.Now())
	m.writeViewRecord()
	m.isMember = present
	m.retiring = present && member.State != protocol.StoreActive
	consecutive := wasPresent && present && view.Epoch == last.Epoch+1
	for _, j := range m.jobsInOrder {
		j.handedOver, j.releasable = false, false
		if j.owned && !(consecutive && m.hasActiveReplicas(j)) {
			m.disown(j)
		}
		j.replaced = nil // all inventories are exchanged, which inform the replaced stores
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

// hasActiveReplicas reports whether a batch job's replica set needs no change in the present view.
func (m *StateMachine) hasActiveReplicas(j *storedJob) bool {
	if len(j.replicas) < m.options.ReplicationFactor || len(j.handoverReplicas) > 0 {
		return false
	}
	return m.allActive(j.replicas)
}

// allActive reports whether all given stores are active members of the present view.
func (m *StateMachine) allActive(stores []protocol.Process) bool {
	for _, store := range stores {
		member, present := placement.MemberOf(m.view, placement.KeyOf(store))
		if !present || member.State != protocol.StoreActive {
			return false
		}
	}
	return true
}

// disown ends this store's ownership of a batch job until its owner is known. Running items may finish, and their
// results are accepted if this store becomes the owner again.
func (m *StateMachine) disown(j *storedJob) {
	j.owned, j.replicated = false, false
	j.handoverReplicas = nil
	j.peers, j.replaced = nil, nil
	j.replaceReplicasAt = 0
}

// failPendingCalls stops the items of a batch job and answers its waiting submissions and ends, because this store
// isn't a member any more. It doesn't know whether those took effect, and answers so.
func (m *StateMachine) failPendingCalls(j *storedJob) {
	m.env.Stop(j.id)
	m.answerSubmissionsAndEnds(j, outcomeUnknown())
}
