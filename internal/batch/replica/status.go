package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// How far has a store reconciled, and what does it wait for?

// Status is how far a store has reconciled in the present epoch, and what it waits for. All but the epochs is
// empty once it has.
type Status struct {
	Epoch              uint64
	ReconciledEpoch    uint64          // newest epoch in which the store reconciled, 0 for none since its start
	AwaitedInventories []placement.Key // members whose inventories are missing
	MissingStores      []placement.Key // departed stores that may hold what the members don't know of
	IncompleteLogs     int             // stores whose logs may have held batch jobs that they can't name
	Unowned            int             // batch jobs that nobody owns until enough of the missing stores are back
	Transferring       int             // batch jobs transferred to better copies, not yet fully replicated there
	Superseded         int             // superseded copies here that aren't releasable yet
	UnderReplicated    int             // batch jobs owned here that aren't on all disks of their sets
}

// Reconciled reports whether the store has reconciled in the present epoch. One that has no view yet has not.
func (s Status) Reconciled() bool { return s.Epoch > 0 && s.ReconciledEpoch == s.Epoch }

// Status returns how far this store has reconciled.
func (m *StateMachine) Status() Status {
	status := Status{Epoch: m.view.Epoch, ReconciledEpoch: m.reconciledEpoch}
	if status.Reconciled() {
		return status
	}
	status.MissingStores = m.departures.missingStores()
	status.IncompleteLogs = len(m.departures.incompleteLogs)
	status.Unowned = m.unowned
	status.Transferring = len(m.transfers)
	if !m.reconciled && m.isMember {
		status.AwaitedInventories = m.awaitedInventories()
	}
	for _, j := range m.jobsInOrder {
		switch {
		case j.awaitsRelease():
			status.Superseded++
		case j.owned && !j.isFullyReplicated():
			status.UnderReplicated++
		}
	}
	return status
}

// ReconciliationProgress is what control waits for of a store.
type ReconciliationProgress struct {
	ReconciledEpoch uint64 // newest epoch in which it reconciled
	Drained         bool   // it retires, and nothing depends on it any more
}

// Progress returns how far this store has got with what control waits for.
func (m *StateMachine) Progress() ReconciliationProgress {
	return ReconciliationProgress{ReconciledEpoch: m.reconciledEpoch, Drained: m.drained()}
}

// Report returns what this store reports to control with each poll.
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
