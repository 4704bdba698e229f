package replica

import (
	"slices"

	"sprucelane.example/sprucelane/internal/batch/placement"
	"sprucelane.example/sprucelane/internal/protocol"
)

// This file owns what must hold of the views that a store acts in, and of the bounds that it accepts by. Each is checked as the view is
// taken or the batch job written, in service, too: a violation
// is counted and goes on to the log, as to end the process would cost a copy besides.

// Invariant names something that must always hold.
type Invariant string

// The invariants.
const (
	// InvariantEpochRises: a store never acts in a view of an epoch below one that it acted in, earlier lives included.
	InvariantEpochRises Invariant = "a store goes back to a view that ended"
	// InvariantOneViewAnEpoch: all that is told of one epoch has the same members.
	InvariantOneViewPerEpoch Invariant = "two views of one epoch differ"
	// InvariantDepartedLeft: who is told to have departed isn't a member.
	InvariantDepartedNotMember Invariant = "a member counts as departed"
	// InvariantSettledMissesNobody: once all members stood whole, nobody who left before is missed.
	InvariantReconciledNoneDeparted Invariant = "all stood whole and somebody is missed"
	// InvariantWithinRoom: a batch job is written only within what the counter of its account holds for this store.
	InvariantWithinClaim Invariant = "a batch job is written without room for it"
)

// Violations counts what did not hold, by invariant.
type Violations map[Invariant]int

// Total gives the number of all violations.
func (v Violations) Total() int {
	total := 0
	for _, count := range v {
		total += count
	}
	return total
}

// Violations gives what did not hold in this life.
func (m *StateMachine) Violations() Violations { return m.violations }

func (m *StateMachine) assert(holds bool, invariant Invariant) {
	if !holds {
		m.violations[invariant]++
	}
}

// checkView checks a view that is about to be taken in place of the one held.
func (m *StateMachine) checkView(next protocol.StoreView) {
	m.assert(next.Epoch >= m.departures.actedEpoch, InvariantEpochRises)
	m.assert(next.Epoch != m.view.Epoch || slices.Equal(next.Members, m.view.Members), InvariantOneViewPerEpoch)
	m.assert(!next.Settled || len(next.Departed) == 0, InvariantReconciledNoneDeparted)
	for _, process := range next.Departed {
		_, member := placement.MemberOf(next, placement.KeyOf(process))
		m.assert(!member, InvariantDepartedNotMember)
	}
}
