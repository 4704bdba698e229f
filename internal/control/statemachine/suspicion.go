package statemachine

import "slices"

// suspicion records that a member has timed out, as in SWIM's suspicion mechanism. Its number distinguishes it
// from earlier suspicions of the same member, so that an eviction can name the suspicion that it relies on.
type suspicion struct {
	Node        string
	Incarnation string
	Number      uint64 // from 1
}

// suspect applies a Suspect: it begins or ends a suspicion. The members and the epoch don't change, so the outcome
// is StoreUnchanged, or StoreUnknown for a process that is not a member.
func (s *membership) suspect(command *Suspect) StoreOutcome {
	if s.indexOf(command.Node, command.Incarnation) < 0 {
		return StoreUnknown
	}
	others := slices.DeleteFunc(slices.Clone(s.suspicions), func(entry suspicion) bool {
		return entry.Node == command.Node
	})
	switch known := len(others) < len(s.suspicions); {
	case command.Over:
		s.suspicions = others
	case !known:
		s.lastSuspicion++
		s.suspicions = append(others,
			suspicion{Node: command.Node, Incarnation: command.Incarnation, Number: s.lastSuspicion})
	}
	return StoreUnchanged
}

// suspicionNumber returns the number of the current suspicion of an incarnation, or 0 if it is not under suspicion.
func (s *membership) suspicionNumber(node, incarnation string) uint64 {
	for _, entry := range s.suspicions {
		if entry.Node == node && entry.Incarnation == incarnation {
			return entry.Number
		}
	}
	return 0
}
