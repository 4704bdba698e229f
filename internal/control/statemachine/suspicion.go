package statemachine

import "slices"

// suspicion records that a member has timed out, as in SWIM's suspicion mechanism. Its number tells it from
// earlier suspicions of the same member, so that an eviction can name the one that it relies on.
type suspicion struct {
	Node        string
	Incarnation string
	Number      uint64 // from 1
}

// suspect applies a Suspect. It begins or ends a suspicion; the members and the epoch stay, so the outcome is
// StoreUnchanged.
func (s *membership) suspect(command *Suspect) StoreOutcome {
	if s.indexOf(command.Node, command.Incarnation) < 0 {
		return StoreUnknown
	}
	others := slices.DeleteFunc(slices.Clone(s.suspicions), func(one suspicion) bool {
		return one.Node == command.Node
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

// suspicionNumber returns the number of the suspicion that an incarnation is under, 0 for none.
func (s *membership) suspicionNumber(node, incarnation string) uint64 {
	for _, one := range s.suspicions {
		if one.Node == node && one.Incarnation == incarnation {
			return one.Number
		}
	}
	return 0
}
