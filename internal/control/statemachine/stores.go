package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// retirementsMost is how many retirements are remembered.
const maxRetirements = 1024

// Retirement is how far a batch process is emptied.
type Retirement int

// The states of a retirement.
const (
	NotRetiring Retirement = iota
	RetirementActive
	RetirementCompleted
)

// retirement is what is remembered of one, also after its batch process has left the set.
type retirement struct {
	Node        string
	Incarnation string
	Completed   bool
}

// storeSet is the agreed set of batch processes.
type membership struct {
	epoch         uint64
	members       []protocol.StoreMember // in the order in which they joined
	departed      []protocol.Process     // see protocol.StoreView; oldest first
	reconciled    bool                   // all members stood whole in this epoch
	retirements   []retirement           // oldest first
	suspicions    []suspicion            // of members
	lastSuspicion uint64                 // counts suspicions
}

// suspicion is that a member has fallen silent.
type suspicion struct {
	Node        string
	Incarnation string
	Number      uint64
}

// storeImage is the form of a storeSet in a snapshot.
type membershipSnapshot struct {
	Epoch       uint64
	Members     []protocol.StoreMember
	Departed    []protocol.Process
	Settled     bool
	Retirements []retirement
	Suspicions  []suspicion
	Suspected   uint64
}

func newMembership() *membership { return &membership{} }

func (s *membership) snapshot() membershipSnapshot {
	return membershipSnapshot{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled, Retirements: s.retirements,
		Suspicions: s.suspicions, Suspected: s.lastSuspicion}
}

func restoreMembership(form membershipSnapshot) *membership {
	return &membership{epoch: form.Epoch, members: form.Members, departed: form.Departed, reconciled: form.Settled,
		retirements: form.Retirements, suspicions: form.Suspicions, lastSuspicion: form.Suspected}
}

// view gives the set. Its lists are never changed in place.
func (s *membership) view() protocol.StoreView {
	return protocol.StoreView{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.reconciled}
}

func (s *membership) setMembers(members []protocol.StoreMember) StoreOutcome {
	s.departed = departedAfter(s.departed, s.members, members)
	s.reconciled = false
	s.members = members
	s.epoch++
	s.suspicions = slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool { return s.indexOf(one.Node, one.Incarnation) < 0 })
	return StoreChanged
}

// departures gives who has departed after a change of the members: those that had and aren't back, and those that leave by it without
// having been emptied.
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

// isMember tells whether a life of a process's disk is among members.
func containsProcess(members []protocol.StoreMember, process protocol.Process) bool {
	return slices.ContainsFunc(members, func(one protocol.StoreMember) bool {
		return one.Node == process.Node && one.Incarnation == process.Incarnation
	})
}

// settle notes that all members stood whole in an epoch, if that is still the present one.
func (s *membership) reconcile(order *Settle) StoreOutcome {
	if order.Epoch != s.epoch || s.reconciled {
		return StoreUnchanged
	}
	s.reconciled = true
	s.departed = nil
	return StoreChanged
}

// suspect begins or ends a suspicion. The set stays as it is.
func (s *membership) suspect(order *Suspect) StoreOutcome {
	if s.indexOf(order.Node, order.Incarnation) < 0 {
		return StoreUnknown
	}
	others := slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool { return one.Node == order.Node })
	switch known := len(others) < len(s.suspicions); {
	case order.Over:
		s.suspicions = others
	case !known:
		s.lastSuspicion++
		s.suspicions = append(others, suspicion{Node: order.Node, Incarnation: order.Incarnation, Number: s.lastSuspicion})
	}
	return StoreUnchanged
}

func (s *membership) suspicionNumber(node, incarnation string) uint64 {
	for _, one := range s.suspicions {
		if one.Node == node && one.Incarnation == incarnation {
			return one.Number
		}
	}
	return 0
}

