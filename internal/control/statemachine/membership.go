package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// membership is the store membership: the agreed set of batch processes. [StateMachine] guards it.
//
// Each node and each address occurs at most once in members. epoch increases with each change of members,
// including a change of a member's state. reconciled and suspicions refer to the members of the current epoch.
type membership struct {
	epoch      uint64
	members    []protocol.StoreMember // in the order in which they joined; replaced, never modified in place
	departed   []protocol.Process     // see protocol.StoreView; oldest first
	reconciled bool                   // all members were reconciled and fully replicated in this epoch
	// At most maxRetirements, oldest first, including those of nodes that are no longer members.
	retirements   []retirement
	suspicions    []suspicion // at most one per member
	lastSuspicion uint64      // number of the last suspicion recorded
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

// snapshot returns the membership in the form that is encoded in a snapshot. The result shares the slices of s and
// must be encoded before the next command is applied.
func (s *membership) snapshot() membershipSnapshot {
	return membershipSnapshot{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled,
		Retirements: s.retirements, Suspicions: s.suspicions, Suspected: s.lastSuspicion}
}

// restoreMembership returns the membership stored in a snapshot.
func restoreMembership(from membershipSnapshot) *membership {
	return &membership{epoch: from.Epoch, members: from.Members, departed: from.Departed, reconciled: from.Settled,
		retirements: from.Retirements, suspicions: from.Suspicions, lastSuspicion: from.Suspected}
}

// view returns the membership in the form that is sent to other processes. Its slices are never modified in place.
func (s *membership) view() protocol.StoreView {
	return protocol.StoreView{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled}
}

// setMembers replaces the members, or their states, and thereby begins the next epoch. It ends the suspicions of
// processes that are no longer members and returns StoreChanged.
func (s *membership) setMembers(members []protocol.StoreMember) StoreOutcome {
	s.departed = departedAfter(s.departed, s.members, members)
	s.reconciled = false
	s.members = members
	s.epoch++
	s.suspicions = slices.DeleteFunc(slices.Clone(s.suspicions), func(entry suspicion) bool {
		return s.indexOf(entry.Node, entry.Incarnation) < 0
	})
	return StoreChanged
}

// departedAfter returns the departed processes after the members change from before to after: the processes in
// departed that have not returned, and those removed by the change without having completed their retirement.
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

// containsProcess reports whether members contains the given incarnation of a process.
func containsProcess(members []protocol.StoreMember, process protocol.Process) bool {
	return slices.ContainsFunc(members, func(member protocol.StoreMember) bool {
		return member.Node == process.Node && member.Incarnation == process.Incarnation
	})
}

// join applies a Join: it adds the processes that may join. If none may, the epoch stays the same.
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

// mayJoin reports whether a process may be added to members. It may not if it is a member already, if a retired
// member has the same node, or if this incarnation has completed its retirement: a retired process keeps running,
// and may restart, until the operator removes its machine.
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

// joinState returns the state in which a process joins: retiring if its node has a retirement that is not
// completed, else active. Such a retirement continues after a restart and after the loss of the disk; joinState
// records the new incarnation in it.
func (s *membership) joinState(process protocol.Process) protocol.StoreState {
	if record := s.retirementOf(process.Node); record != nil && !record.Completed {
		record.Incarnation = process.Incarnation
		return protocol.StoreRetiring
	}
	return protocol.StoreActive
}

// replaceOrAppend removes the members with the same node or address as joining and appends joining.
func replaceOrAppend(members []protocol.StoreMember, joining protocol.StoreMember) []protocol.StoreMember {
	members = slices.DeleteFunc(members, func(member protocol.StoreMember) bool {
		return member.Node == joining.Node || member.IP == joining.IP
	})
	return append(members, joining)
}

// evict applies an Evict. It has no effect if the suspicion that the command names is not the current one.
func (s *membership) evict(command *Evict) StoreOutcome {
	at := s.indexOf(command.Node, command.Incarnation)
	number := s.suspicionNumber(command.Node, command.Incarnation)
	if at < 0 || command.Suspicion != 0 && command.Suspicion != number {
		return StoreUnchanged
	}
	return s.setMembers(slices.Delete(slices.Clone(s.members), at, at+1))
}

// reconcile applies a Settle: it clears the departed processes and completes the retirements of nodes that are no
// longer members.
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

// indexOf returns the index of an incarnation of a process in members, or -1 if it is not a member.
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
