package chain

import (
	"fmt"
	"slices"
)

// StateMachine is a deterministic state machine (Schneider, 1990). All replicas apply the same commands in the
// same order, so that the state and the results must depend on nothing else: not on time, randomness or the
// iteration order of a map.
type StateMachine interface {
	// Apply executes a command and returns its result. It is called once for each command, in log order.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by a state that Snapshot has encoded.
	Restore(snapshot []byte) error
}

// DeduplicationWindow is the number of latest command IDs whose outcomes are kept, so that a command that is
// proposed again within the window isn't applied again.
const DeduplicationWindow = 4096

// Outcome is the index and the result of a command.
type Outcome struct {
	ID     string
	Index  uint64
	Result []byte
}

// State is a state machine with the outcomes of its latest commands.
type State struct {
	stateMachine StateMachine
	window       int // number of outcomes that are kept
	appliedIndex uint64
	appliedEpoch uint64
	outcomes     map[string]Outcome // outcomes of the last window IDs of recent, by ID
	recent       []string           // IDs in the order of application; cut to window IDs when twice as long
}

// NewState returns a State for an empty state machine. It keeps the outcomes of the last window commands with an
// ID. The window must be the same on all replicas, because it is part of the replicated state.
func NewState(stateMachine StateMachine, window int) *State {
	return &State{stateMachine: stateMachine, window: window, outcomes: make(map[string]Outcome)}
}

// Applied returns the index and epoch of the last applied entry.
func (s *State) Applied() (index, epoch uint64) { return s.appliedIndex, s.appliedEpoch }

// Outcome returns the outcome of the command with an ID. It returns false if the ID isn't among the kept ones.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// Apply applies the next entry. It panics if entry's index isn't the next index. A command whose ID has a kept
// outcome isn't applied again: Apply returns that outcome, with repeated set.
func (s *State) Apply(entry Entry) (outcome Outcome, repeated bool) {
	if entry.Index != s.appliedIndex+1 {
		panic(fmt.Sprintf("chain: apply entry %d, want the successor of entry %d", entry.Index, s.appliedIndex))
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

// remember keeps an outcome and deletes the oldest outcome if it is no longer within the window.
func (s *State) remember(outcome Outcome) {
	s.outcomes[outcome.ID] = outcome
	s.recent = append(s.recent, outcome.ID)
	if excess := len(s.recent) - s.window; excess > 0 {
		delete(s.outcomes, s.recent[excess-1])
	}
	if len(s.recent) >= 2*s.window {
		s.recent = slices.Clone(s.recent[len(s.recent)-s.window:])
	}
}

// Snapshot is a copy of a State at an index. Its fields are part of the formats on disk and on the wire.
type Snapshot struct {
	Index    uint64
	Epoch    uint64    // epoch of the entry at Index
	Machine  []byte    // encoded state machine
	Outcomes []Outcome // oldest first
}

// Snapshot returns a copy of the state.
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

// Restore replaces the state by a snapshot. If the state machine returns an error, the rest of the state isn't
// changed.
func (s *State) Restore(snapshot Snapshot) error {
	if err := s.stateMachine.Restore(snapshot.Machine); err != nil {
		return fmt.Errorf("chain: restore the state machine from the snapshot at index %d: %w", snapshot.Index, err)
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
