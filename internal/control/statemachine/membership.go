package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// membership is the store membership: the agreed set of batch processes. [StateMachine] guards it.
//
// A node and an address are in members once at most. epoch rises with each change of members, including that
// of a member's state; reconciled and suspicions belong to the present epoch's members.
type membership struct {
	epoch      uint64
	members    []protocol.StoreMember // in the order in which they joined; replaced, never changed in place
	departed   []protocol.Process     // see protocol.StoreView; oldest first
	reconciled bool                   // all members were reconciled and fully replicated in this epoch
	// At most maxRetirements, oldest first; also of nodes that are no longer members.
	retirements   []retirement
	suspicions    []suspicion // at most one of a member
	lastSuspicion uint64      // number of the last suspicion that was recorded
}

// membershipSnapshot is the encoded form of a membership.
type membershipSnapshot struct {
	Epoch       uint64
	Members     []protocol.StoreMember
	Departed    []protocol.Process
	Settled     bool // membership.reconciled
	Retirements []retirement
	Suspicions  []suspicion
	Suspected   uint64 // membership.lastSuspicion
}

// newMembership returns the membership before the first Join: no members, in epoch 0.
func newMembership() *membership { return &membership{} }

// snapshot returns the form for a snapshot. It shares the slices and must be encoded before the next command.
func (s *membership) snapshot() membershipSnapshot {
	return membershipSnapshot{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled,
		Retirements: s.retirements, Suspicions: s.suspicions, Suspected: s.lastSuspicion}
}

// restoreMembership returns the membership of a snapshot.
func restoreMembership(from membershipSnapshot) *membership {
	return &membership{epoch: from.Epoch, members: from.Members, departed: from.Departed, reconciled: from.Settled,
		retirements: from.Retirements, suspicions: from.Suspicions, lastSuspicion: from.Suspected}
}

// view returns the membership as other processes see it. Its slices are never changed in place.
func (s *membership) view() protocol.StoreView {
	return protocol.StoreView{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled}
}

// setMembers begins the next epoch, with other members or members in other states.
func (s *membership) setMembers(members []protocol.StoreMember) StoreOutcome {
	s.departed = departedAfter(s.departed, s.members, members)
	s.reconciled = false
	s.members = members
	s.epoch++
	s.suspicions = slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool {
		return s.indexOf(one.Node, one.Incarnation) < 0
	})
	return StoreChanged
}

// departedAfter returns the departed processes after a change of the members: those that had departed and
// have not returned, and those that depart by the change without having completed their retirement.
func departedAfter(departed []protocol.Process, before, after []protocol.StoreMember) []protocol.Process {
	var list []protocol.Process
	for _, process := range departed {
		if !containsProcess(after, process) {
			list = append(list, process)
		}
	}
	for _, member := range before {
		if member.State != protocol.StoreRetired && !containsProcess(after, member.Process) {
			list = append(list, member.Process)
		}
	}
	return list
}

// containsProcess reports whether an incarnation of a process is among members.
func containsProcess(members []protocol.StoreMember, process protocol.Process) bool {
	return slices.ContainsFunc(members, func(member protocol.StoreMember) bool {
		return member.Node == process.Node && member.Incarnation == process.Incarnation
	})
}

// join applies a Join.
func (s *membership) join(command *Join) StoreOutcome {
	if command.Epoch != 0 && command.Epoch != s.epoch {
		return StoreUnchanged
	}
	before := s.epoch
	s.epoch = max(s.epoch, command.ActedIn)
	members := slices.Clone(s.members)
	for _, process := range command.Processes {
		if s.mayJoin(members, process) {
			members = replaceOrAppend(members, protocol.StoreMember{Process: process, State: s.joinState(process)})
		}
	}
	if slices.Equal(members, s.members) {
		s.epoch = before
		return StoreUnchanged
	}
	return s.setMembers(members)
}

// mayJoin reports whether a process may be added to members. A member may not, nor may an incarnation that
// has completed its retirement: that runs, or restarts, until the operator takes its machine away.
func (s *membership) mayJoin(members []protocol.StoreMember, process protocol.Process) bool {
	for i := range members {
		member := &members[i]
		if member.Process == process || member.Node == process.Node && member.State == protocol.StoreRetired {
			return false
		}
	}
	record := s.retirementOf(process.Node)
	return record == nil || !record.Completed || record.Incarnation != process.Incarnation
}

// joinState returns the state in which a process joins. A retirement that is not completed goes on over a
// restart and over the loss of the disk.
func (s *membership) joinState(process protocol.Process) protocol.StoreState {
	if record := s.retirementOf(process.Node); record != nil && !record.Completed {
		record.Incarnation = process.Incarnation
		return protocol.StoreRetiring
	}
	return protocol.StoreActive
}

// replaceOrAppend appends a member and removes those that have its node or its address.
func replaceOrAppend(members []protocol.StoreMember, joining protocol.StoreMember) []protocol.StoreMember {
	members = slices.DeleteFunc(members, func(member protocol.StoreMember) bool {
		return member.Node == joining.Node || member.IP == joining.IP
	})
	return append(members, joining)
}

// evict applies an Evict.
func (s *membership) evict(command *Evict) StoreOutcome {
	at := s.indexOf(command.Node, command.Incarnation)
	number := s.suspicionNumber(command.Node, command.Incarnation)
	if at < 0 || command.Suspicion != 0 && command.Suspicion != number {
		return StoreUnchanged
	}
	return s.setMembers(slices.Delete(slices.Clone(s.members), at, at+1))
}

// reconcile applies a Settle.
func (s *membership) reconcile(command *Settle) StoreOutcome {
	if command.Epoch != s.epoch || s.reconciled {
		return StoreUnchanged
	}
	s.reconciled = true
	s.departed = nil
	s.completeDeparted()
	return StoreChanged
}

// setState changes the state of the member at an index.
func (s *membership) setState(at int, state protocol.StoreState) StoreOutcome {
	members := slices.Clone(s.members)
	members[at].State = state
	return s.setMembers(members)
}

// indexOf returns the index of an incarnation of a process in members, -1 if it is no member.
func (s *membership) indexOf(node, incarnation string) int {
	return slices.IndexFunc(s.members, func(member protocol.StoreMember) bool {
		return member.Node == node && member.Incarnation == incarnation
	})
}

// activeCount returns the number of members that are neither retiring nor retired.
func (s *membership) activeCount() int {
	count := 0
	for i := range s.members {
		if s.members[i].State == protocol.StoreActive {
			count++
		}
	}
	return count
}
