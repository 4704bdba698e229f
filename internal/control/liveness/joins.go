package liveness

import (
	"slices"
	"time"

	"sprucelane.example/sprucelane/internal/protocol"
)

// Admission is the decision whether a batch process may join the store membership.
type Admission int

// Values of Admission.
const (
	Admitted           Admission = iota
	AdmittedAfterDelay           // admitted once it has polled for RejoinAfter
	NotAdmitted
)

// Joins returns the batch processes that poll, aren't members, and may join. It returns none unless this process
// leads the chain.
func (t *Table) Joins(
	now time.Duration,
	view protocol.StoreView,
	admission func(protocol.Process) Admission,
) []protocol.Process {
	if !t.leads {
		return nil
	}
	var list []protocol.Process
	for _, contact := range t.PolledSince(now - StoreLease) {
		if contact.Process.Role != protocol.RoleBatch || contains(view, contact.Process) {
			continue
		}
		decision := admission(contact.Process)
		if decision == Admitted || decision == AdmittedAfterDelay && now-contact.firstPollAt >= RejoinAfter {
			list = append(list, contact.Process)
		}
	}
	return list
}

// LastEpochActedIn returns the highest epoch that any of the given batch processes has acted in, according to
// their last reports.
func (t *Table) LastEpochActedIn(processes []protocol.Process) uint64 {
	highest := uint64(0)
	for _, process := range processes {
		if contact, known := t.LastContact(process); known && contact.Batch != nil {
			highest = max(highest, contact.Batch.ActedIn)
		}
	}
	return highest
}

// contains reports whether a process is a member of the view.
func contains(view protocol.StoreView, process protocol.Process) bool {
	return slices.ContainsFunc(view.Members, func(member protocol.StoreMember) bool { return member.Process == process })
}
