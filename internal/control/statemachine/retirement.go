package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// maxRetirements is the maximum number of retirement records. Beyond it the oldest record is dropped.
const maxRetirements = 1024

// Retirement is the state of a batch process's retirement.
type Retirement int

// The states of a retirement.
const (
	NotRetiring         Retirement = iota
	RetirementActive               // the process hands over the data that it stores to other members
	RetirementCompleted            // the process stores nothing that others need; its machine may be removed
)

// retirement is the record of a node's last retirement. It is kept after the node has left the membership.
type retirement struct {
	Node        string
	Incarnation string
	Completed   bool
}

// retire applies a Retire. A completed retirement concerns an earlier incarnation. It doesn't prevent the
// retirement of a machine that has since joined under the same name.
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

// retired applies a Retired. The command is valid only in the epoch in which the process was found to be drained.
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

// completeDeparted completes the retirements of machines that left the membership before they were drained because
// they were lost or permanently partitioned. All members have reconciled without them, so each batch job that they
// held is on f + 1 other members. A machine that returns with the same disk can't join any more. A machine that
// returns with another disk joins only after it has polled for liveness.RejoinAfter, as after any completed
// retirement, so that it doesn't join while the operator is removing the machine.
func (s *membership) completeDeparted() {
	retirements := slices.Clone(s.retirements)
	for i := range retirements {
		node := retirements[i].Node
		isMember := slices.ContainsFunc(s.members, func(member protocol.StoreMember) bool { return member.Node == node })
		retirements[i].Completed = retirements[i].Completed || !isMember
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

// countRetirements returns the number of recorded retirements in the given state, RetirementActive or
// RetirementCompleted.
func (s *membership) countRetirements(state Retirement) int {
	count := 0
	for i := range s.retirements {
		if s.retirements[i].Completed == (state == RetirementCompleted) {
			count++
		}
	}
	return count
}

// retirementOf returns the record of a node's last retirement, or nil if there is none.
func (s *membership) retirementOf(node string) *retirement {
	at := slices.IndexFunc(s.retirements, func(record retirement) bool { return record.Node == node })
	if at < 0 {
		return nil
	}
	return &s.retirements[at]
}

// recordRetirement adds a retirement, replacing the record of the node's last retirement if there is one.
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
