package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// maxRetirements is the number of retirements that are remembered; the oldest is forgotten first.
const maxRetirements = 1024

// Retirement is the state of a batch process's retirement.
type Retirement int

// The states of a retirement.
const (
	NotRetiring         Retirement = iota
	RetirementActive               // it hands what it stores to others
	RetirementCompleted            // it stores nothing that others need; its machine may be taken away
)

// retirement is the record of a node's last retirement. It outlives the node's membership.
type retirement struct {
	Node        string
	Incarnation string
	Completed   bool
}

// retire applies a Retire. A completed retirement belongs to an earlier incarnation and doesn't stand in the
// way of retiring a machine that has joined under the same name since.
func (s *membership) retire(command *Retire) StoreOutcome {
	at := slices.IndexFunc(s.members, func(member protocol.StoreMember) bool { return member.Node == command.Node })
	active := at >= 0 && s.members[at].State == protocol.StoreActive
	if s.retirementState(command.Node) != NotRetiring && !active {
		return StoreUnchanged
	}
	if at < 0 {
		return StoreUnknown
	}
	if s.activeCount()-1 < command.Remain {
		return StoreTooFew
	}
	s.recordRetirement(retirement{Node: command.Node, Incarnation: s.members[at].Incarnation})
	return s.setState(at, protocol.StoreRetiring)
}

// retired applies a Retired. It is valid only for the epoch in which the process was found to be drained.
func (s *membership) retired(command *Retired) StoreOutcome {
	at := s.indexOf(command.Node, command.Incarnation)
	if at < 0 || command.Epoch != s.epoch || s.members[at].State != protocol.StoreRetiring {
		return StoreUnchanged
	}
	if record := s.retirementOf(command.Node); record != nil {
		record.Completed = true
	}
	return s.setState(at, protocol.StoreRetired)
}

// completeDeparted completes the retirements of machines that left the membership before they were drained, lost or
// for good partitioned: all members have reconciled without them, so each batch job that they held is on f + 1
// others. One that comes back on the same disk doesn't join any more; one that comes back on another disk joins only
// after it has polled for liveness.RejoinAfter, as after any completed retirement, and not while the operator takes
// the machine away.
func (s *membership) completeDeparted() {
	retirements := slices.Clone(s.retirements)
	for i := range retirements {
		node := retirements[i].Node
		member := slices.ContainsFunc(s.members, func(one protocol.StoreMember) bool { return one.Node == node })
		retirements[i].Completed = retirements[i].Completed || !member
	}
	s.retirements = retirements
}

// retirementState returns the state of a node's last retirement.
func (s *membership) retirementState(node string) Retirement {
	record := s.retirementOf(node)
	switch {
	case record == nil:
		return NotRetiring
	case record.Completed:
		return RetirementCompleted
	}
	return RetirementActive
}

// countRetirements returns the number of remembered retirements in a state.
func (s *membership) countRetirements(state Retirement) int {
	count := 0
	for i := range s.retirements {
		if s.retirements[i].Completed == (state == RetirementCompleted) {
			count++
		}
	}
	return count
}

// retirementOf returns the record of a node's last retirement, nil if there is none.
func (s *membership) retirementOf(node string) *retirement {
	at := slices.IndexFunc(s.retirements, func(one retirement) bool { return one.Node == node })
	if at < 0 {
		return nil
	}
	return &s.retirements[at]
}

// recordRetirement replaces the record of a node's last retirement.
func (s *membership) recordRetirement(next retirement) {
	if record := s.retirementOf(next.Node); record != nil {
		*record = next
		return
	}
	if len(s.retirements) == maxRetirements {
		s.retirements = slices.Delete(s.retirements, 0, 1)
	}
	s.retirements = append(s.retirements, next)
}
