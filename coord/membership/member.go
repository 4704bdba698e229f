package membership

import "fmt"

// State is the state of a machine as another machine knows it.
type State uint8

// States, in the order in which they supersede each other within an incarnation. The numbers are sent in
// messages.
const (
	Alive   State = iota + 1
	Suspect       // timed out at its monitors; may still refute the suspicion
	Dead          // didn't refute the suspicion in time
	Left          // ended as planned
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return fmt.Sprintf("state %d", uint8(s))
	}
}

// isPresent reports whether a machine in this state may still be running.
func (s State) isPresent() bool {
	return s == Alive || s == Suspect
}

// Member identifies a machine.
type Member struct {
	// Name is unique in the system and stays the same over restarts.
	Name string
	// Address is where the machine receives this package's messages.
	Address string
	// Role and Zone are disseminated for the caller; this package doesn't interpret them.
	Role, Zone string
}

// Update is the state of a machine in one of its incarnations.
type Update struct {
	Member Member
	// Incarnation grows with each start of the machine and with each suspicion that it refutes.
	Incarnation uint64
	State       State
}

// supersedes reports whether the update replaces an entry with the given incarnation and state: it has a
// higher incarnation, or the same one and a later state. This is SWIM's order of Alive, Suspect and Confirm
// messages. The order is total, so that all tables converge.
func (u Update) supersedes(incarnation uint64, state State) bool {
	if u.Incarnation != incarnation {
		return u.Incarnation > incarnation
	}
	return u.State > state
}

// Change is a change of a machine's state in this node's table. Old is the previous state, or 0 for a machine
// that wasn't known.
type Change struct {
	Update
	Old State
}
