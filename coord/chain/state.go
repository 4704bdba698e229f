package chain

import "fmt"

// Machine is the deterministic state that orders change. Apply gets each order once, in order.
type StateMachine interface {
	Apply(index uint64, order []byte) (result []byte)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// RememberedRequests is the number of request ids whose results are kept, so that an order that
// was sent again over a change of the view is applied once.
const DeduplicationWindow = 4096

// Outcome is what an order came to.
type Outcome struct {
	ID     string
	Index  uint64
	Result []byte
}

// State is the machine with the requests that it has seen lately.
type State struct {
	stateMachine StateMachine
	window       int // request ids whose results are kept
	appliedIndex uint64
	appliedEpoch uint64 // of the entry last applied
	outcomes     map[string]Outcome
	recent       []string // ids in order of application, oldest first
}

// NewState wraps an empty machine and remembers the outcomes of the last requests, as many as memory says. All members of a chain
// must remember the same number.
func NewState(stateMachine StateMachine, window int) *State {
	return &State{stateMachine: stateMachine, window: window, outcomes: make(map[string]Outcome)}
}

// Applied returns the index of the order last applied, and its epoch.
func (s *State) Applied() (index, epoch uint64) { return s.appliedIndex, s.appliedEpoch }

// Outcome returns what a recent request came to.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// Apply applies the next entry. A request that was applied before isn't applied again; its first
// outcome is returned with repeated set.
func (s *State) Apply(entry Entry) (outcome Outcome, repeated bool) {
	if entry.Index != s.appliedIndex+1 {
		panic(fmt.Sprintf("chain: apply %d after %d", entry.Index, s.appliedIndex))
	}
	s.appliedIndex, s.appliedEpoch = entry.Index, entry.Epoch
	if earlier, known := s.outcomes[entry.ID]; known && entry.ID != "" {
		return earlier, true
	}
	outcome = Outcome{ID: entry.ID, Index: entry.Index, Result: s.stateMachine.Apply(entry.Index, entry.Order)}
	if entry.ID != "" {
		s.remember(outcome)
	}
	return outcome, false
}

func (s *State) remember(outcome Outcome) {
	s.outcomes[outcome.ID] = outcome
	s.recent = append(s.recent, outcome.ID)
	if excess := len(s.recent) - s.window; excess > 0 {
		delete(s.outcomes, s.recent[excess-1])
	}
	if len(s.recent) >= 2*s.window {
		s.recent = append([]string(nil), s.recent[len(s.recent)-s.window:]...)
	}
}

// Image is a copy of a state.
type Snapshot struct {
	Index    uint64
	Epoch    uint64
	Machine  []byte
	Outcomes []Outcome // oldest first
}

// Image copies the state.
func (s *State) Snapshot() Snapshot {
	ids := s.recent
	if excess := len(ids) - s.window; excess > 0 {
		ids = ids[excess:]
	}
	snapshot := Snapshot{Index: s.appliedIndex, Epoch: s.appliedEpoch, Machine: s.stateMachine.Snapshot()}
	snapshot.Outcomes = make([]Outcome, len(ids))
	for i, id := range ids {
		snapshot.Outcomes[i] = s.outcomes[id]
	}
	return snapshot
}

// Restore replaces the state.
func (s *State) Restore(snapshot Snapshot) error {
	if err := s.stateMachine.Restore(snapshot.Machine); err != nil {
		return fmt.Errorf("chain: restore the machine at %d: %w", snapshot.Index, err)
	}
	s.appliedIndex, s.appliedEpoch = snapshot.Index, snapshot.Epoch
	s.outcomes = make(map[string]Outcome, len(snapshot.Outcomes))
	s.recent = s.recent[:0]
	for _, outcome := range snapshot.Outcomes {
		s.outcomes[outcome.ID] = outcome
		s.recent = append(s.recent, outcome.ID)
	}
	return nil
}
