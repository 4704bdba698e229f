package replica

import (
	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the status of a store's reconciliation, and its reports to control.

// Status describes the progress of a store's reconciliation in the present epoch, and what it waits for. All fields
// except for the epochs are zero once the store has reconciled.
type Status struct {
	Epoch              uint64
	ReconciledEpoch    uint64          // newest epoch in which the store reconciled, 0 for none since its start
	AwaitedInventories []placement.Key // members whose inventories are missing
	MissingStores      []placement.Key // departed stores that may hold batch jobs or versions unknown to the members
	IncompleteLogs     int             // number of stores whose logs may have held batch jobs that they can't name
	Unowned            int             // number of batch jobs that have no owner until enough missing stores have returned
	Transferring       int             // number of batch jobs transferred to better copies, not yet fully replicated there
	Superseded         int             // number of superseded copies here that aren't releasable yet
	UnderReplicated    int             // number of batch jobs owned here that aren't on all disks of their sets
}

// Reconciled reports whether the store has reconciled in the present epoch. A store without a view has not.
func (s Status) Reconciled() bool { return s.Epoch > 0 && s.ReconciledEpoch == s.Epoch }

// Status returns the progress of this store's reconciliation.
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

// ReconciliationProgress is the part of a store's state that control waits for.
type ReconciliationProgress struct {
	ReconciledEpoch uint64 // newest epoch in which the store reconciled
	Drained         bool   // the store retires, and no batch job depends on it any more
}

// Progress returns the part of this store's state that control waits for.
func (m *StateMachine) Progress() ReconciliationProgress {
	return ReconciliationProgress{ReconciledEpoch: m.reconciledEpoch, Drained: m.drained()}
}

// Report returns the report that this store sends to control with each poll.
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
