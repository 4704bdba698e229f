package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what a store tells operators of why it doesn't stand whole in the present epoch.

// Standing is how far a store is in the present epoch, and what it waits for. All but Epoch and Settled is empty for one that has
// settled.
type Status struct {
	Epoch           uint64
	ReconciledEpoch uint64          // newest epoch in which all that this store owns stood whole, 0: none in this life
	Awaited         []placement.Key // members whose inventories are not here
	Missing         []placement.Key // stores that left and may hold what the members don't know of
	IncompleteLogs  int             // stores whose logs may have held what they can't name
	Unowned         int             // batch jobs that nobody owns until enough of the missing are back
	Transferring    int             // batch jobs given to stores with better copies that haven't taken them yet
	Superseded      int             // copies left behind here whose owners haven't told that the newer sets hold theirs
	UnderReplicated int             // batch jobs owned here that are not on all disks of their sets
}

// HasSettled tells whether all that this store owns stands whole in the present epoch. One that control has told no view has not.
func (s Status) Reconciled() bool { return s.Epoch > 0 && s.ReconciledEpoch == s.Epoch }

// Standing tells how far this store is.
func (m *StateMachine) Status() Status {
	standing := Status{Epoch: m.view.Epoch, ReconciledEpoch: m.reconciledEpoch}
	if standing.Reconciled() {
		return standing
	}
	standing.Missing = m.departures.missingStores()
	standing.IncompleteLogs = len(m.departures.incompleteLogs)
	standing.Unowned = m.unowned
	standing.Transferring = len(m.transfers)
	if !m.reconciled && m.isMember {
		standing.Awaited = m.awaited()
	}
	for _, h := range m.order {
		switch {
		case h.awaitsRelease():
			standing.Superseded++
		case h.owned && !h.isFullyReplicated():
			standing.UnderReplicated++
		}
	}
	return standing
}

// awaited gives the members whose inventories are not here.
func (m *StateMachine) awaited() []placement.Key {
	var list []placement.Key
	m.eachOtherMember(func(other protocol.Process) {
		key := placement.KeyOf(other)
		if _, here := m.inventories[key]; !here {
			list = append(list, key)
		}
	})
	return list
}
