package replica

import (
	"slices"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file contains the invariants of the views that a store acts in, and of the capacity with which it accepts batch
// jobs.

// Invariant is a condition that must always hold; its text describes the violation. Invariants are checked in service,
// when a view is entered or a batch job is written. A violation is counted and logged. It doesn't end the process,
// because that would cost a copy in addition.
type Invariant string

// The invariants.
const (
	// InvariantEpochRises: a store never acts in a view of an epoch below one that it acted in before, earlier
	// incarnations included.
	InvariantEpochRises Invariant = "a store goes back to a view that ended"
	// InvariantOneViewPerEpoch: all views of one epoch have the same members.
	InvariantOneViewPerEpoch Invariant = "two views of one epoch differ"
	// InvariantDepartedNotMember: a departed store isn't a member.
	InvariantDepartedNotMember Invariant = "a member counts as departed"
	// InvariantReconciledNoneDeparted: once all members have reconciled, no store counts as departed any more. The
	// text is logged and therefore keeps older terms: "whole" means reconciled, "missed" means departed.
	InvariantReconciledNoneDeparted Invariant = "all stood whole and somebody is missed"
	// InvariantWithinClaim: a batch job is written only within the tokens that the counter of its account reserves for
	// this store.
	InvariantWithinClaim Invariant = "a batch job is written without room for it"
)

// Violations counts violations by invariant.
type Violations map[Invariant]int

// Total returns the number of all violations.
func (v Violations) Total() int {
	total := 0
	for _, count := range v {
		total += count
	}
	return total
}

// Violations returns the violations since the start of the process.
func (m *StateMachine) Violations() Violations { return m.violations }

// assert counts a violation if a condition doesn't hold.
func (m *StateMachine) assert(holds bool, invariant Invariant) {
	if !holds {
		m.violations[invariant]++
	}
}

// checkView checks the invariants of a view that is about to replace the present one.
func (m *StateMachine) checkView(next protocol.StoreView) {
	m.assert(next.Epoch >= m.departures.actedEpoch, InvariantEpochRises)
	m.assert(next.Epoch != m.view.Epoch || slices.Equal(next.Members, m.view.Members), InvariantOneViewPerEpoch)
	m.assert(!next.Settled || len(next.Departed) == 0, InvariantReconciledNoneDeparted)
	for _, process := range next.Departed {
		_, member := placement.MemberOf(next, placement.KeyOf(process))
		m.assert(!member, InvariantDepartedNotMember)
	}
}
