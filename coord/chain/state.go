package chain

import (
	"fmt"
	"slices"
)

// StateMachine is the deterministic state that commands change (Schneider, 1990). All replicas apply the same
// commands in the same order, so the result may depend on nothing else: not on time, randomness or the order
// of a map.
type StateMachine interface {
	// Apply executes a command and returns its result. It is called once for each command, in the order of
	// the log.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by one that Snapshot has encoded.
	Restore(snapshot []byte) error
}

// DeduplicationWindow is the number of the latest command IDs whose outcomes are kept, so that a command that
// is proposed again is applied once.
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
	outcomes     map[string]Outcome // by ID: those of the last window IDs of recent
	recent       []string           // IDs in the order of application; cut to window at twice as many
}

// NewState wraps an empty state machine and keeps the outcomes of the last commands, as many as window says.
// The window is part of the replicated state: it must be the same in all replicas.
func NewState(stateMachine StateMachine, window int) *State {
	return &State{stateMachine: stateMachine, window: window, outcomes: make(map[string]Outcome)}
}

// Applied returns the index and epoch of the last entry applied.
func (s *State) Applied() (index, epoch uint64) { return s.appliedIndex, s.appliedEpoch }

// Outcome returns the outcome of a recent command.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, known := s.outcomes[id]
	return outcome, known
}

// Apply applies the next entry; it panics for any other. A command whose ID was applied before has no effect:
// its first outcome is returned, with repeated set.
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

// remember keeps an outcome and drops the one that leaves the window.
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
	Epoch    uint64    // of the entry at Index
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

// Restore replaces the state by a snapshot. After an error of the state machine, nothing else is changed.
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
