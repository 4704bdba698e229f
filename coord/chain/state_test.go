package chain_test

import (
	"fmt"
	"testing"

	"sprucelane.example/sprucelane/coord/chain"
)

// counter is a state machine that counts the commands it applied.
type counter struct{ applied int }

func (c *counter) Apply(uint64, []byte) []byte { c.applied++; return fmt.Append(nil, c.applied) }
func (c *counter) Snapshot() []byte            { return fmt.Append(nil, c.applied) }
func (c *counter) Restore(snapshot []byte) error {
	_, err := fmt.Sscan(string(snapshot), &c.applied)
	return err
}

// TestDeduplicationWindow applies more commands than the window holds. It checks that exactly the outcomes of the
// last window commands are known, also in a state that was restored from a snapshot on the way, and that a
// command with a known outcome isn't applied again.
func TestDeduplicationWindow(t *testing.T) {
	const window, commands = 16, 100
	for restoredAt := 1; restoredAt < commands; restoredAt += 7 {
		states := []*chain.State{chain.NewState(&counter{}, window), chain.NewState(&counter{}, window)}
		for index := uint64(1); index <= commands; index++ {
			for _, state := range states {
				state.Apply(chain.Entry{Index: index, ID: fmt.Sprint(index)})
			}
			if index == uint64(restoredAt) {
				states[1] = chain.NewState(&counter{}, window)
				if err := states[1].Restore(states[0].Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			for id := uint64(1); id <= index; id++ {
				for number, state := range states {
					if _, known := state.Outcome(fmt.Sprint(id)); known != (id+window > index) {
						t.Fatalf("state %d, restored at %d: outcome of command %d known after command %d: %v",
							number, restoredAt, id, index, known)
					}
				}
			}
		}
		for _, state := range states {
			oldest := chain.Entry{Index: commands + 1, ID: fmt.Sprint(commands - window + 1)}
			outcome, repeated := state.Apply(oldest)
			if !repeated || outcome.Index != commands-window+1 {
				t.Errorf("the oldest command in the window was applied again: %+v", outcome)
			}
			if outcomes := len(state.Snapshot().Outcomes); outcomes != window {
				t.Errorf("snapshot holds %d outcomes, want the window size", outcomes)
			}
		}
	}
}
