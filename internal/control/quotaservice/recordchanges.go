package quotaservice

import (
	"slices"

	"sprucelane.example/sprucelane/internal/control/statemachine"
)

// NextChange returns the change of the grant record that is needed now, or nil if there is none. The caller must
// propose the change and call ChangeDone with its outcome before it calls NextChange again.
func (s *Service) NextChange() *statemachine.GrantsChange {
	if _, isHead := s.leadership.HeadLease(); !isHead {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return nil
	}
	grantor := s.record.Grantor()
	if grantor != s.self || s.term == nil {
		return s.beginTerm(grantor)
	}
	if !s.term.started {
		return nil
	}
	adds := s.allocator.MissingGrantees()
	now := s.clock().Sub(s.origin)
	s.term.pendingRemovals = append(s.term.pendingRemovals, s.allocator.EvictGrantees(now)...)
	floors := s.allocator.FloorChanges(now)
	if len(adds)+len(s.term.pendingRemovals)+len(floors) == 0 {
		return nil
	}
	s.lastChange++
	return &statemachine.GrantsChange{
		Lender: s.self,
		Number: s.lastChange,
		Add:    adds,
		Remove: without(s.term.pendingRemovals, adds),
		Floors: floors,
	}
}

// Release permanently stops granting quota. It returns the change that lets the next grantor begin immediately, or nil
// if this process is not the grantor.
func (s *Service) Release() *statemachine.GrantsChange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.released = true
	isGrantor := s.term != nil && s.record.Grantor() == s.self
	s.term = nil
	s.allocator.Stop()
	if !isGrantor {
		return nil
	}
	return &statemachine.GrantsChange{Lender: s.self, End: true}
}

// beginTerm returns the change that makes this process the grantor, or nil while another process may still act as
// grantor. The role is vacant if no process held it before, if its holder has released it, or if its holder was an
// earlier process on the same disk. The caller must hold the mutex.
func (s *Service) beginTerm(grantor statemachine.Grantor) *statemachine.GrantsChange {
	vacant := grantor == statemachine.Grantor{} || grantor == statemachine.ReleasedGrantor ||
		grantor.Member == s.self.Member
	if _, _, holdsLease := s.leadership.LeaderLease(); !vacant && !holdsLease {
		return nil
	}
	s.lastChange++
	return &statemachine.GrantsChange{Lender: s.self, Begin: true, Before: grantor, Number: s.lastChange}
}

// ChangeDone processes the outcome of a change. A nil outcome means that the outcome is unknown; the next call of
// NextChange then returns the parts of the change that are still needed.
func (s *Service) ChangeDone(change *statemachine.GrantsChange, outcome *statemachine.GrantsOutcome) {
	if outcome == nil || !outcome.Taken {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return
	}
	if change.Begin {
		s.allocator.Stop()
		s.term = &term{
			firstEver: outcome.Before == statemachine.Grantor{},
			nodes:     append([]string{}, outcome.Nodes...),
			floors:    outcome.Floors,
		}
		return
	}
	if s.term != nil && s.term.started {
		s.allocator.GranteesRecorded(change.Add)
		s.allocator.FloorsRecorded(change.Floors)
		s.term.pendingRemovals = without(s.term.pendingRemovals, change.Remove)
	}
}

// without returns the elements of nodes that are not in excluded.
func without(nodes, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return slices.Contains(excluded, node) })
}
