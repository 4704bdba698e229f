package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// What follows when the agreed set of stores changes?

// InstallView enters a newer view, or takes in that all members have reconciled in the present one. Older
// views are ignored.
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

// viewHasEnded reports whether this store acted in a later view, as its log shows after a restart. A control
// process that lags behind may still send the earlier one.
func (m *StateMachine) viewHasEnded(view protocol.StoreView) bool {
	return view.Epoch < m.departures.actedEpoch
}

// noteAllReconciled takes in that all members have reconciled in the present epoch, so that no store that
// departed before is missed.
func (m *StateMachine) noteAllReconciled(view protocol.StoreView) {
	tooMany := m.tooManyDeparted()
	m.view = view
	m.departures.update(view, m.env.Now())
	if tooMany && m.reconciled {
		m.restartReconciliation()
	}
}

// enterEpoch installs the view of another epoch. Ownership carries over only from the epoch right before,
// and only where all replicas are still active members; everything else waits for reconciliation.
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
		j.replaced = nil // all inventories are exchanged, which tell the same
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

// allActive reports whether stores are active members of the present view.
func (m *StateMachine) allActive(stores []protocol.Process) bool {
	for _, store := range stores {
		member, present := placement.MemberOf(m.view, placement.KeyOf(store))
		if !present || member.State != protocol.StoreActive {
			return false
		}
	}
	return true
}

// disown gives up a batch job until its owner is known. Items that run may end, and are taken if this store
// becomes its owner again.
func (m *StateMachine) disown(j *storedJob) {
	j.owned, j.replicated = false, false
	j.handoverReplicas = nil
	j.peers, j.replaced = nil, nil
	j.replaceReplicasAt = 0
}

// failPendingCalls stops what this store does for a batch job, as it isn't a member any more. Whether waiting
// submissions and ends took effect is not known here.
func (m *StateMachine) failPendingCalls(j *storedJob) {
	m.env.Stop(j.id)
	m.answerSubmissionsAndEnds(j, outcomeUnknown())
}
