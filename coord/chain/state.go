package chain

import "fmt"

// Machine is the deterministic state that orders change. Apply gets each order once, in order.
type Machine interface {
	Apply(index uint64, order []byte) (result []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// RememberedRequests is the number of request ids whose results are kept, so that an order that
// was sent again over a change of the view is applied once.
const RememberedRequests = 4096

// Outcome is what an order came to.
type Outcome struct {
	ID     string
	Index  uint64
	Result []byte
}

// State is the machine with the requests that it has seen lately.
type State struct {
	machine  Machine
	memory   int // request ids whose results are kept
	applied  uint64
	epoch    uint64 // of the entry last applied
	outcomes map[string]Outcome
	recent   []string // ids in order of application, oldest first
}

// NewState wraps an empty machine and remembers the outcomes of the last requests, as many as memory says. All members of a chain
// must remember the same number.
func NewState(machine Machine, memory int) *State {
	return &State{machine: machine, memory: memory, outcomes: make(map[string]Outcome)}
}

// Applied returns the index of the order last applied, and its epoch.
func (s *State) Applied() (index, epoch uint64) { return s.applied, s.epoch }

// Outcome returns what a recent request came to.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// Apply applies the next entry. A request that was applied before isn't applied again; its first
// outcome is returned with repeated set.
func (s *State) Apply(entry Entry) (outcome Outcome, repeated bool) {
	if entry.Index != s.applied+1 {
		panic(fmt.Sprintf("chain: apply %d after %d", entry.Index, s.applied))
	}
	s.applied, s.epoch = entry.Index, entry.Epoch
	if earlier, known := s.outcomes[entry.ID]; known && entry.ID != "" {
		return earlier, true
	}
	outcome = Outcome{ID: entry.ID, Index: entry.Index, Result: s.machine.Apply(entry.Index, entry.Order)}
	if entry.ID != "" {
		s.remember(outcome)
	}
	return outcome, false
}

func (s *State) remember(outcome Outcome) {
	s.outcomes[outcome.ID] = outcome
	s.recent = append(s.recent, outcome.ID)
	if excess := len(s.recent) - s.memory; excess > 0 {
		delete(s.outcomes, s.recent[excess-1])
	}
	if len(s.recent) >= 2*s.memory {
		s.recent = append([]string(nil), s.recent[len(s.recent)-s.memory:]...)
	}
}

// Image is a copy of a state.
type Image struct {
	Index    uint64
	Epoch    uint64
	Machine  []byte
	Outcomes []Outcome // oldest first
}

// Image copies the state.
func (s *State) Image() Image {
	ids := s.recent
	if excess := len(ids) - s.memory; excess > 0 {
		ids = ids[excess:]
	}
	image := Image{Index: s.applied, Epoch: s.epoch, Machine: s.machine.Snapshot()}
	image.Outcomes = make([]Outcome, len(ids))
	for i, id := range ids {
		image.Outcomes[i] = s.outcomes[id]
	}
	return image
}

// Restore replaces the state.
func (s *State) Restore(image Image) error {
	if err := s.machine.Restore(image.Machine); err != nil {
		return fmt.Errorf("chain: restore the machine at %d: %w", image.Index, err)
	}
	s.applied, s.epoch = image.Index, image.Epoch
	s.outcomes = make(map[string]Outcome, len(image.Outcomes))
	s.recent = s.recent[:0]
	for _, outcome := range image.Outcomes {
		s.outcomes[outcome.ID] = outcome
		s.recent = append(s.recent, outcome.ID)
	}
	return nil
}
