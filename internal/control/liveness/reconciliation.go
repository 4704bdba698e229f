package liveness

import (
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Reconciled reports whether all members that may store data have reported that they are reconciled in the view's
// epoch, and that at most tolerance machines may have batch jobs that the members don't know of. tolerance is the
// number of machines that may be lost at once. Reconciled returns false once the view is recorded as reconciled
// (Settled), and on a process that doesn't lead.
func (t *Table) Reconciled(now time.Duration, view protocol.StoreView, tolerance int) bool {
	if !t.leads || view.Settled || len(view.Members) == 0 {
		return false
	}
	for _, member := range view.Members {
		if member.State == protocol.StoreRetired {
			continue
		}
		report := t.recentReport(now, member.Process)
		if report == nil || report.Settled < view.Epoch || report.Missing > tolerance {
			return false
		}
	}
	return true
}

// Drained returns the retiring members that store nothing that other members need: they report this in the view's
// epoch (DrainedDown), and all active members are reconciled in that epoch.
func (t *Table) Drained(now time.Duration, view protocol.StoreView) []protocol.StoreMember {
	if !t.leads || !t.activeReconciled(now, view) {
		return nil
	}
	var list []protocol.StoreMember
	for _, member := range view.Members {
		if member.State != protocol.StoreRetiring {
			continue
		}
		if report := t.recentReport(now, member.Process); report != nil && report.Epoch == view.Epoch &&
			report.DrainedDown {
			list = append(list, member)
		}
	}
	return list
}

// activeReconciled reports whether all active members have reported that they are reconciled in the view's
// epoch.
func (t *Table) activeReconciled(now time.Duration, view protocol.StoreView) bool {
	for _, member := range view.Members {
		if member.State != protocol.StoreActive {
			continue
		}
		report := t.recentReport(now, member.Process)
		if report == nil || report.Settled < view.Epoch {
			return false
		}
	}
	return true
}

// recentReport returns the last report of an incarnation of a batch process, or nil if it is older than
// EvictAfter or there is none.
func (t *Table) recentReport(now time.Duration, process protocol.Process) *protocol.BatchReport {
	contact, known := t.contacts[processKey{process.Node, process.Role}]
	if !known || contact.Process.Incarnation != process.Incarnation || now-contact.At > EvictAfter {
		return nil
	}
	return contact.Batch
}