func (s *membership) join(order *Join) StoreOutcome {
	if order.Epoch != 0 && order.Epoch != s.epoch {
		return StoreUnchanged
	}
	before := s.epoch
	s.epoch = max(s.epoch, order.ActedIn)
	members := slices.Clone(s.members)
	for _, process := range order.Processes {
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

// mayJoin refuses members, and one that was emptied and goes on running, or starts again, until it is taken away.
func (s *membership) mayJoin(members []protocol.StoreMember, process protocol.Process) bool {
	for i := range members {
		if members[i].Process == process || members[i].Node == process.Node && members[i].State == protocol.StoreRetired {
			return false
		}
	}
	record := s.retirementOf(process.Node)
	return record == nil || !record.Completed || record.Incarnation != process.Incarnation
}

// stateOf gives the state in which a process joins: a retirement under way outlasts a restart or the loss of the disk.
func (s *membership) joinState(process protocol.Process) protocol.StoreState {
	if record := s.retirementOf(process.Node); record != nil && !record.Completed {
		record.Incarnation = process.Incarnation
		return protocol.StoreRetiring
	}
	return protocol.StoreActive
}

// admit adds a member in place of those that had its node or its address.
func replaceOrAppend(members []protocol.StoreMember, one protocol.StoreMember) []protocol.StoreMember {
	members = slices.DeleteFunc(members, func(other protocol.StoreMember) bool {
		return other.Node == one.Node || other.IP == one.IP
	})
	return append(members, one)
}

func (s *membership) evict(order *Evict) StoreOutcome {
	at := s.indexOf(order.Node, order.Incarnation)
	if at < 0 || order.Suspicion != 0 && order.Suspicion != s.suspicionNumber(order.Node, order.Incarnation) {
		return StoreUnchanged
	}
	return s.setMembers(slices.Delete(slices.Clone(s.members), at, at+1))
}

// retire begins a retirement. One that is completed is of a former life: it says nothing of a machine of that name that has come
// into the set since.
func (s *membership) retire(order *Retire) StoreOutcome {
	at := slices.IndexFunc(s.members, func(one protocol.StoreMember) bool { return one.Node == order.Node })
	returned := at >= 0 && s.members[at].State == protocol.StoreActive
	if s.retirementState(order.Node) != NotRetiring && !returned {
		return StoreUnchanged
	}
	if at < 0 {
		return StoreUnknown
	}
	if s.activeCount()-1 < order.Remain {
		return StoreTooFew
	}
	s.recordRetirement(retirement{Node: order.Node, Incarnation: s.members[at].Incarnation})
	return s.setState(at, protocol.StoreRetiring)
}

func (s *membership) retired(order *Retired) StoreOutcome {
	at := s.indexOf(order.Node, order.Incarnation)
	if at < 0 || order.Epoch != s.epoch || s.members[at].State != protocol.StoreRetiring {
		return StoreUnchanged
	}
	if record := s.retirementOf(order.Node); record != nil {
		record.Completed = true
	}
	return s.setState(at, protocol.StoreRetired)
}

func (s *membership) setState(at int, state protocol.StoreState) StoreOutcome {
	members := slices.Clone(s.members)
	members[at].State = state
	return s.setMembers(members)
}

func (s *membership) indexOf(node, incarnation string) int {
	return slices.IndexFunc(s.members, func(one protocol.StoreMember) bool {
		return one.Node == node && one.Incarnation == incarnation
	})
}

func (s *membership) activeCount() int {
	count := 0
	for i := range s.members {
		if s.members[i].State == protocol.StoreActive {
			count++
		}
	}
	return count
}

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

// record gives what is remembered of a node's last retirement.
func (s *membership) retirementOf(node string) *retirement {
	at := slices.IndexFunc(s.retirements, func(one retirement) bool { return one.Node == node })
	if at < 0 {
		return nil
	}
	return &s.retirements[at]
}

func (s *membership) recordRetirement(one retirement) {
	if record := s.retirementOf(one.Node); record != nil {
		*record = one
		return
	}
	if len(s.retirements) == maxRetirements {
		s.retirements = slices.Delete(s.retirements, 0, 1)
	}
	s.retirements = append(s.retirements, one)
}
