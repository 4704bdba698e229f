package statemachine

import (
	"slices"

	"sprucelane.example/sprucelane/internal/protocol"
)

// retirementsMost is how many retirements are remembered.
const retirementsMost = 1024

// Retirement is how far a batch process is emptied.
type Retirement int

// The states of a retirement.
const (
	NotRetiring Retirement = iota
	RetirementActive
	RetirementCompleted
)

// retirement is what is remembered of one, also after its batch process has left the set.
type retirementRecord struct {
	Node        string
	Incarnation string
	Completed   bool
}

// storeSet is the agreed set of batch processes.
type storeSet struct {
	epoch       uint64
	members     []protocol.StoreMember // in the order in which they joined
	departed    []protocol.Process     // see protocol.StoreView; oldest first
	settled     bool                   // all members stood whole in this epoch
	retirements []retirementRecord     // oldest first
	suspicions  []suspicion            // of members
	suspected   uint64                 // counts suspicions
}

// suspicion is that a member has fallen silent.
type suspicion struct {
	Node        string
	Incarnation string
	Number      uint64
}

// storeImage is the form of a storeSet in a snapshot.
type storeImage struct {
	Epoch       uint64
	Members     []protocol.StoreMember
	Departed    []protocol.Process
	Settled     bool
	Retirements []retirementRecord
	Suspicions  []suspicion
	Suspected   uint64
}

func newStoreSet() *storeSet { return &storeSet{} }

func (s *storeSet) image() storeImage {
	return storeImage{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.settled, Retirements: s.retirements,
		Suspicions: s.suspicions, Suspected: s.suspected}
}

func restoreStores(form storeImage) *storeSet {
	return &storeSet{epoch: form.Epoch, members: form.Members, departed: form.Departed, settled: form.Settled,
		retirements: form.Retirements, suspicions: form.Suspicions, suspected: form.Suspected}
}

// view gives the set. Its lists are never changed in place.
func (s *storeSet) view() protocol.StoreView {
	return protocol.StoreView{Epoch: s.epoch, Members: s.members, Departed: s.departed, Settled: s.settled}
}

func (s *storeSet) change(members []protocol.StoreMember) StoreOutcome {
	s.departed = departures(s.departed, s.members, members)
	s.settled = false
	s.members = members
	s.epoch++
	s.suspicions = slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool { return s.find(one.Node, one.Incarnation) < 0 })
	return StoreChanged
}

// departures gives who has departed after a change of the members: those that had and aren't back, and those that leave by it without
// having been emptied.
func departures(departed []protocol.Process, before, after []protocol.StoreMember) []protocol.Process {
	var list []protocol.Process
	for _, process := range departed {
		if !isMember(after, process) {
			list = append(list, process)
		}
	}
	for _, member := range before {
		if member.State != protocol.StoreRetired && !isMember(after, member.Process) {
			list = append(list, member.Process)
		}
	}
	return list
}

// isMember tells whether a life of a process's disk is among members.
func isMember(members []protocol.StoreMember, process protocol.Process) bool {
	return slices.ContainsFunc(members, func(one protocol.StoreMember) bool {
		return one.Node == process.Node && one.Incarnation == process.Incarnation
	})
}

// settle notes that all members stood whole in an epoch, if that is still the present one.
func (s *storeSet) settle(order *Settle) StoreOutcome {
	if order.Epoch != s.epoch || s.settled {
		return StoreUnchanged
	}
	s.settled = true
	s.departed = nil
	return StoreChanged
}

// suspect begins or ends a suspicion. The set stays as it is.
func (s *storeSet) suspect(order *Suspect) StoreOutcome {
	if s.find(order.Node, order.Incarnation) < 0 {
		return StoreUnknown
	}
	others := slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool { return one.Node == order.Node })
	switch known := len(others) < len(s.suspicions); {
	case order.Over:
		s.suspicions = others
	case !known:
		s.suspected++
		s.suspicions = append(others, suspicion{Node: order.Node, Incarnation: order.Incarnation, Number: s.suspected})
	}
	return StoreUnchanged
}

func (s *storeSet) suspicion(node, incarnation string) uint64 {
	for _, one := range s.suspicions {
		if one.Node == node && one.Incarnation == incarnation {
			return one.Number
		}
	}
	return 0
}

