package membership

import "fmt"

// State is what is known of a machine.
type State uint8

// States, in the order in which they replace each other within an incarnation.
const (
	Alive   State = iota + 1
	Suspect       // silent, may still refute it
	Dead
	Left // ended as planned
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

// present tells whether a machine in this state may still be at work.
func (s State) isPresent() bool {
	return s == Alive || s == Suspect
}

// Member is a machine.
type Member struct {
	// Name is unique in the system and stays over restarts.
	Name string
	// Address is where it is reached by the messages of this package.
	Address string
	// Role and Zone are carried for the caller.
	Role, Zone string
}

// Update is a machine with what is known of it. Of two updates the one with the higher incarnation is newer, or the
// one with the later state.
type Update struct {
	Member Member
	// Incarnation grows with each start of the machine and with each suspicion that it refutes.
	Incarnation uint64
	State       State
}

// newer tells whether an update replaces what is known.
func (u Update) supersedes(incarnation uint64, state State) bool {
	if u.Incarnation != incarnation {
		return u.Incarnation > incarnation
	}
	return u.State > state
}

// Change is a change of a machine's state. Old is 0 for a machine that wasn't known.
type Change struct {
	Update
	Old State
}