func (s *storeSet) join(order *Join) StoreOutcome {
	if order.Epoch != 0 && order.Epoch != s.epoch {
		return StoreUnchanged
	}
	before := s.epoch
	s.epoch = max(s.epoch, order.ActedIn)
	members := slices.Clone(s.members)
	for _, process := range order.Processes {
		if s.mayJoin(members, process) {
			members = admit(members, protocol.StoreMember{Process: process, State: s.stateOf(process)})
		}
	}
	if slices.Equal(members, s.members) {
		s.epoch = before
		return StoreUnchanged
	}
	return s.change(members)
}

// mayJoin refuses members, and one that was emptied and goes on running, or starts again, until it is taken away.
func (s *storeSet) mayJoin(members []protocol.StoreMember, process protocol.Process) bool {
	for i := range members {
		if members[i].Process == process || members[i].Node == process.Node && members[i].State == protocol.StoreRetired {
			return false
		}
	}
	record := s.record(process.Node)
	return record == nil || !record.Completed || record.Incarnation != process.Incarnation
}

// stateOf gives the state in which a process joins: a retirement under way outlasts a restart or the loss of the disk.
func (s *storeSet) stateOf(process protocol.Process) protocol.StoreState {
	if record := s.record(process.Node); record != nil && !record.Completed {
		record.Incarnation = process.Incarnation
		return protocol.StoreRetiring
	}
	return protocol.StoreActive
}

// admit adds a member in place of those that had its node or its address.
func admit(members []protocol.StoreMember, one protocol.StoreMember) []protocol.StoreMember {
	members = slices.DeleteFunc(members, func(other protocol.StoreMember) bool {
		return other.Node == one.Node || other.IP == one.IP
	})
	return append(members, one)
}

func (s *storeSet) evict(order *Evict) StoreOutcome {
	at := s.find(order.Node, order.Incarnation)
	if at < 0 || order.Suspicion != 0 && order.Suspicion != s.suspicion(order.Node, order.Incarnation) {
		return StoreUnchanged
	}
	return s.change(slices.Delete(slices.Clone(s.members), at, at+1))
}

// retire begins a retirement. One that is completed is of a former life: it says nothing of a machine of that name that has come
// into the set since.
func (s *storeSet) retire(order *Retire) StoreOutcome {
	at := slices.IndexFunc(s.members, func(one protocol.StoreMember) bool { return one.Node == order.Node })
	returned := at >= 0 && s.members[at].State == protocol.StoreActive
	if s.retirement(order.Node) != NotRetiring && !returned {
		return StoreUnchanged
	}
	if at < 0 {
		return StoreUnknown
	}
	if s.active()-1 < order.Remain {
		return StoreTooFew
	}
	s.rememberRetirement(retirementRecord{Node: order.Node, Incarnation: s.members[at].Incarnation})
	return s.setState(at, protocol.StoreRetiring)
}

func (s *storeSet) retired(order *Retired) StoreOutcome {
	at := s.find(order.Node, order.Incarnation)
	if at < 0 || order.Epoch != s.epoch || s.members[at].State != protocol.StoreRetiring {
		return StoreUnchanged
	}
	if record := s.record(order.Node); record != nil {
		record.Completed = true
	}
	return s.setState(at, protocol.StoreRetired)
}

func (s *storeSet) setState(at int, state protocol.StoreState) StoreOutcome {
	members := slices.Clone(s.members)
	members[at].State = state
	return s.change(members)
}

func (s *storeSet) find(node, incarnation string) int {
	return slices.IndexFunc(s.members, func(one protocol.StoreMember) bool {
		return one.Node == node && one.Incarnation == incarnation
	})
}

func (s *storeSet) active() int {
	count := 0
	for i := range s.members {
		if s.members[i].State == protocol.StoreActive {
			count++
		}
	}
	return count
}

func (s *storeSet) retirement(node string) Retirement {
	record := s.record(node)
	switch {
	case record == nil:
		return NotRetiring
	case record.Completed:
		return RetirementCompleted
	}
	return RetirementActive
}

// record gives what is remembered of a node's last retirement.
func (s *storeSet) record(node string) *retirementRecord {
	at := slices.IndexFunc(s.retirements, func(one retirementRecord) bool { return one.Node == node })
	if at < 0 {
		return nil
	}
	return &s.retirements[at]
}

func (s *storeSet) rememberRetirement(one retirementRecord) {
	if record := s.record(one.Node); record != nil {
		*record = one
		return
	}
	if len(s.retirements) == retirementsMost {
		s.retirements = slices.Delete(s.retirements, 0, 1)
	}
	s.retirements = append(s.retirements, one)
}
